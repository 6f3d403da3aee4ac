"""The schedule of a run in which operators shut hosts down, one by one."""

from __future__ import annotations

import random

from soak.plan import Fault, Kind, Plan, draw_fault

# In which hosts learn how long calls take.
FIRST_S = 4.0
# Between the signals of a series; some overlap.
MIN_GAP_S, MAX_GAP_S = 0.5, 8.0
OTHERS: tuple[Kind, ...] = (
    "hup",
    "configuration",
    "upstream_leaves",
    "term_again",
)
MAX_PAUSE_S = 3.0
# The longest that upstreams work on a call, by seed.
WORKS_S = (0.04, 0.3, 1.0, 3.0, 7.0)
FREEZE_EVERY = 5  # seeds


def draw_exit_plan(seed: int, length_s: float) -> Plan:
    """Return the plan that follows from a seed."""
    rng = random.Random(f"{seed}/exits")
    faults = _draw_signals(rng, length_s)
    start_s = rng.uniform(0, MAX_PAUSE_S)
    while start_s < length_s:
        kind = rng.choice(OTHERS)
        faults.append(draw_fault(rng, kind, start_s, rng.uniform(0.1, 2.0)))
        start_s += rng.uniform(0.1, MAX_PAUSE_S)
    has_freeze = seed % FREEZE_EVERY == 0
    if has_freeze:
        start_s = rng.uniform(FIRST_S, max(length_s, FIRST_S))
        faults.append(draw_fault(rng, "freeze", start_s, 1.0))
    return Plan(
        seed=seed,
        is_planned_only=not has_freeze,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
        max_work_s=rng.choice(WORKS_S),
        keeps_connections=True,
    )


def _draw_signals(rng: random.Random, length_s: float) -> list[Fault]:
    """Return signals to one host after the other, some of them at once."""
    gap_s = rng.uniform(MIN_GAP_S, MAX_GAP_S)
    first = rng.randrange(1_000)
    faults = []
    start_s = FIRST_S
    while start_s < length_s:
        fault = draw_fault(rng, "term", start_s, 0.0)
        number = first + len(faults)
        faults.append(
            Fault(
                kind="term",
                start_s=start_s,
                duration_s=0.0,
                target_number=number,
                variant_number=fault.variant_number,
            )
        )
        start_s += gap_s
    return faults
