"""The experiment is deterministic, and every request in it ends."""

import pytest

from balsamlift.placement import Policy
from balsamlift.testing import _experiment
from balsamlift.testing._experiment import Case, run_case


@pytest.fixture(autouse=True)
def _short_runs(monkeypatch):
    monkeypatch.setattr(_experiment, "WARM_MS", 2_000.0)
    monkeypatch.setattr(_experiment, "MEASURED_MS", 4_000.0)
    monkeypatch.setattr(_experiment, "FAULT_MS", 3_000.0)


def make_case(fault, policy):
    return Case(
        deployment="warisan-pulih",
        load=1.3,
        fault=fault,
        seed=5,
        policy=policy,
        settings=Policy(name=policy),
    )


@pytest.mark.parametrize("fault", ["none", "reclaimed", "domain", "crowd"])
@pytest.mark.parametrize("policy", ["balsamlift", "least_load"])
def test_every_request_ends(fault, policy):
    result = run_case(make_case(fault, policy), 16.0)
    ended = result.whole + result.refused + result.failed
    assert ended == result.requests > 0


def test_run_is_deterministic():
    case = make_case("slow", "balsamlift")
    assert run_case(case, 16.0) == run_case(case, 16.0)
