"""Run short soak tests, and check the plan and the guarantee checker."""

import asyncio
from pathlib import Path

import pytest
from soak.guarantees import CallerOutcome, GuaranteeChecker, stream_body
from soak.plan import PLANNED, draw_plan
from soak.run import run_seed

LENGTH_S = 5.0
# One run with planned operations only and one with any fault. A seed that
# violated a guarantee is added here with its cause.
SEEDS = [1, 2]


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold(seed: int, tmp_path: Path) -> None:
    result = asyncio.run(run_seed(seed, LENGTH_S, tmp_path))
    assert result.violations == []
    assert result.served > 50


def test_plan_is_determined_by_its_seed() -> None:
    assert draw_plan(7, 10.0) == draw_plan(7, 10.0)
    plans = [draw_plan(seed, 10.0) for seed in range(50)]
    planned = [plan for plan in plans if plan.is_planned_only]
    assert 5 < len(planned) < 30
    assert all(f.kind in PLANNED for plan in planned for f in plan.faults)


def make_outcome(request_id: str = "r1", **fields: object) -> CallerOutcome:
    values: dict[str, object] = {
        "request_id": request_id,
        "is_stream": False,
        "is_idempotent": False,
        "status": 200,
        "signature": f"signed-{request_id}",
        "body": b"done",
        "is_whole": True,
    }
    return CallerOutcome(**{**values, **fields})  # type: ignore[arg-type]


def make_checker_with_one_run() -> GuaranteeChecker:
    guarantees = GuaranteeChecker()
    guarantees.record_run("r1", "t-1", has_key=False, resumes=False)
    guarantees.record_upstream_answer("r1", 200, b"done")
    return guarantees


def test_allowed_outcomes_are_no_violations() -> None:
    guarantees = make_checker_with_one_run()
    guarantees.check_outcome(make_outcome())
    guarantees.check_outcome(
        make_outcome("r2", status=503, signature="", body=b"")
    )
    guarantees.check_outcome(
        make_outcome("r3", status=0, signature="", is_whole=False)
    )
    guarantees.record_run("r4", "t-1", has_key=False, resumes=False)
    guarantees.record_run("r4", "t-1", has_key=False, resumes=True)
    guarantees.check_outcome(
        make_outcome("r4", is_stream=True, body=stream_body("r4"))
    )
    assert guarantees.violations == []


@pytest.mark.parametrize(
    ("promise", "fields"),
    [
        ("refused", {"status": 503, "signature": ""}),
        ("refused", {"status": 408, "signature": ""}),
        ("mixed", {"signature": ""}),
        ("mixed", {"signature": "signed-r2"}),
        ("mixed", {"body": b"other"}),
        ("mixed", {"status": 500}),
        ("order", {"is_stream": True, "body": b"id: 1\n"}),
        ("order", {"is_stream": True, "body": stream_body("r1")[:20]}),
    ],
)
def test_violation_is_reported(promise: str, fields: dict) -> None:
    guarantees = make_checker_with_one_run()
    guarantees.check_outcome(make_outcome(**fields))
    assert [line.split(":")[0] for line in guarantees.violations] == [promise]


def test_repeated_run_and_run_after_refusal_are_reported() -> None:
    guarantees = make_checker_with_one_run()
    guarantees.record_run("r1", "t-1", has_key=False, resumes=False)
    guarantees.check_outcome(make_outcome("r2", status=503, signature=""))
    guarantees.record_run("r2", "t-1", has_key=False, resumes=False)
    assert guarantees.violations == [
        "twice: r1 was executed again",
        "refused: r2 was executed after its refusal",
    ]


def test_passed_on_key_and_wrong_workspace_are_reported() -> None:
    guarantees = GuaranteeChecker()
    guarantees.record_run("r1", "t-2", has_key=True, resumes=False)
    assert len(guarantees.violations) == 2
