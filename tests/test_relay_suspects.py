"""Attribution of crashes to the parts of prompts."""

import pytest

from balsamlift.peers import PartState
from balsamlift.relay.crashes._suspects import (
    SIMULTANEOUS_S,
    PartCrash,
    PartHistory,
    find_suspects,
)

HEAD = PartState.CRASHED_AFTER_HEAD
WAITING = PartState.CRASHED_BEFORE_HEAD
OUTPUT = PartState.CRASHED_AFTER_OUTPUT


def history(
    upstreams: str,
    state: PartState = HEAD,
    *,
    is_known: bool = False,
    gap_s: float = 1.0,
) -> PartHistory:
    return PartHistory(
        tuple(PartCrash(name, int(name) * gap_s, state) for name in upstreams),
        is_known,
    )


@pytest.mark.parametrize(
    ("upstreams", "is_known", "is_suspected"),
    [
        ("1", False, False),
        ("12", False, True),
        ("123", True, False),
        ("1234", True, True),
    ],
)
def test_a_part_is_suspected_from_few_crashes(
    upstreams: str, is_known: bool, is_suspected: bool
) -> None:
    found = find_suspects({"a": history(upstreams, is_known=is_known)})
    assert bool(found) == is_suspected


def test_crashes_at_the_same_time_count_as_one() -> None:
    together = history("12345", gap_s=SIMULTANEOUS_S / 5)
    assert find_suspects({"a": together}) == {}


def test_a_series_of_crashes_is_not_taken_for_one() -> None:
    series = history("12345", gap_s=SIMULTANEOUS_S * 0.6)
    assert find_suspects({"a": series})["a"].crashes == 3


@pytest.mark.parametrize(
    ("upstreams", "state", "is_known", "is_blocked"),
    [
        ("12", HEAD, False, False),
        ("123", HEAD, False, True),
        ("123", OUTPUT, False, False),
        ("1234", WAITING, False, False),
        ("12345", OUTPUT, False, True),
        ("12345", HEAD, True, False),
        ("123456", HEAD, True, True),
    ],
)
def test_a_part_is_blocked_from_more_crashes(
    upstreams: str, state: PartState, is_known: bool, is_blocked: bool
) -> None:
    found = find_suspects({"a": history(upstreams, state, is_known=is_known)})
    assert found["a"].is_blocked == is_blocked


def test_parts_that_ran_beside_the_cause_are_not_suspected() -> None:
    histories = {
        "beside": history("1234", OUTPUT),
        "waiting": history("123", WAITING),
        "cause": history("12345"),
    }
    assert find_suspects(histories).keys() == {"cause"}


def test_a_part_that_ran_before_is_not_preferred_to_a_new_one() -> None:
    histories = {
        "zz-known": history("1234", is_known=True),
        "new": history("1234"),
    }
    assert find_suspects(histories).keys() == {"new"}


def test_two_causes_are_both_suspected() -> None:
    histories = {"one": history("123"), "other": history("456")}
    assert find_suspects(histories).keys() == {"one", "other"}
