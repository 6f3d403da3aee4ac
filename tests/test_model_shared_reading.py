import pytest

from models.shared_reading import BROKEN, broken_verdict, sound_verdict


def test_the_follower_knows_each_change_in_time() -> None:
    verdict = sound_verdict()
    assert verdict.violated == {}
    assert verdict.holds
    assert verdict.states > 1_000


# The property that each broken variant violates.
VIOLATED = dict.fromkeys(BROKEN, "knows_in_time")
VIOLATED["confirmed without evacuations"] = "obeys_in_time"


@pytest.mark.parametrize("name", BROKEN)
def test_removing_a_guard_violates_a_property(name: str) -> None:
    assert VIOLATED[name] in broken_verdict(name).violated
