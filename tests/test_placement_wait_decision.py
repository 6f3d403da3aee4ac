"""Loads beyond the memory of a pool, played against the decision to wait."""

from __future__ import annotations

import random
from collections import Counter
from math import inf, sqrt

import attrs
import pytest

from balsamlift.placement import (
    Backlog,
    LateShares,
    RefuseNow,
    Residence,
    ResidenceTimes,
    WaitRequest,
    WaitUntil,
    decide_wait,
)

STEP_S = 0.05
RENEWAL_S = 0.2
TOKENS = 1_000
RUN_S = 2.0
PLACES = 20
CAPACITY_PER_S = PLACES / RUN_S
AT_ONCE_S = 0.2
SLOT_S = 0.5
RESIDENCE = Residence(
    mean_ms=RUN_S * 1_000,
    least_mean_ms=RUN_S * 1_000,
    least_run_ms=RUN_S * 1_000,
)


@attrs.define(eq=False)
class Caller:
    """A caller that returns when told to, until its deadline."""

    first_s: float
    number: int = 0
    target_s: float = 2.0
    patience_s: float = 39.0  # of its deadline, from its first attempt
    until_s: float = inf  # that it may wait
    served_s: float | None = None
    attempts: list[tuple[float, float]] = attrs.field(factory=list)
    returns: list[float] = attrs.field(factory=list)
    reasons: list[str] = attrs.field(factory=list)

    def is_late(self, now_s: float) -> bool:
        """Return whether its latest attempt has passed its target."""
        return now_s >= self.attempts[-1][0] + self.target_s

    def request(self) -> WaitRequest:
        """Return its latest attempt."""
        random.seed(self.number * 100 + len(self.attempts))
        deadline_s = self.first_s + self.patience_s
        return WaitRequest(
            tokens=TOKENS,
            arrived_s=self.attempts[-1][0],
            target_ms=self.target_s * 1_000,
            max_gap_ms=0.0,
            timeout_at_s=deadline_s,
            deadline_s=deadline_s,
            spread=random.random(),
        )


class Play:
    """One pool, first come first served, as callers at a host find it."""

    def __init__(
        self,
        callers: list[Caller],
        known: bool = True,
        late_last: bool = False,
    ) -> None:
        self.callers = callers
        self.places = PLACES
        self._known = known
        self._late_last = late_last
        self._late_shares = LateShares()
        self._arriving = [(c.first_s, c) for c in callers]
        self._waiting: list[Caller] = []
        self._ends: list[float] = []

    def run(self, until_s: float, from_s: float = 0.0) -> None:
        """Advance in steps."""
        for step in range(round(from_s / STEP_S), round(until_s / STEP_S)):
            self._step(step * STEP_S)

    def _step(self, now_s: float) -> None:
        self._ends = [s for s in self._ends if s > now_s][: self.places]
        self._place(now_s)
        due = [c for at_s, c in self._arriving if at_s <= now_s]
        self._arriving = [a for a in self._arriving if a[0] > now_s]
        for caller in due:
            caller.attempts.append((now_s, inf))
            self._waiting.append(caller)
            self._place(now_s)
        is_renewal = round(now_s / STEP_S) % round(RENEWAL_S / STEP_S) == 0
        for caller in list(self._waiting):
            if is_renewal or caller in due or now_s >= caller.until_s:
                self._decide(caller, now_s)

    def _place(self, now_s: float) -> None:
        if self._late_last:
            self._waiting.sort(
                key=lambda c: (c.is_late(now_s), c.attempts[-1][0])
            )
        while self._waiting and len(self._ends) < self.places:
            caller = self._waiting.pop(0)
            caller.served_s = now_s
            is_late = caller.is_late(now_s)
            if is_late or any(c.is_late(now_s) for c in self._waiting):
                self._late_shares.record("p", is_late=is_late)
            self._ends.append(now_s + RUN_S)

    def _decide(self, caller: Caller, now_s: float) -> None:
        used = len(self._ends)
        backlog = Backlog(
            free_tokens=(self.places - used) * TOKENS,
            used_tokens=used * TOKENS,
            ahead_tokens=self._waiting.index(caller) * TOKENS,
            is_known=self._known,
        )
        request = caller.request()
        decision = decide_wait(
            request,
            backlog,
            RESIDENCE,
            now_s,
            is_waiting=now_s > request.arrived_s,
            late_share=self._late_shares.share("p"),
        )
        if isinstance(decision, WaitUntil):
            caller.until_s = decision.until_s
            return
        self._waiting.remove(caller)
        caller.attempts[-1] = (caller.attempts[-1][0], now_s)
        caller.reasons.append(decision.reason)
        if decision.retry_after_ms is not None:
            returns_s = now_s + decision.retry_after_ms / 1_000
            caller.returns.append(returns_s)
            if returns_s < request.deadline_s:
                self._arriving.append((returns_s, caller))


