"""The retry budget of all hosts together, while hosts join and leave."""

import random

import pytest
from _manual_clock import ManualClock

from balsamlift.relay import RetryLimits
from balsamlift.relay._retry_budget import RetryBudget

LIMITS = RetryLimits(ratio=0.2, extra=54, window_s=10.0)


def spend_all(retries: RetryBudget) -> int:
    spent = 0
    while retries.spend("s"):
        spent += 1
    return spent


def test_a_share_of_the_requests_may_be_retried() -> None:
    retries = RetryBudget(LIMITS, lambda: 1, ManualClock())
    for _ in range(100):
        retries.record_request("s")
    assert spend_all(retries) == 14  # 0.7 of 20


def test_the_extra_is_available_after_a_whole_window() -> None:
    clock = ManualClock()
    retries = RetryBudget(LIMITS, lambda: 2, clock)
    assert spend_all(retries) == 0
    clock.now_s = 10.0
    assert spend_all(retries) == 18  # 0.7 of 54 / 2


@pytest.mark.parametrize("hosts", [9, 78, 430])
def test_restarting_hosts_stay_within_the_budget(hosts: int) -> None:
    """The budget holds in every window, summed over hosts that restart."""
    rng = random.Random(hosts)
    clock = ManualClock()
    fleet = [RetryBudget(LIMITS, lambda: hosts, clock) for _ in range(hosts)]
    requests: list[float] = []
    sent_retries: list[float] = []
    while clock.now_s < 40.0:
        clock.now_s += 0.05
        for _ in range(3):
            rng.choice(fleet).record_request("s")
            requests.append(clock.now_s)
        retries = rng.choice(fleet)
        while retries.spend("s"):
            sent_retries.append(clock.now_s)
        if rng.random() < 0.05:
            fleet[rng.randrange(hosts)] = RetryBudget(
                LIMITS, lambda: hosts, clock
            )
    for end_s in sent_retries:
        start_s = end_s - LIMITS.window_s
        in_window = sum(start_s < t <= end_s for t in sent_retries)
        asked = sum(start_s < t <= end_s for t in requests)
        assert in_window <= LIMITS.ratio * asked + LIMITS.extra
