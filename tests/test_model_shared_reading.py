import pytest

from models.shared_reading import BROKEN, broken_verdict, sound_verdict


def test_a_host_that_is_told_knows_each_change_in_time() -> None:
    verdict = sound_verdict()
    assert verdict.violated == {}
    assert verdict.holds
    assert verdict.states > 1_000


# What each variant breaks: the change, or the evacuation beside it.
VIOLATED = dict.fromkeys(BROKEN, "knows_in_time")
VIOLATED["confirmed without evacuations"] = "obeys_in_time"


@pytest.mark.parametrize("name", BROKEN)
def test_each_guard_is_needed(name: str) -> None:
    assert VIOLATED[name] in broken_verdict(name).violated
