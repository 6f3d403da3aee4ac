import pytest

from models.platform_view import BROKEN, broken_verdict, sound_verdict

# The property that each broken variant violates.
VIOLATED = {
    "older versions taken": "never_goes_back",
    "peers tell no version": "follows",
    "peers tell no leaving": "leaves_in_time",
    "lapsed entries dropped at once": "lapsed_is_kept",
    "a peer's word outlives the list": "comes_back",
}


def test_every_state_satisfies_all_properties() -> None:
    verdict = sound_verdict()
    assert verdict.violated == {}
    assert verdict.holds
    assert verdict.states > 1_000


@pytest.mark.parametrize("name", BROKEN)
def test_removing_a_guard_violates_a_property(name: str) -> None:
    assert VIOLATED[name] in broken_verdict(name).violated
