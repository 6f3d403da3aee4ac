"""The schedule of a run in which hosts lose their links to all upstreams."""

from __future__ import annotations

import random

from soak.plan import Kind, Plan, draw_fault

OTHER_FAULTS: tuple[Kind, ...] = (
    "kill",
    "freeze",
    "term",
    "hup",
    "configuration",
    "upstream_leaves",
)
FIRST_CUT_S = 1.0
MIN_CUT_S, MAX_CUT_S = 5.0, 10.0
# Less than a cut lasts, so that some overlap.
MIN_CUT_PAUSE_S, MAX_CUT_PAUSE_S = 3.0, 12.0
MAX_PAUSE_S = 5.0
MAX_FAULT_S = 2.5
# Of all seeds; the others have cuts alone.
CUTS_ONLY_SHARE = 0.4


def draw_cut_plan(seed: int, length_s: float) -> Plan:
    """Return the plan that follows from a seed."""
    rng = random.Random(f"{seed}/cuts")
    faults = []
    start_s = FIRST_CUT_S
    while start_s < length_s:
        duration_s = rng.uniform(MIN_CUT_S, MAX_CUT_S)
        faults.append(draw_fault(rng, "host_cut", start_s, duration_s))
        start_s += rng.uniform(MIN_CUT_PAUSE_S, MAX_CUT_PAUSE_S)
    if rng.random() >= CUTS_ONLY_SHARE:
        start_s = rng.uniform(0, MAX_PAUSE_S)
        while start_s < length_s:
            duration_s = rng.uniform(0.1, MAX_FAULT_S)
            kind = rng.choice(OTHER_FAULTS)
            faults.append(draw_fault(rng, kind, start_s, duration_s))
            start_s += rng.uniform(0.2, MAX_PAUSE_S)
    return Plan(
        seed=seed,
        is_planned_only=False,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
    )
