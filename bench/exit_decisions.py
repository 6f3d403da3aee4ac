"""Compare ways to decide what a host that shuts down still starts.

Usage: exit_decisions [--seeds=NUMBER]

Callers send calls one after the other to a host that ends `RESPONSES_S` after
its signal. What runs then is cut. A call that is refused comes back later, as
long as its caller may use the address. Times are virtual.

Options:
  --seeds=NUMBER  Runs of each case [default: 50].
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import attrs
from docopt import docopt

from balsamlift.relay.shutdown import CallDurations, allowed_s

RESPONSES_S = 7.5
LISTED_S = 6.0
CALLERS = 24
OBSERVED = 400  # calls by which durations are learned
FIXED_MOMENT_S = 3.0
P99 = 0.99
MAX_PAUSE_S = 0.02
MIN_RETURN_S, MAX_RETURN_S = 0.1, 0.5

Draw = Callable[[random.Random], float]
# Whether to start a call, by the time left, what is observed and its limit.
Decide = Callable[[float, Sequence[float], float], bool]


@attrs.frozen(kw_only=True)
class Case:
    """A load: how long calls take, and how long they may take."""

    name: str
    draw_s: Draw
    limit_s: float
    is_known: bool = True


@attrs.define
class Counts:
    """What became of the calls that were sent after the signal."""

    served: int = 0
    cut: int = 0
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


def longest_s(observed: Sequence[float]) -> float | None:
    """Return the longest call, as hosts keep it."""
    durations = CallDurations(_Values(), _StoppedClock())  # type: ignore[arg-type]
    for took_s in observed:
        durations.observe("route", took_s)
    return durations.longest_s("route")


def fixed_moment(left_s: float, _: Sequence[float], limit_s: float) -> bool:
    """Start calls until a moment, whatever they take."""
    del limit_s
    return left_s >= RESPONSES_S - FIXED_MOMENT_S


def time_allowed(left_s: float, _: Sequence[float], limit_s: float) -> bool:
    """Start calls whose callers or routes allow no more than is left."""
    return limit_s <= left_s


def measured(factor: float, extra_s: float, share: float = 1.0) -> Decide:
    """Decide by the longest call, or that below which a share of calls is."""

    def decide(
        left_s: float, observed: Sequence[float], limit_s: float
    ) -> bool:
        if limit_s <= left_s:
            return True
        if not observed:
            return False
        ordered = sorted(observed)
        expected_s = ordered[int(share * (len(ordered) - 1))]
        return expected_s * factor + extra_s <= left_s

    return decide


def in_force(left_s: float, observed: Sequence[float], limit_s: float) -> bool:
    """Decide as hosts do."""
    if limit_s <= left_s:
        return True
    expected_s = longest_s(observed)
    return expected_s is not None and allowed_s(expected_s) <= left_s


DECISIONS: dict[str, Decide] = {
    "none": lambda *_: True,
    "fixed moment, 3 s": fixed_moment,
    "time allowed": time_allowed,
    "p99 x 1": measured(1.0, 0.0, P99),
    "p99 x 1.5 + 0.1 s": measured(1.5, 0.1, P99),
    "longest x 1": measured(1.0, 0.0),
    "longest x 1.25 + 0.1 s": measured(1.25, 0.1),
    "longest x 1.5 + 0.1 s": measured(1.5, 0.1),
    "longest x 2 + 0.1 s": measured(2.0, 0.1),
    "in force": in_force,
}
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
    observed: list[float] = []
    if case.is_known:
        observed = [case.draw_s(rng) for _ in range(OBSERVED)]
        observed = [min(took_s, case.limit_s) for took_s in observed]
    last_end_s = 0.0
    for _ in range(CALLERS):
        last_end_s = max(
            last_end_s, _run_caller(case, decide, rng, observed, counts)
        )
    counts.idle_s = RESPONSES_S - last_end_s
    return counts


def _run_caller(
    case: Case,
    decide: Decide,
    rng: random.Random,
    observed: Sequence[float],
    counts: Counts,
) -> float:
    """Send calls until the host is gone; return when the last one ended."""
    now_s = rng.uniform(0, MAX_PAUSE_S)
    last_end_s = 0.0
    while now_s < RESPONSES_S:
        took_s = case.draw_s(rng)
        end_s = now_s + min(took_s, case.limit_s)
        if not decide(RESPONSES_S - now_s, observed, case.limit_s):
            counts.refused += 1
            counts.refused_without_need += end_s <= RESPONSES_S
            now_s += rng.uniform(MIN_RETURN_S, MAX_RETURN_S)
            if now_s > LISTED_S:
                break
            continue
        if end_s > RESPONSES_S:
            counts.cut += 1
        elif took_s > case.limit_s:
            counts.timed_out += 1
        else:
            counts.served += 1
        last_end_s = min(end_s, RESPONSES_S)
        now_s = end_s + rng.uniform(0, MAX_PAUSE_S)
    return last_end_s


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
