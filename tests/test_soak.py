"""A short soak, and the seeds that once broke a promise."""

import asyncio
from pathlib import Path

import pytest
from soak.plan import PLANNED, draw
from soak.promises import Promises, Told, stream_body
from soak.run import run_seed

LENGTH_S = 5.0
# One with planned work only, one with any fault. Seeds that broke a promise
# are added here, each with its cause.
SEEDS = [1, 2]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold(seed: int, tmp_path: Path) -> None:
    result = asyncio.run(run_seed(seed, LENGTH_S, tmp_path))
    assert result.broken == []
    assert result.served > 50


def test_a_plan_follows_from_its_seed() -> None:
    assert draw(7, 10.0) == draw(7, 10.0)
    plans = [draw(seed, 10.0) for seed in range(50)]
    planned = [plan for plan in plans if plan.is_planned_only]
    assert 5 < len(planned) < 30
    assert all(f.kind in PLANNED for plan in planned for f in plan.faults)


def told(request_id: str = "r1", **fields: object) -> Told:
    values: dict[str, object] = {
        "request_id": request_id,
        "is_stream": False,
        "is_idempotent": False,
        "status": 200,
        "signature": f"signed-{request_id}",
        "body": b"done",
        "is_whole": True,
    }
    return Told(**{**values, **fields})  # type: ignore[arg-type]


def after_one_run() -> Promises:
    promises = Promises()
    promises.ran("r1", "t-1", has_key=False, resumes=False)
    promises.answered("r1", 200, b"done")
    return promises


def test_what_is_allowed_breaks_nothing() -> None:
    promises = after_one_run()
    promises.tell(told())
    promises.tell(told("r2", status=503, signature="", body=b""))
    promises.tell(told("r3", status=0, signature="", is_whole=False))
    promises.ran("r4", "t-1", has_key=False, resumes=False)
    promises.ran("r4", "t-1", has_key=False, resumes=True)
    promises.tell(told("r4", is_stream=True, body=stream_body("r4")))
    assert promises.broken == []


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
def test_a_broken_promise_is_seen(promise: str, fields: dict) -> None:
    promises = after_one_run()
    promises.tell(told(**fields))
    assert [line.split(":")[0] for line in promises.broken] == [promise]


def test_a_second_run_is_seen_and_one_after_a_refusal() -> None:
    promises = after_one_run()
    promises.ran("r1", "t-1", has_key=False, resumes=False)
    promises.tell(told("r2", status=503, signature=""))
    promises.ran("r2", "t-1", has_key=False, resumes=False)
    assert promises.broken == [
        "twice: r1 ran again",
        "refused: r2 runs after all",
    ]


def test_a_key_or_another_workspace_is_seen() -> None:
    promises = Promises()
    promises.ran("r1", "t-2", has_key=True, resumes=False)
    assert len(promises.broken) == 2
