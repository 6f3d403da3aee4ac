import pytest

from models.preset_fold import BROKEN, check, check_broken

LOG_LIMIT = 2  # 3 records take too long here: run the module for those


def test_every_state_satisfies_all_properties():
    verdict = check(log_limit=LOG_LIMIT)
    assert verdict.violated == {}
    assert verdict.exhaustive
    assert verdict.states > 10_000


@pytest.mark.parametrize("name", sorted(BROKEN))
def test_removing_a_guard_violates_a_property(name):
    _, violated = BROKEN[name]
    assert violated in check_broken(name).violated
