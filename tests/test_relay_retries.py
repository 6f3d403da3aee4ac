"""The budget of retries, summed over hosts that come and go."""

import random

import pytest

from balsamlift.clock import SystemClock
from balsamlift.relay import RetryLimits
from balsamlift.relay._retries import Retries

LIMITS = RetryLimits(ratio=0.2, extra=54, window_s=10.0)


class HandClock(SystemClock):
    """A clock that a test moves by hand."""

    now_s = 0.0

    def monotonic(self) -> float:
        return self.now_s


def spend_all(retries: Retries) -> int:
    spent = 0
    while retries.spend("s"):
        spent += 1
    return spent


def test_a_share_of_the_requests_may_be_repeated() -> None:
    retries = Retries(LIMITS, lambda: 1, HandClock())
    for _ in range(100):
        retries.requested("s")
    assert spend_all(retries) == 14  # 0.7 of 20


def test_the_extra_is_taken_after_a_whole_window() -> None:
    clock = HandClock()
    retries = Retries(LIMITS, lambda: 2, clock)
    assert spend_all(retries) == 0
    clock.now_s = 10.0
    assert spend_all(retries) == 18  # 0.7 of 54 / 2


@pytest.mark.parametrize("hosts", [9, 78, 430])
def test_hosts_that_restart_keep_to_the_budget_together(hosts: int) -> None:
    """Every window of a run with restarts holds, summed over hosts."""
    rng = random.Random(hosts)
    clock = HandClock()
    fleet = [Retries(LIMITS, lambda: hosts, clock) for _ in range(hosts)]
    requests: list[float] = []
    repeats: list[float] = []
    while clock.now_s < 40.0:
        clock.now_s += 0.05
        for _ in range(3):
            rng.choice(fleet).requested("s")
            requests.append(clock.now_s)
        retries = rng.choice(fleet)
        while retries.spend("s"):
            repeats.append(clock.now_s)
        if rng.random() < 0.05:
            fleet[rng.randrange(hosts)] = Retries(LIMITS, lambda: hosts, clock)
    for end_s in repeats:
        start_s = end_s - LIMITS.window_s
        in_window = sum(start_s < t <= end_s for t in repeats)
        asked = sum(start_s < t <= end_s for t in requests)
        assert in_window <= LIMITS.ratio * asked + LIMITS.extra
