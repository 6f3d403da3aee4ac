"""The order in which generations leave an engine, and the time they have."""

import random

import pytest

from balsamlift.relay import EngineTraits, RunningGeneration
from balsamlift.relay._departure import (
    LEAST_NOTICE_S,
    Departure,
    copy_s,
    place_in_line,
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
    ("tokens", "is_near", "expected_s"),
    [(4_000, True, 0.223), (4_000, False, 0.446), (0, True, 0.0)],
)
def test_a_copy_takes_as_long_as_its_bytes(
    tokens: int, is_near: bool, expected_s: float
) -> None:
    assert copy_s(TRAITS, tokens, is_near) == pytest.approx(
        expected_s, abs=0.001
    )


def test_hosts_work_out_the_same_order() -> None:
    rng = random.Random(4)
    for _ in range(10):
        runs = rng.sample(RUNS, len(RUNS))  # each host may get another order
        places = {
            r.request_id: place_in_line(runs, r.request_id) for r in runs
        }
        # The most to lose for the memory first; what ends by itself last.
        assert places == {"small": 0, "long": 1, "large": 2, "short": 3}


def test_what_is_not_listed_yet_goes_last() -> None:
    assert place_in_line(RUNS, "new") == len(RUNS)
    assert place_in_line([], "new") == 0


def test_without_figures_a_copy_takes_no_time() -> None:
    traits = EngineTraits(memory_tokens=1)
    assert copy_s(traits, 4_000, False) == 0.0


def test_a_notice_that_tells_no_time_is_short() -> None:
    departure = Departure(NOTICED_S)
    departure.take(None)
    assert departure.gone_s == NOTICED_S + LEAST_NOTICE_S


def test_who_hears_late_of_a_notice_is_late_by_no_more() -> None:
    late_s, notice_s, lag_s = 0.4, 1.8, 0.5
    departure = Departure(NOTICED_S + late_s)
    gone_s = NOTICED_S + notice_s
    for step in range(14):
        taken_s = NOTICED_S + late_s + step * 0.1 - lag_s
        if NOTICED_S <= taken_s < gone_s:
            departure.take(gone_s - taken_s)
    assert gone_s <= departure.gone_s <= gone_s + late_s


@pytest.mark.parametrize("notice_s", [0.8, 1.54, 2.1, 5.0])
@pytest.mark.parametrize("lag_s", [0.1, 0.5])
def test_reports_that_lag_never_tell_too_late_an_end(
    notice_s: float, lag_s: float
) -> None:
    """Whatever the notice: laws of other deployments too."""
    departure = Departure(NOTICED_S)
    gone_s = NOTICED_S + notice_s
    asked_s = NOTICED_S
    while asked_s < gone_s:
        taken_s = asked_s - lag_s
        knows = taken_s >= NOTICED_S
        departure.take(gone_s - taken_s if knows else None)
        if knows:
            assert departure.gone_s <= gone_s + 1e-9
        asked_s += 0.1
    assert departure.gone_s == pytest.approx(gone_s, abs=0.11)