def crowd(
    per_s: float, length_s: float, seed: int = 3, **fields: float
) -> list[Caller]:
    """Return callers that arrive at random."""
    rng = random.Random(seed)
    number = round(per_s * length_s)
    times_s = sorted(rng.uniform(0.0, length_s) for _ in range(number))
    return [Caller(s, n, **fields) for n, s in enumerate(times_s)]


def refusals(callers: list[Caller]) -> list[tuple[float, float]]:
    """Return when each refused attempt began and ended."""
    return [a for c in callers for a in c.attempts if a[1] < inf]


def at_once_share(callers: list[Caller]) -> float:
    """Return the share of refusals that were told at once."""
    refused = refusals(callers)
    return sum(e - b <= AT_ONCE_S for b, e in refused) / len(refused)


def check_no_wave(callers: list[Caller], width_s: float = 1.0) -> None:
    """Check that returns are as spread as `width_s` allows."""
    ended = Counter(int(e / width_s) for _, e in refusals(callers))
    slots = Counter(int(s / SLOT_S) for c in callers for s in c.returns)
    expected = max(ended.values()) * SLOT_S / width_s
    assert max(slots.values()) <= expected + 3 * sqrt(expected)


@pytest.mark.parametrize("late_last", [False, True])
@pytest.mark.parametrize("patience_s", [6.0, 39.0])
def test_beyond_what_fits_callers_are_served_or_told_at_once(
    patience_s: float, late_last: bool
) -> None:
    length_s = 20.0
    callers = crowd(3 * CAPACITY_PER_S, length_s, patience_s=patience_s)
    play = Play(callers, late_last=late_last)
    play.run(length_s)
    served = [c for c in callers if c.served_s is not None]
    assert len(served) >= 0.95 * CAPACITY_PER_S * length_s
    # Half of what fits may wait in vain: a forecast may be off by as much.
    assert at_once_share(callers) >= (3.0 - 1.5) / (3.0 - 1.0)
    check_no_wave(callers)
    for caller in served:
        begun_s = caller.attempts[-1][0]
        assert caller.served_s is not None
        assert caller.served_s - begun_s <= 4 * caller.target_s
        last_s = caller.first_s + patience_s - RUN_S
        assert caller.served_s <= last_s + STEP_S


@pytest.mark.parametrize("late_last", [False, True])
def test_after_a_crowd_all_whose_time_suffices_are_served(
    late_last: bool,
) -> None:
    callers = crowd(4 * CAPACITY_PER_S, 5.0)
    play = Play(callers, late_last=late_last)
    play.run(45.0)
    assert all(c.served_s is not None for c in callers)
    check_no_wave(callers)


def test_behind_those_in_time_few_wait_in_vain() -> None:
    length_s = 20.0
    callers = crowd(3 * CAPACITY_PER_S, length_s)
    Play(callers, late_last=True).run(length_s)
    in_vain_s = sum(e - b for b, e in refusals(callers))
    # No more than the half that a forecast may be off by, 7 s each.
    assert in_vain_s <= 0.5 * CAPACITY_PER_S * length_s * 7.0
    in_time = [c for c in callers if (c.served_s or inf) - c.first_s <= 2.0]
    assert len(in_time) >= 0.5 * CAPACITY_PER_S * length_s


def test_callers_refused_at_one_moment_return_at_different_ones() -> None:
    callers = [Caller(1.0, n) for n in range(20 * PLACES)]
    Play(callers).run(1.5)
    assert len(refusals(callers)) > 10 * PLACES
    check_no_wave(callers)


