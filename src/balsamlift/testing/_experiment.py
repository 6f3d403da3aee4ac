"""Measure the placement policy against its baselines in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from balsamlift.placement import Policy
from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._engine_types import EngineParameters, Work
from balsamlift.testing._experiment_measure import Recorder, Result
from balsamlift.testing._experiment_simulation import Simulation
from balsamlift.testing._experiment_workload import (
    DEPLOYMENTS,
    Deployment,
    FlashCrowd,
    arrivals,
    draw_arrival,
    workspace_name,
)

WARM_MS = 30_000.0
MEASURED_MS = 90_000.0
DRAIN_MS = 180_000.0
FAULT_MS = WARM_MS + 20_000.0
FAULT_DURATION_MS = 30_000.0
SLOW_FACTOR = 6.0
RECLAIM_NOTICE_MS = 3_000.0
CROWD_FACTOR = 10.0
CROWD_WORKSPACE = workspace_name(9)  # one of those with the smallest weight

FAULTS = ("none", "slow", "reclaimed", "domain", "crowd")


@attrs.frozen(kw_only=True)
class Case:
    """Identify one run: workload, fault, seed and policy."""

    deployment: str
    load: float  # as a multiple of the capacity
    fault: str
    seed: int
    policy: str  # label of `settings` in the results
    settings: Policy


def run_case(case: Case, capacity_per_s: float) -> Result:
    """Simulate one case and return its figures."""
    deployment = DEPLOYMENTS[case.deployment]
    end_ms = WARM_MS + MEASURED_MS
    recorder = Recorder(WARM_MS, end_ms)
    simulation = Simulation(deployment, case.settings, recorder, case.seed)
    rate = capacity_per_s * case.load
    crowd = _flash_crowd() if case.fault == "crowd" else None
    simulation.add_arrivals(
        arrivals(deployment, rate, end_ms, case.seed, crowd)
    )
    if case.fault != "none":
        _schedule_fault(simulation, case.fault)
    simulation.run(end_ms)
    simulation.drain(end_ms + DRAIN_MS)
    return recorder.result(None if case.fault == "none" else FAULT_MS)


def _flash_crowd() -> FlashCrowd:
    return FlashCrowd(
        workspace=CROWD_WORKSPACE,
        start_ms=FAULT_MS,
        end_ms=FAULT_MS + FAULT_DURATION_MS,
        factor=CROWD_FACTOR,
    )


def _schedule_fault(simulation: Simulation, fault: str) -> None:
    inject: dict[str, Callable[[], None]] = {
        "slow": lambda: simulation.slow(0, SLOW_FACTOR),
        "reclaimed": lambda: simulation.reclaim(0, RECLAIM_NOTICE_MS),
        "domain": lambda: simulation.lose_domain(0),
    }
    if fault in inject:
        simulation.schedule(FAULT_MS, inject[fault])
    if fault == "slow":
        simulation.schedule(
            FAULT_MS + FAULT_DURATION_MS, lambda: simulation.slow(0, 1.0)
        )


def capacity(deployment: Deployment, seed: int = 1) -> float:
    """Return the requests per second that all engines can finish.

    Runs one engine in a closed loop, with a backlog at all times, at each
    of several fixed concurrencies, and takes the one with the highest rate.
    """
    best = max(
        _closed_loop_rate(deployment, running, seed)
        for running in range(16, 65, 4)
    )
    return best * deployment.engines


def _closed_loop_rate(
    deployment: Deployment, running: int, seed: int
) -> float:
    model = EngineModel(EngineParameters())
    random = Random(seed)
    now_ms = 0.0
    index = 0
    in_flight = 0
    finished = 0
    while now_ms < WARM_MS + 2 * MEASURED_MS:
        while in_flight < running:
            index += 1
            in_flight += 1
            arrival = draw_arrival(deployment, random, now_ms, index)
            model.submit(
                Work(
                    key=arrival.placement_request.key,
                    prompt_tokens=arrival.placement_request.prompt_tokens,
                    output_tokens=arrival.output_tokens,
                    prefix=arrival.placement_request.prefix,
                    priority=-arrival.placement_request.priority,
                )
            )
        step = model.step()
        model.take_events()
        now_ms += step.duration_ms
        in_flight -= len(step.finished_keys)
        if now_ms >= WARM_MS:
            finished += len(step.finished_keys)
    return finished / (now_ms - WARM_MS) * 1_000
