import pytest

from models.request_keys import (
    BROKEN,
    UNHOMED_BROKEN,
    broken_verdicts,
    sound_verdicts,
)

# Broken variants that run a key twice.
RUN_TWICE = [
    "any host runs a key",
    "restarted home takes old keys",
    "two successors",
    "repeated hand-over replaces the table",
    "hand-over reaches a new incarnation",
    "sent again after a lost answer",
    "new key after unknown",
    *UNHOMED_BROKEN,
]
# Broken variants that refuse a key which runs.
REFUSED_THOUGH_RUN = [
    "refused when the home is dead",
    "home takes keys after the hand-over",
    "refused by the home, taken by the successor",
    "unfinished key left out of the table",
    "refusal forgotten",
]


@pytest.fixture(scope="module")
def broken():
    return {verdict.name: verdict for verdict in broken_verdicts()}


def test_every_state_satisfies_all_properties():
    for verdict in sound_verdicts():
        assert verdict.exhaustive, verdict.name
        assert verdict.violated == {}, verdict.name


def test_every_broken_variant_has_an_expected_violation():
    assert {*RUN_TWICE, *REFUSED_THOUGH_RUN} == {*BROKEN, *UNHOMED_BROKEN}


@pytest.mark.parametrize("name", RUN_TWICE)
def test_without_the_guard_a_key_runs_twice(broken, name):
    assert "at_most_once" in broken[name].violated


@pytest.mark.parametrize("name", REFUSED_THOUGH_RUN)
def test_without_the_guard_a_refused_key_runs(broken, name):
    assert "refused_never_ran" in broken[name].violated
