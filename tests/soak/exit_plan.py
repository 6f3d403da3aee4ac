"""The schedule of a run in which operators shut hosts down, one by one."""

from __future__ import annotations

import random

from soak.load import EXITS
from soak.plan import SLOW_FACTORS, Fault, Kind, Plan, draw_fault
from soak.streams import StreamForm

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
# The shortest stream, the longest, and the longest of a few.
STREAMS_S = ((0.2, 1.0, 0.0), (0.4, 4.5, 0.0), (0.2, 1.0, 12.0))
# From a signal until upstreams slow down, and for how long they do.
MAX_SLOW_AFTER_S = 6.0
MIN_SLOW_S, MAX_SLOW_S = 2.0, 6.0
MIN_SILENCE_S, MAX_SILENCE_S, MAX_SILENCE_PAUSE_S = 0.3, 2.0, 2.5
SILENCE_EVERY = 2  # seeds
ENGINES_SHARE = 0.5  # of the seeds
KNOWN_OUTPUT_SHARE = 0.7


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
    signals = [fault for fault in faults if fault.kind == "term"]
    faults += _draw_slowdowns(seed, signals)
    if seed % SILENCE_EVERY == 0:
        faults += _draw_silences(seed, length_s)
    traffic = random.Random(f"{seed}/exit traffic")
    return Plan(
        seed=seed,
        is_planned_only=not has_freeze,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
        max_work_s=rng.choice(WORKS_S),
        keeps_connections=True,
        streams=_draw_streams(traffic, seed),
        has_bodies=True,
        has_engines=traffic.random() < ENGINES_SHARE,
        knows_output=traffic.random() < KNOWN_OUTPUT_SHARE,
    )


def _draw_streams(rng: random.Random, seed: int) -> StreamForm:
    min_s, max_s, tail_s = rng.choice(STREAMS_S)
    return StreamForm(seed=seed, min_s=min_s, max_s=max_s, tail_s=tail_s)


def _draw_slowdowns(seed: int, signals: list[Fault]) -> list[Fault]:
    """Return slowdowns of all upstreams, one for each signal."""
    rng = random.Random(f"{seed}/slowdowns")
    factor_number = rng.randrange(len(SLOW_FACTORS))
    after_s = rng.uniform(0, MAX_SLOW_AFTER_S)
    return [
        Fault(
            kind="upstreams_slow",
            start_s=signal.start_s + after_s,
            duration_s=rng.uniform(MIN_SLOW_S, MAX_SLOW_S),
            target_number=0,
            variant_number=factor_number,
        )
        for signal in signals
    ]


def _draw_silences(seed: int, length_s: float) -> list[Fault]:
    """Return silences of single upstreams, also during the last exit."""
    rng = random.Random(f"{seed}/silences")
    silences = []
    start_s = FIRST_S
    while start_s < length_s + EXITS.grace_s:
        duration_s = rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        silences.append(
            draw_fault(rng, "upstream_silent", start_s, duration_s)
        )
        start_s += rng.uniform(0.1, MAX_SILENCE_PAUSE_S)
    return silences


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
