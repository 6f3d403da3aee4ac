"""The schedule of faults of one run, derived from its seed."""

from __future__ import annotations

import random
from typing import Literal

import attrs

from soak.streams import StreamForm

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
    "rate_limit",
    "upstream_notice",
    "upstream_refuses",
    "departure",
    "upstream_hangs",
    "pool_refuses",
    "host_cut",
    "crashing_part",
    "herd_kill",
    "upstream_floods",
    "term_again",
    "upstreams_slow",
    "upstream_silent",
]

# Planned operations of operators. They may not interrupt any request.
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
STATEMENTS: tuple[Kind, ...] = ("upstream_notice", "upstream_refuses")
# Upstreams that send without end, for this long and this often.
MAX_FLOOD_S, MAX_FLOOD_PAUSE_S = 2.0, 4.0
# Hit the upstreams of one service, whatever their number.
SERVICE_FAULTS: tuple[Kind, ...] = (
    "departure",
    "upstream_hangs",
    "pool_refuses",
)
LINK_FAULTS = (
    {"cut": True},
    {"stall_forward": True},
    {"stall_backward": True},
    {"stall_forward": True, "stall_backward": True},
    {"silence_existing": True},
    {"delay_ms": 80},
)
# By how much upstreams take longer than before.
SLOW_FACTORS = (1.0, 1.5, 2.5, 4.0)
STORE_FAULTS = ("silent", "busy", "many", "lost")
# Short compared with the duration of a fault, so that faults come in series
# and overlap.
MAX_PAUSE_S = 0.8
MAX_FAULT_S = 2.5
PLANNED_ONLY_SHARE = 0.3  # of all seeds
FLOOD_EVERY = 2  # seeds
# Requests per second that an upstream takes from all hosts together.
RATE_LIMITS_PER_S = (0.5, 1.1, 2.4, 6.0)
# Long compared with the time after which a limit has to be kept.
MIN_RATE_LIMIT_S, MAX_RATE_LIMIT_S = 6.0, 10.0
MAX_RATE_LIMIT_PAUSE_S = 4.0


# Notices that the list shows late, and refusals that ask for no requests.
MIN_STATEMENT_S, MAX_STATEMENT_S = 1.0, 6.0
MAX_STATEMENT_PAUSE_S = 3.0


@attrs.frozen(kw_only=True)
class Fault:
    """One fault, or one planned operation of an operator."""

    kind: Kind
    start_s: float
    duration_s: float
    target_number: int  # selects the host or upstream
    variant_number: int  # selects the variant of the fault


@attrs.frozen(kw_only=True)
class Plan:
    """The faults of one run, by start time."""

    seed: int
    is_planned_only: bool
    faults: tuple[Fault, ...]
    has_flood: bool = False  # a workspace asks for more than the engines have
    max_work_s: float = 0.04  # of an upstream on a call
    keeps_connections: bool = False  # half of the callers do, until the end
    streams: StreamForm | None = None  # None: short ones, of all runs alike
    has_bodies: bool = False  # of all forms, and callers that read slowly
    has_engines: bool = True  # behind streams
    knows_output: bool = False  # callers tell how many tokens will come


def draw_fault(
    rng: random.Random, kind: Kind, start_s: float, duration_s: float
) -> Fault:
    """Return a fault with a random target and variant."""
    return Fault(
        kind=kind,
        start_s=start_s,
        duration_s=duration_s,
        target_number=rng.randrange(1_000),
        variant_number=rng.randrange(1_000),
    )


def draw_plan(seed: int, length_s: float) -> Plan:
    """Return the plan that follows from a seed."""
    rng = random.Random(seed)
    is_planned_only = rng.random() < PLANNED_ONLY_SHARE
    kinds = PLANNED if is_planned_only else PLANNED + UNPLANNED
    faults = []
    start_s = 0.5
    while start_s < length_s:
        kind = rng.choice(kinds)
        for _ in range(rng.choice((1, 1, 2))):  # some at the same time
            faults.append(
                Fault(
                    kind=kind,
                    start_s=start_s,
                    duration_s=rng.uniform(0.1, MAX_FAULT_S),
                    target_number=rng.randrange(1_000),
                    variant_number=rng.randrange(1_000),
                )
            )
        start_s += rng.uniform(0.05, MAX_PAUSE_S)
    faults += _draw_rate_limits(seed, length_s)
    faults += _draw_statements(seed, length_s)
    if not is_planned_only:
        faults += _draw_floods(seed, length_s)
    return Plan(
        seed=seed,
        is_planned_only=is_planned_only,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
        has_flood=seed % FLOOD_EVERY == 0,
    )


def _draw_rate_limits(seed: int, length_s: float) -> list[Fault]:
    """Return limits drawn apart, so that they do not change other faults."""
    rng = random.Random(f"{seed}/rate limits")
    limits = []
    start_s = rng.uniform(0, MAX_RATE_LIMIT_PAUSE_S)
    while start_s < length_s:
        limits.append(
            Fault(
                kind="rate_limit",
                start_s=start_s,
                duration_s=rng.uniform(MIN_RATE_LIMIT_S, MAX_RATE_LIMIT_S),
                target_number=rng.randrange(1_000),
                variant_number=rng.randrange(1_000),
            )
        )
        start_s += rng.uniform(0.5, MAX_RATE_LIMIT_PAUSE_S)
    return limits


def _draw_floods(seed: int, length_s: float) -> list[Fault]:
    """Return floods drawn apart, so that they do not change other faults."""
    rng = random.Random(f"{seed}/floods")
    floods = []
    start_s = rng.uniform(0, MAX_FLOOD_PAUSE_S)
    while start_s < length_s:
        duration_s = rng.uniform(0.1, MAX_FLOOD_S)
        floods.append(draw_fault(rng, "upstream_floods", start_s, duration_s))
        start_s += rng.uniform(0.5, MAX_FLOOD_PAUSE_S)
    return floods


def _draw_statements(seed: int, length_s: float) -> list[Fault]:
    """Return statements drawn apart, so that they do not change others."""
    rng = random.Random(f"{seed}/statements")
    statements = []
    start_s = rng.uniform(0, MAX_STATEMENT_PAUSE_S)
    while start_s < length_s:
        statements.append(
            Fault(
                kind=rng.choice(STATEMENTS),
                start_s=start_s,
                duration_s=rng.uniform(MIN_STATEMENT_S, MAX_STATEMENT_S),
                target_number=rng.randrange(1_000),
                variant_number=rng.randrange(1_000),
            )
        )
        start_s += rng.uniform(0.2, MAX_STATEMENT_PAUSE_S)
    return statements
