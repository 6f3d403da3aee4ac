import pytest

from models.platform_view import BROKEN, broken_verdict, sound_verdict

VIOLATED = {
    "older versions taken": "never_goes_back",
    "peers tell no version": "follows",
    "peers tell no leaving": "leaves_in_time",
    "lapsed entries dropped at once": "lapsed_is_kept",
    "a peer's word outlives the list": "comes_back",
}


def test_a_host_believes_the_right_thing_for_long_enough() -> None:
    verdict = sound_verdict()
    assert verdict.violated == {}
    assert verdict.holds
    assert verdict.states > 1_000


@pytest.mark.parametrize("name", BROKEN)
def test_each_guard_is_needed(name: str) -> None:
    assert VIOLATED[name] in broken_verdict(name).violated
