"""Plans of runs in which upstream processes are stopped and go on."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Literal

import attrs

from soak.hosts import ROOT
from soak.load import Load, RouteTimes

HEARTBEAT_S = 1.2  # of upstreams, which renew their entries
SERVES_ON_LONG_S = 4.5  # of one that leaves, beyond an outage's contact time
DEADLINE_MS = 4_000  # of all requests, and the timeout of all routes

STOPS = Load(
    services={"plain": 6, "model": 5},
    callers_per_host=0,
    pause_s=0.0,
    shares={"non_idempotent": 2.0, "idempotent": 1.0, "stream": 1.0},
    times=dict.fromkeys(
        ("idempotent", "non_idempotent", "stream"),
        RouteTimes(timeout_ms=DEADLINE_MS, target_ms=1_000),
    ),
    extra_retries=100,
    grace_s=8.0,
)

Kind = Literal[
    *("stop", "stop_all", "drain", "unlist", "configure", "hup", "term"),
    *("stop_host", "silence_store"),
]
KINDS: tuple[Kind, ...] = (
    *("stop", "stop", "stop_all", "drain"),
    *("unlist", "configure", "hup", "term"),
)


@attrs.frozen(kw_only=True)
class Step:
    """One event of a run."""

    kind: Kind
    at_s: float
    duration_s: float = 0.0  # of a stop
    service: str = "plain"
    target: int = 0


@attrs.frozen(kw_only=True)
class StopPlan:
    """What a run does."""

    seed: int
    steps: tuple[Step, ...]
    length_s: float
    hosts: int = 4
    callers: int = 64  # that wait for each answer
    calls_per_s: float = 0.0  # on new connections, whatever the answers
    slots: int = 6
    work_s: float = 0.3
    serves_on_s: float = 2.5  # of an upstream that leaves
    heartbeat_s: float | None = None  # after which entries are renewed
    tree: Path = ROOT


def draw_stop_plan(
    seed: int, length_s: float, hosts: int, tree: Path = ROOT
) -> StopPlan:
    """Return a plan whose events come in series and overlap."""
    rng = random.Random(seed)
    steps: list[Step] = []
    at_s = 0.5
    while at_s < length_s:
        kind = rng.choice(KINDS)
        longest_s = 2.6 if kind == "stop_all" else 10.0
        step = Step(
            kind=kind,
            at_s=at_s,
            duration_s=rng.uniform(0.3, longest_s),
            service=rng.choice(("plain", "plain", "model")),
            target=rng.randrange(100),
        )
        steps.append(step)
        at_s += rng.choice((0.05, 0.6, 2.0))
    return StopPlan(
        seed=seed,
        steps=tuple(steps),
        length_s=length_s,
        hosts=hosts,
        callers=rng.choice((6, 36, 72)),
        tree=tree,
    )


def with_stopped_hosts(plan: StopPlan) -> StopPlan:
    """Return a plan with the same steps in which hosts are stopped too."""
    rng = random.Random(f"hosts {plan.seed}")
    steps = list(plan.steps)
    at_s = 0.5
    while at_s < plan.length_s:
        step = Step(
            kind="stop_host",
            at_s=at_s,
            duration_s=rng.uniform(0.3, 4.0),
            target=rng.randrange(plan.hosts),
        )
        steps.append(step)
        at_s += rng.uniform(0.5, 4.0)
    steps.sort(key=lambda step: step.at_s)
    return attrs.evolve(plan, steps=tuple(steps))


def with_silences(plan: StopPlan) -> StopPlan:
    """Return a plan with the same steps in which the store falls silent.

    Each time, an upstream leaves within two seconds of its return.
    """
    rng = random.Random(f"store {plan.seed}")
    steps = list(plan.steps)
    at_s = 0.5
    while at_s < plan.length_s:
        silent_s = rng.uniform(0.3, 6.0)
        back_s = at_s + silent_s
        steps.append(
            Step(kind="silence_store", at_s=at_s, duration_s=silent_s)
        )
        leave = Step(
            kind=rng.choice(("unlist", "unlist", "drain")),
            at_s=back_s + rng.uniform(-0.5, 2.0),
            target=rng.randrange(100),
        )
        steps.append(leave)
        at_s = back_s + rng.uniform(0.5, 8.0)
    steps.sort(key=lambda step: step.at_s)
    return attrs.evolve(
        plan,
        steps=tuple(steps),
        serves_on_s=SERVES_ON_LONG_S,
        heartbeat_s=HEARTBEAT_S,
    )
