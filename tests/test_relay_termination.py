"""Order of the copies off a leaving engine, and its estimated termination."""

import random

import pytest

from balsamlift.relay import EngineTraits, RunningGeneration
from balsamlift.relay.generations._termination import (
    MIN_NOTICE_S,
    TerminationEstimate,
    estimate_copy_s,
    queue_position,
)

TRAITS = EngineTraits(
    memory_tokens=34_484, token_bytes=327_680, link_mbps=47_000.0
)
RUNS = [
    RunningGeneration(request_id="long", tokens=4_000, events=300),
    RunningGeneration(request_id="small", tokens=2_000, events=100),
    RunningGeneration(request_id="large", tokens=6_000, events=120),
    RunningGeneration(request_id="short", tokens=2_500, events=2),
]
NOTICED_S = 50.0


@pytest.mark.parametrize(
    ("tokens", "is_same_domain", "expected_s"),
    [(4_000, True, 0.223), (4_000, False, 0.446), (0, True, 0.0)],
)
def test_copy_time_is_proportional_to_memory_size(
    tokens: int, is_same_domain: bool, expected_s: float
) -> None:
    assert estimate_copy_s(TRAITS, tokens, is_same_domain) == pytest.approx(
        expected_s, abs=0.001
    )


def test_all_hosts_derive_the_same_order() -> None:
    rng = random.Random(4)
    for _ in range(10):
        runs = rng.sample(RUNS, len(RUNS))  # the order may differ per host
        positions = {
            r.request_id: queue_position(runs, r.request_id) for r in runs
        }
        # Most progress per token of memory first; possibly short runs last.
        assert positions == {"small": 0, "long": 1, "large": 2, "short": 3}


def test_an_unlisted_run_goes_last() -> None:
    assert queue_position(RUNS, "new") == len(RUNS)
    assert queue_position([], "new") == 0


def test_a_copy_takes_no_time_if_the_link_speed_is_unknown() -> None:
    traits = EngineTraits(memory_tokens=1)
    assert estimate_copy_s(traits, 4_000, False) == 0.0


def test_the_notice_is_short_if_no_report_states_it() -> None:
    termination = TerminationEstimate(NOTICED_S)
    termination.update(None)
    assert termination.terminates_s == NOTICED_S + MIN_NOTICE_S


def test_a_late_notice_delays_the_estimate_by_no_more() -> None:
    late_s, notice_s, lag_s = 0.4, 1.8, 0.5
    termination = TerminationEstimate(NOTICED_S + late_s)
    terminates_s = NOTICED_S + notice_s
    for step in range(14):
        taken_s = NOTICED_S + late_s + step * 0.1 - lag_s
        if NOTICED_S <= taken_s < terminates_s:
            termination.update(terminates_s - taken_s)
    assert terminates_s <= termination.terminates_s <= terminates_s + late_s


@pytest.mark.parametrize("notice_s", [0.8, 1.54, 2.1, 5.0])
@pytest.mark.parametrize("lag_s", [0.1, 0.5])
def test_outdated_reports_never_give_too_late_an_estimate(
    notice_s: float, lag_s: float
) -> None:
    """For any length of the notice, including those of other deployments."""
    termination = TerminationEstimate(NOTICED_S)
    terminates_s = NOTICED_S + notice_s
    asked_s = NOTICED_S
    while asked_s < terminates_s:
        taken_s = asked_s - lag_s
        knows = taken_s >= NOTICED_S
        termination.update(terminates_s - taken_s if knows else None)
        if knows:
            assert termination.terminates_s <= terminates_s + 1e-9
        asked_s += 0.1
    assert termination.terminates_s == pytest.approx(terminates_s, abs=0.11)
