"""Short runs in which upstreams leave soon after the store was silent."""

import asyncio
from pathlib import Path

import pytest
from soak.stop_plan import HEARTBEAT_S, SERVES_ON_LONG_S, Step, StopPlan
from soak.stops import StopRun


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_an_entry_removed_after_an_outage_of_the_store_is_kept_too_long(
    seed: int, tmp_path: Path
) -> None:
    silence = Step(kind="silence_store", at_s=1.0, duration_s=4.0)
    removals = [
        Step(kind="unlist", at_s=at_s, target=target)
        for target, at_s in enumerate((5.02, 5.4, 5.8))
    ]
    plan = StopPlan(
        seed=seed,
        steps=(silence, *removals),
        length_s=11.0,
        hosts=1 + seed % 2,
        callers=4,
        calls_per_s=40.0,
        work_s=0.05,
        serves_on_s=SERVES_ON_LONG_S,
        heartbeat_s=HEARTBEAT_S if seed > 2 else None,
    )
    run = StopRun(plan, tmp_path)
    asyncio.run(run.run())
    assert run.checker.violations == []
    assert len(run.outcomes) > 300
