import pytest

from models.order_lease import BROKEN, SOUND, broken_verdict, sound_verdict

# The property that each broken variant violates.
VIOLATED = {
    "no compare-and-set": "one_holder",
    "term from after append": "one_holder",
    "wait from before read": "one_holder",
    "lease not checked before order": "one_giver",
    "fence not checked": "never_reverted",
    "not renewed after switch": "never_reverted",
    "not read back": "goal",
    "routing trusts orders": "never_misrouted",
    "start frame not checked": "never_misrouted",
}


@pytest.mark.parametrize("name", SOUND)
def test_every_state_satisfies_all_properties(name):
    verdict = sound_verdict(name)
    assert verdict.exhaustive
    assert verdict.violated == {}


@pytest.mark.parametrize("name", BROKEN)
def test_removing_a_guard_violates_a_property(name):
    assert VIOLATED[name] in broken_verdict(name).violated
