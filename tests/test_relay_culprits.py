"""Attribution of upstream crashes to the requests that caused them."""

import random

import pytest

from balsamlift.relay.crashes._culprits import CrashHistory, find_culprits


def history(upstreams: str, before_output: int = 0) -> CrashHistory:
    return CrashHistory(frozenset(upstreams), before_output)


def test_a_request_that_crashes_three_upstreams_is_a_culprit() -> None:
    assert find_culprits({"a": history("123")}, ()) == {"a"}


def test_two_crashes_are_not_enough() -> None:
    assert find_culprits({"a": history("12", 2)}, ()) == frozenset()


def test_a_completed_request_is_not_a_culprit() -> None:
    assert find_culprits({"a": history("12345")}, {"a"}) == frozenset()


def test_a_request_that_ran_next_to_a_culprit_is_not_a_culprit() -> None:
    histories = {"concurrent": history("123"), "cause": history("1234")}
    assert find_culprits(histories, ()) == {"cause"}


def test_crashes_before_any_output_identify_the_culprit() -> None:
    histories = {
        "concurrent": history("1234"),
        "cause": history("123", before_output=3),
    }
    assert find_culprits(histories, ()) == {"cause"}


def test_one_unrelated_crash_does_not_make_a_culprit() -> None:
    histories = {
        "concurrent": history("1239"),
        "cause": history("123", before_output=3),
    }
    assert find_culprits(histories, ()) == {"cause"}


def test_two_culprits_with_a_common_crash_are_both_found() -> None:
    histories = {
        "one": history("123", before_output=3),
        "other": history("345", before_output=3),
    }
    assert find_culprits(histories, ()) == {"one", "other"}


@pytest.mark.parametrize("seed", range(20))
def test_the_result_does_not_depend_on_the_order_of_requests(
    seed: int,
) -> None:
    rng = random.Random(seed)
    histories = [
        (name, history("".join(rng.sample("123456", 4)))) for name in "abcdef"
    ]
    first = find_culprits(dict(histories), ())
    rng.shuffle(histories)
    assert find_culprits(dict(histories), ()) == first
