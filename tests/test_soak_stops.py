"""Short runs with upstream processes that are stopped by signals."""

import asyncio
from pathlib import Path

import pytest
from soak.stop_plan import Step, StopPlan, draw_stop_plan
from soak.stops import StopRun

LENGTH_S = 8.0
DRAWN_SEEDS = [2]
# Twice what fits; each read 11 or more requests late on c902f4b.
OVERLOADED_SEEDS = [3, 5]


def run(plan: StopPlan, folder: Path) -> StopRun:
    stop_run = StopRun(plan, folder)
    asyncio.run(stop_run.run())
    return stop_run


@pytest.mark.parametrize("seed", OVERLOADED_SEEDS)
def test_few_requests_lie_unread_at_a_stopped_upstream(
    seed: int, tmp_path: Path
) -> None:
    step = Step(kind="stop", at_s=1.0, duration_s=6.5)
    plan = StopPlan(
        seed=seed,
        steps=(step,),
        length_s=LENGTH_S,
        callers=4,
        calls_per_s=400.0,
    )
    result = run(plan, tmp_path)
    assert result.checker.violations == []
    assert len(result.outcomes) > 500


@pytest.mark.parametrize("seed", DRAWN_SEEDS)
def test_guarantees_hold_while_upstreams_stop_and_go_on(
    seed: int, tmp_path: Path
) -> None:
    result = run(draw_stop_plan(seed, LENGTH_S, hosts=4), tmp_path)
    assert result.checker.violations == []
    assert len(result.outcomes) > 50
