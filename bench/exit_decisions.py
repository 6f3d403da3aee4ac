"""Compare ways to decide what a host that shuts down still starts.

Usage: exit_decisions [--seeds=NUMBER]

Callers send calls one after the other to a host that ends `RESPONSES_S` after
its signal. What runs then is cut. A call that is refused comes back later, as
long as its caller may use the address. Times are virtual.

Options:
  --seeds=NUMBER  Runs of each case [default: 50].
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence

import attrs
from docopt import docopt

from balsamlift.relay.shutdown import (
    LATE_DURATION_FACTOR,
    CallDurations,
    allowed_s,
)

RESPONSES_S = 7.5
LISTED_S = 6.0
CALLERS = 24
OBSERVED = 400  # calls by which durations are learned
FIXED_MOMENT_S = 3.0
P99 = 0.99
MAX_PAUSE_S = 0.02
MIN_RETURN_S, MAX_RETURN_S = 0.1, 0.5

EXCUSED_S = 3.0  # sent sooner, a call may outlast its host
ESTIMATES_S = 2.5

Draw = Callable[[random.Random], float]


@attrs.define
class Known:
    """What a host knows of the calls of a route."""

    recent_s: list[float]  # how long those took that have ended
    started_s: dict[int, float] = attrs.field(factory=dict)  # of those running

    def ages_s(self, now_s: float) -> list[float]:
        """Return how long the running calls have run so far."""
        return [now_s - started_s for started_s in self.started_s.values()]


# Whether to start a call, by the moment, what is known and its limit.
Decide = Callable[[float, Known, float], bool]


@attrs.frozen(kw_only=True)
class Case:
    """A load: how long calls take, and how long they may take."""

    name: str
    draw_s: Draw
    limit_s: float
    is_known: bool = True
    slowdown: float = 1.0  # of the upstreams
    slow_from_s: float = 0.0

    def end_s(self, start_s: float, took_s: float) -> float:
        """Return when a call ends that would usually take `took_s`."""
        usual_s = min(took_s, max(self.slow_from_s - start_s, 0.0))
        return start_s + usual_s + (took_s - usual_s) * self.slowdown


@attrs.define
class Counts:
    """What became of the calls that were sent after the signal."""

    served: int = 0
    cut: int = 0
    cut_late: int = 0  # of these, sent too late to be excused
    timed_out: int = 0
    refused: int = 0
    refused_without_need: int = 0
    idle_s: float = 0.0  # from the last end of a call to the exit


class _Values:
    """Shared values of a host without others."""

    receives_pushed_counts = False

    def share_value(self, key: str, value: int) -> None:
        del key, value

    def other_counts(self, prefix: str) -> dict[str, int]:
        del prefix
        return {}


class _StoppedClock:
    def monotonic(self) -> float:
        return 0.0


def bound_s(recent_s: Sequence[float]) -> float:
    """Return the longest call, as hosts keep it; 0 without any."""
    durations = CallDurations(_Values(), _StoppedClock())  # type: ignore[arg-type]
    durations.observe("route", max(recent_s, default=0.0))
    return durations.longest_s("route") or 0.0


def fixed_moment(now_s: float, known: Known, limit_s: float) -> bool:
    """Start calls until a moment, whatever they take."""
    del known, limit_s
    return now_s <= FIXED_MOMENT_S


def time_allowed(now_s: float, known: Known, limit_s: float) -> bool:
    """Start calls whose callers or routes allow no more than is left."""
    del known
    return limit_s <= RESPONSES_S - now_s


def measured(factor: float, extra_s: float, share: float = 1.0) -> Decide:
    """Decide by the longest call, or that below which a share of calls is."""

    def decide(now_s: float, known: Known, limit_s: float) -> bool:
        if time_allowed(now_s, known, limit_s):
            return True
        if not known.recent_s:
            return False
        ordered = sorted(known.recent_s)
        expected_s = ordered[int(share * (len(ordered) - 1))]
        return expected_s * factor + extra_s <= RESPONSES_S - now_s

    return decide


def with_running(factor: float, extra_s: float) -> Decide:
    """Decide by the longest call, also of those that are running."""

    def decide(now_s: float, known: Known, limit_s: float) -> bool:
        recent_s = known.recent_s and [
            *known.recent_s,
            *known.ages_s(now_s),
        ]
        return measured(factor, extra_s)(now_s, Known(recent_s), limit_s)

    return decide


def in_force(late_factor: float | None) -> Decide:
    """Decide as hosts do; streams have no factor late in the exit."""

    def decide(now_s: float, known: Known, limit_s: float) -> bool:
        if time_allowed(now_s, known, limit_s):
            return True
        if not known.recent_s:
            return False
        longest_s = bound_s(known.recent_s)
        left_s = RESPONSES_S - now_s
        if now_s <= ESTIMATES_S and allowed_s(longest_s) <= left_s:
            return True
        if late_factor is None:
            return False
        return allowed_s(longest_s, late_factor) <= left_s

    return decide


def wider_later(first: float, later: float, extra_s: float) -> Decide:
    """Decide by the longest call, with a wider margin once it is late."""
    by_first = measured(first, extra_s)
    by_later = with_running(later, extra_s)

    def decide(now_s: float, known: Known, limit_s: float) -> bool:
        decide_now = by_later if now_s > EXCUSED_S else by_first
        return decide_now(now_s, known, limit_s)

    return decide


DECISIONS: dict[str, Decide] = {
    "none": lambda *_: True,
    "fixed moment, 3 s": fixed_moment,
    "time allowed": time_allowed,
    "p99 x 1.5 + 0.1 s": measured(1.5, 0.1, P99),
    "longest x 1.25 + 0.1 s": measured(1.25, 0.1),
    "longest x 2 + 0.1 s": measured(2.0, 0.1),
    "longest x 3 + 0.1 s": measured(3.0, 0.1),
    "longest, running too, x 1.25 + 0.1 s": with_running(1.25, 0.1),
    "longest, running too, x 3 + 0.1 s": with_running(3.0, 0.1),
    "longest, running too, x 4 + 0.1 s": with_running(4.0, 0.1),
    "longest x 1.25 + 0.1 s, from 3 s on x 3": wider_later(1.25, 3.0, 0.1),
    "longest x 1.25 + 0.1 s, from 3 s on x 10": wider_later(1.25, 10.0, 0.1),
    "in force, calls": in_force(LATE_DURATION_FACTOR),
    "in force, streams": in_force(None),
}
# By how much upstreams become slower, and from when on.
SLOWDOWNS = ((1.0, 5.0), (2.5, 5.0), (4.0, 5.0), (2.5, 3.5), (4.0, 3.5))
CASES = (
    Case(name="0.02 s", draw_s=lambda r: 0.02, limit_s=2.5),
    Case(name="0.05 to 3 s", draw_s=lambda r: r.uniform(0.05, 3), limit_s=30),
    Case(name="2 to 7 s", draw_s=lambda r: r.uniform(2, 7), limit_s=30),
    Case(name="2 to 7 s of 5", draw_s=lambda r: r.uniform(2, 7), limit_s=5),
    Case(
        name="long tail, 0.2 s",
        draw_s=lambda r: r.lognormvariate(-1.6, 1.0),
        limit_s=30,
    ),
    Case(
        name="long tail of 2.5",
        draw_s=lambda r: r.lognormvariate(-1.6, 1.0),
        limit_s=2.5,
    ),
    *(
        Case(
            name=f"0.2 to 1 s, {factor} times slower from {from_s} s",
            draw_s=lambda r: r.uniform(0.2, 1.0),
            limit_s=30,
            slowdown=factor,
            slow_from_s=from_s,
        )
        for factor, from_s in SLOWDOWNS
    ),
    Case(
        name="long tail, 0.2 s, 2.5 times slower from 5 s",
        draw_s=lambda r: r.lognormvariate(-1.6, 1.0),
        limit_s=30,
        slowdown=2.5,
        slow_from_s=5.0,
    ),
    Case(
        name="0.05 to 3 s, 2.5 times slower from 4 s",
        draw_s=lambda r: r.uniform(0.05, 3),
        limit_s=30,
        slowdown=2.5,
        slow_from_s=4.0,
    ),
    Case(
        name="unknown, 0.3 s",
        draw_s=lambda r: 0.3,
        limit_s=30,
        is_known=False,
    ),
)


def run(case: Case, decide: Decide, seed: int) -> Counts:
    """Return what became of the calls of all callers."""
    rng = random.Random(seed)
    counts = Counts()
    known = Known([])
    if case.is_known:
        observed = [case.draw_s(rng) for _ in range(OBSERVED)]
        known.recent_s = [max(min(s, case.limit_s) for s in observed)]
    turns = [(rng.uniform(0, MAX_PAUSE_S), n) for n in range(CALLERS)]
    heapq.heapify(turns)
    last_end_s = 0.0
    while turns:
        now_s, caller = heapq.heappop(turns)
        if (started_s := known.started_s.pop(caller, None)) is not None:
            last_end_s = now_s
            known.recent_s = [max([*known.recent_s, now_s - started_s])]
            now_s += rng.uniform(0, MAX_PAUSE_S)
        if now_s < RESPONSES_S:
            may_start = decide(now_s, known, case.limit_s)
            if may_start:
                known.started_s[caller] = now_s
            next_s = _count_call(case, may_start, rng, now_s, counts)
            if next_s < RESPONSES_S:
                heapq.heappush(turns, (next_s, caller))
    if known.started_s:
        last_end_s = RESPONSES_S
    counts.idle_s = RESPONSES_S - last_end_s
    return counts


def _count_call(
    case: Case,
    may_start: bool,
    rng: random.Random,
    now_s: float,
    counts: Counts,
) -> float:
    """Count what becomes of a call; return when its caller goes on."""
    took_s = case.end_s(now_s, case.draw_s(rng)) - now_s
    end_s = now_s + min(took_s, case.limit_s)
    if not may_start:
        counts.refused += 1
        counts.refused_without_need += end_s <= RESPONSES_S
        back_s = now_s + rng.uniform(MIN_RETURN_S, MAX_RETURN_S)
        return back_s if back_s <= LISTED_S else RESPONSES_S
    if end_s > RESPONSES_S:
        counts.cut += 1
        counts.cut_late += now_s > EXCUSED_S
    elif took_s > case.limit_s:
        counts.timed_out += 1
    else:
        counts.served += 1
    return end_s


def main() -> None:
    """Print a table for each case."""
    seeds = int(docopt(__doc__)["--seeds"])
    names = [field.name for field in attrs.fields(Counts)]
    for case in CASES:
        print(f"\n| {case.name} | {' | '.join(names)} |")
        for name, decide in DECISIONS.items():
            runs = [run(case, decide, seed) for seed in range(seeds)]
            means = [
                sum(getattr(each, field) for each in runs) / seeds
                for field in names
            ]
            print(f"| {name} | {' | '.join(f'{m:.2f}' for m in means)} |")


if __name__ == "__main__":
    main()
