import pytest

from models.preset_fold import BROKEN, check, check_broken

TWO_RECORDS = 2  # three take too long here: run the model itself


def test_every_property_holds_in_every_state():
    verdict = check(log_limit=TWO_RECORDS)
    assert verdict.violated == {}
    assert verdict.exhaustive
    assert verdict.states > 10_000


@pytest.mark.parametrize("name", sorted(BROKEN))
def test_each_guard_is_needed(name):
    _, violated = BROKEN[name]
    assert violated in check_broken(name).violated
