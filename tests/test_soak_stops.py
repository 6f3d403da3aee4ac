"""Short runs with upstream processes that are stopped by signals."""

import asyncio
from pathlib import Path

import pytest
from soak.stop_plan import Kind, Step, StopPlan, draw_stop_plan
from soak.stops import StopRun

LENGTH_S = 8.0
DRAWN_SEEDS = [2]
# Twice what fits; each read 11 or more requests late on c902f4b.
OVERLOADED_SEEDS = [3, 5]


def run(plan: StopPlan, folder: Path) -> StopRun:
    stop_run = StopRun(plan, folder)
    asyncio.run(stop_run.run())
    return stop_run


def check_unread(
    seed: int, folder: Path, hosts: int, calls_per_s: float
) -> None:
    """Stop one upstream for longer than its entry lasts."""
    step = Step(kind="stop", at_s=1.0, duration_s=6.5)
    plan = StopPlan(
        seed=seed,
        steps=(step,),
        length_s=LENGTH_S,
        hosts=hosts,
        callers=4,
        calls_per_s=calls_per_s,
    )
    result = run(plan, folder)
    assert result.checker.violations == []
    assert len(result.outcomes) > 500


@pytest.mark.parametrize("seed", OVERLOADED_SEEDS)
def test_few_requests_lie_unread_at_a_stopped_upstream(
    seed: int, tmp_path: Path
) -> None:
    check_unread(seed, tmp_path, hosts=4, calls_per_s=400.0)


def test_few_requests_of_many_hosts_lie_unread_at_a_stopped_upstream(
    tmp_path: Path,
) -> None:
    check_unread(1, tmp_path, hosts=20, calls_per_s=200.0)


@pytest.mark.parametrize("seed", DRAWN_SEEDS)
def test_guarantees_hold_while_upstreams_stop_and_go_on(
    seed: int, tmp_path: Path
) -> None:
    result = run(draw_stop_plan(seed, LENGTH_S, hosts=4), tmp_path)
    assert result.checker.violations == []
    assert len(result.outcomes) > 50


def test_a_host_that_was_stopped_ejects_no_upstream_that_worked(
    tmp_path: Path,
) -> None:
    step = Step(kind="stop_host", at_s=1.5, duration_s=5.0)
    plan = StopPlan(
        seed=1,
        steps=(step,),
        length_s=8.0,
        hosts=2,
        callers=12,
        work_s=0.8,
    )
    run(plan, tmp_path)
    lines = (tmp_path / "edge-0.log").read_text().splitlines()
    assert [line for line in lines if "ejected" in line] == []


@pytest.mark.parametrize("kind", ["drain", "unlist"])
def test_a_host_that_was_stopped_sends_nothing_to_an_upstream_that_left(
    kind: Kind, tmp_path: Path
) -> None:
    steps = [
        step
        for at_s in (1.0, 5.5)
        for step in (
            Step(kind="stop_host", at_s=at_s, duration_s=3.0),
            Step(kind=kind, at_s=at_s + 0.1, target=int(at_s)),
        )
    ]
    plan = StopPlan(
        seed=2,
        steps=tuple(steps),
        length_s=11.0,
        callers=24,
        calls_per_s=200.0,
        work_s=0.05,
    )
    result = run(plan, tmp_path)
    assert result.checker.violations == []
    assert len(result.outcomes) > 500
