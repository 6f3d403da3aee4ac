"""The schedule of a run with parts of prompts that crash engines."""

from __future__ import annotations

import random

from soak.plan import Kind, Plan, draw_fault

OTHER_FAULTS: tuple[Kind, ...] = (
    "kill",
    "term",
    "hup",
    "freeze",
    "configuration",
    "upstream_leaves",
    "upstream_crash",
)
FIRST_PART_S = 4.0  # of sound requests only before
MIN_PARTS, MAX_PARTS = 1, 2
MIN_PAUSE_S, MAX_PAUSE_S = 1.0, 6.0
MAX_FAULT_S = 2.0
# Of all seeds; all hosts start again once, after the part is known.
HERD_SHARE = 0.5


def draw_crash_plan(seed: int, length_s: float) -> Plan:
    """Return the plan that follows from a seed."""
    rng = random.Random(f"{seed}/crashes")
    faults = []
    for number in range(rng.randint(MIN_PARTS, MAX_PARTS)):
        start_s = FIRST_PART_S + 2.0 * number
        faults.append(
            draw_fault(rng, "crashing_part", start_s, length_s - start_s)
        )
    if rng.random() < HERD_SHARE:
        start_s = rng.uniform(0.4, 0.6) * length_s
        faults.append(draw_fault(rng, "herd_kill", start_s, 0.0))
    start_s = rng.uniform(0.5, MAX_PAUSE_S)
    while start_s < length_s:
        kind = rng.choice(OTHER_FAULTS)
        duration_s = rng.uniform(0.1, MAX_FAULT_S)
        faults.append(draw_fault(rng, kind, start_s, duration_s))
        start_s += rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return Plan(
        seed=seed,
        is_planned_only=False,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
    )
