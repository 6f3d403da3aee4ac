import pytest

from models.request_keys import (
    BROKEN,
    UNHOMED_BROKEN,
    broken_verdicts,
    sound_verdicts,
)

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
REFUSED_FALSELY = [
    "refused when the home is dead",
    "home takes keys after the hand-over",
    "refused by the home, taken by the successor",
    "unfinished key left out of the table",
    "refusal forgotten",
]


@pytest.fixture(scope="module")
def broken():
    return {verdict.name: verdict for verdict in broken_verdicts()}


def test_every_state_keeps_the_promises():
    for verdict in sound_verdicts():
        assert verdict.exhaustive, verdict.name
        assert verdict.violated == {}, verdict.name


def test_every_broken_variant_is_expected():
    assert {*RUN_TWICE, *REFUSED_FALSELY} == {*BROKEN, *UNHOMED_BROKEN}


@pytest.mark.parametrize("name", RUN_TWICE)
def test_without_the_guard_a_key_runs_twice(broken, name):
    assert "at_most_once" in broken[name].violated


@pytest.mark.parametrize("name", REFUSED_FALSELY)
def test_without_the_guard_a_refusal_is_false(broken, name):
    assert "refused_never_ran" in broken[name].violated
