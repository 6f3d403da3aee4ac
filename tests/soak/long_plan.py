"""The schedule of a long run: upstreams that leave, refuse and hang."""

from __future__ import annotations

import random

from soak.plan import Fault, Kind, Plan

HOST_FAULTS: tuple[Kind, ...] = (
    "kill",
    "freeze",
    "term",
    "hup",
    "store_fault",
    "store_forgets",
    "store_link",
    "upstream_link",
    "upstream_crash",
    "upstream_leaves",
    "configuration",
)
STATEMENTS: tuple[Kind, ...] = (
    *["departure"] * 5,
    "upstream_refuses",
    "upstream_hangs",
    "upstream_hangs",
    "pool_refuses",
)
MAX_PAUSE_S = 6.0
MAX_FAULT_S = 8.0
MAX_DEPARTURE_S = 80.0
# No departure begins so late that it cannot show.
LAST_START_FRACTION = 0.8


def draw_long_plan(seed: int, length_s: float) -> Plan:
    """Return the plan that follows from a seed."""
    rng = random.Random(f"{seed}/long")
    faults = [
        *_draw(rng, HOST_FAULTS, length_s),
        *_draw(rng, STATEMENTS, length_s * LAST_START_FRACTION),
    ]
    return Plan(
        seed=seed,
        is_planned_only=False,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
    )


def _draw(
    rng: random.Random, kinds: tuple[Kind, ...], length_s: float
) -> list[Fault]:
    faults = []
    start_s = rng.uniform(0.5, 2.0)
    while start_s < length_s:
        kind = rng.choice(kinds)
        most_s = MAX_DEPARTURE_S if kind == "departure" else MAX_FAULT_S
        faults.append(
            Fault(
                kind=kind,
                start_s=start_s,
                duration_s=rng.uniform(0.5, most_s),
                target_number=rng.randrange(1_000),
                variant_number=rng.randrange(1_000),
            )
        )
        start_s += rng.uniform(0.2, MAX_PAUSE_S)
    return faults
