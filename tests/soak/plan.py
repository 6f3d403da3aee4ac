"""What goes wrong in one run: drawn from its seed before it begins."""

from __future__ import annotations

import random
from typing import Literal

import attrs

Kind = Literal[
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
]

# What operators do on purpose. Around it no request may be cut off.
PLANNED: tuple[Kind, ...] = ("term", "hup", "configuration", "upstream_leaves")
UNPLANNED: tuple[Kind, ...] = (
    "kill",
    "freeze",
    "store_fault",
    "store_forgets",
    "store_link",
    "upstream_link",
    "upstream_crash",
)
LINK_FAULTS = (
    {"cut": True},
    {"stall_forward": True},
    {"stall_backward": True},
    {"stall_forward": True, "stall_backward": True},
    {"silence_existing": True},
    {"delay_ms": 80},
)
STORE_FAULTS = ("silent", "busy", "many", "lost")
# Faults come in series and overlap: the pause to the next is short against
# their length.
LONGEST_PAUSE_S = 0.8
LONGEST_S = 2.5
PLANNED_ONLY_SHARE = 0.3  # of all seeds


@attrs.frozen(kw_only=True)
class Fault:
    """Hold one thing that goes wrong, or that operators do."""

    kind: Kind
    at_s: float
    for_s: float
    which: int  # host or upstream, by number
    how: int  # variant, by number


@attrs.frozen(kw_only=True)
class Plan:
    """Hold all of one run."""

    seed: int
    is_planned_only: bool
    faults: tuple[Fault, ...]


def draw(seed: int, length_s: float) -> Plan:
    """Return the plan of a seed."""
    rng = random.Random(seed)
    is_planned_only = rng.random() < PLANNED_ONLY_SHARE
    kinds = PLANNED if is_planned_only else PLANNED + UNPLANNED
    faults = []
    at_s = 0.5
    while at_s < length_s:
        kind = rng.choice(kinds)
        for _ in range(rng.choice((1, 1, 2))):  # some at the same moment
            faults.append(
                Fault(
                    kind=kind,
                    at_s=at_s,
                    for_s=rng.uniform(0.1, LONGEST_S),
                    which=rng.randrange(1_000),
                    how=rng.randrange(1_000),
                )
            )
        at_s += rng.uniform(0.05, LONGEST_PAUSE_S)
    return Plan(
        seed=seed, is_planned_only=is_planned_only, faults=tuple(faults)
    )