def test_those_who_wait_as_engines_are_lost_are_told_soon() -> None:
    lost_s = 8.0
    callers = crowd(1.5 * CAPACITY_PER_S, lost_s)
    play = Play(callers)
    play.run(lost_s)
    before = len(refusals(callers))
    waiting = len(play._waiting)
    play.places = PLACES // 10
    play.run(lost_s + 2 * RENEWAL_S, from_s=lost_s)
    assert len(refusals(callers)) - before > 0.5 * waiting
    bearable = 2.0 * 7.0 * play.places / RUN_S  # in twice the longest wait
    assert len(play._waiting) <= bearable


def test_without_a_forecast_callers_wait_for_their_target() -> None:
    callers = crowd(3 * CAPACITY_PER_S, 5.0)
    Play(callers, known=False).run(10.0)
    waits_s = [e - b for b, e in refusals(callers)]
    assert waits_s
    assert all(2.0 <= wait_s <= 2.0 + RENEWAL_S for wait_s in waits_s)
    assert not any(c.returns for c in callers)


def test_those_who_could_not_be_answered_in_time_are_told_at_once() -> None:
    callers = crowd(3 * CAPACITY_PER_S, 5.0, patience_s=0.9 * RUN_S)
    Play(callers).run(8.0)
    assert at_once_share(callers) == 1.0
    assert {r for c in callers for r in c.reasons} == {"too_late"}
    assert all(s > c.first_s for c in callers for s in c.returns)


def test_a_caller_who_bears_it_is_served_late_instead_of_refused() -> None:
    waiting = [Caller(0.0, n, 4.0) for n in range(4 * PLACES)]
    Play(waiting).run(10.0)
    assert not refusals(waiting)
    late = [c for c in waiting if (c.served_s or 0.0) > c.target_s]
    assert len(late) == PLACES  # the last turn of four, after 6 s


def test_a_forecast_that_is_short_of_half_refuses_nobody_to_be_served() -> (
    None
):
    request = Caller(0.0, attempts=[(0.0, inf)]).request()
    longest_ms = 7_000.0  # 4 targets, less the time to start
    for factor, kind in ((1.4, WaitUntil), (1.6, RefuseNow)):
        missing = round(factor * longest_ms / (RUN_S * 1_000) * 20_000)
        backlog = Backlog(
            free_tokens=0,
            used_tokens=20_000,
            ahead_tokens=missing,
            is_known=True,
        )
        decision = decide_wait(request, backlog, RESIDENCE, 0.0)
        assert isinstance(decision, kind)


def test_nobody_is_refused_for_an_estimate_alone() -> None:
    request = Caller(0.0, attempts=[(0.0, inf)]).request()
    backlog = Backlog(
        free_tokens=0, used_tokens=1, ahead_tokens=10**6, is_known=True
    )
    times = ResidenceTimes()
    decision = decide_wait(request, backlog, times.of("p", 9e9), 0.0)
    assert isinstance(decision, WaitUntil)
    times.record("p", TOKENS, 2_000.0, 2_000.0)
    decision = decide_wait(request, backlog, times.of("p", 2_000.0), 0.0)
    assert isinstance(decision, RefuseNow)


def test_residence_is_learned_by_tokens() -> None:
    times = ResidenceTimes()
    assert times.of("p", 3_000.0) == Residence(
        mean_ms=3_000.0, least_mean_ms=0.0, least_run_ms=0.0
    )
    for _ in range(500):
        times.record("p", 1_000, 2_000.0, 1_000.0)
        times.record("p", 3_000, 6_000.0, 3_000.0)
    mean_ms = (1_000 * 1_000 + 3_000 * 3_000) / 4_000
    found = times.of("p", 4_000.0)
    assert found.mean_ms == pytest.approx(mean_ms, rel=0.1)
    assert found.least_mean_ms == pytest.approx(mean_ms, rel=0.1)
    assert found.least_run_ms == pytest.approx(2_000.0, rel=0.1)
    assert times.of("other", 6_000.0).mean_ms == 6_000.0
