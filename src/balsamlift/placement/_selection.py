"""Select the upstream for one request."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from random import Random
from statistics import median

import attrs

from balsamlift.placement._engine import Engine
from balsamlift.placement._forecast import MemoryProfile
from balsamlift.placement._policy import Policy
from balsamlift.placement._request import PlacementRequest
from balsamlift.placement._short_turns import ShortTurn

MAX_PAIRS = 4  # compared before a request stays queued


@attrs.frozen(kw_only=True)
class SelectionContext:
    """Hold what a selection depends on besides the engines."""

    policy: Policy
    hosts: int  # live, including this one
    now_ms: float
    random: Random
    turn: ShortTurn
    refresh: Callable[[Engine], None]  # updates an engine's profile


Selector = Callable[
    [Sequence[Engine], PlacementRequest, MemoryProfile, SelectionContext],
    Engine | None,
]


def pick_best(
    engines: Sequence[Engine],
    request: PlacementRequest,
    demand: MemoryProfile,
    context: SelectionContext,
) -> Engine | None:
    """Pick the better-scored engine of a random pair that fits `demand`."""
    median_gap = median(e.expected_gap_ms() for e in engines)
    for group in _groups(engines, request, context.turn):
        for pair in _pairs(group, request, context):
            for engine in pair:
                context.refresh(engine)
            pair.sort(
                key=lambda e: _score(e, request, context.policy, median_gap)
            )
            for engine in pair:
                if _fits(engine, request, demand, context):
                    return engine
    return None


def pick_least_loaded(
    engines: Sequence[Engine],
    request: PlacementRequest,
    demand: MemoryProfile,
    context: SelectionContext,
) -> Engine | None:
    """Pick the engine with the least reported load."""
    del request, demand, context
    return min(engines, key=_reported_load)


def make_round_robin() -> Selector:
    """Return a selector that cycles through the engines."""
    position = 0

    def pick_next(
        engines: Sequence[Engine],
        request: PlacementRequest,
        demand: MemoryProfile,
        context: SelectionContext,
    ) -> Engine | None:
        nonlocal position
        del request, demand, context
        position += 1
        return engines[position % len(engines)]

    return pick_next


def _groups(
    engines: Sequence[Engine], request: PlacementRequest, turn: ShortTurn
) -> list[list[Engine]]:
    """Return the engines in groups, in order of preference.

    Priority 0 prefers the engines reserved for short requests; other
    priorities avoid the engines closed to long requests.
    """
    if request.priority > 0:
        allowed = [e for e in engines if e.name not in turn.closed_to_long]
        return [allowed or list(engines)]
    reserved = [e for e in engines if e.name in turn.reserved]
    others = [e for e in engines if e.name not in turn.reserved]
    return [reserved, others]


def _reported_load(engine: Engine) -> tuple[int, float]:
    report = engine.report
    if report is None:
        return 0, 0.0
    return report.queued, report.memory_used / max(report.memory_total, 1)


def _pairs(
    engines: Sequence[Engine],
    request: PlacementRequest,
    context: SelectionContext,
) -> list[list[Engine]]:
    """Return the pairs of engines to compare, in order.

    The first engine is the one that rendezvous hashing of the prefix
    selects on every host.
    """
    candidates = list(engines)
    context.random.shuffle(candidates)
    if candidates and request.prefix and context.policy.prefix_weight:
        preferred = max(
            candidates, key=lambda e: _rendezvous_hash(request.prefix, e.name)
        )
        candidates.remove(preferred)
        candidates.insert(0, preferred)
    candidates = candidates[: 2 * MAX_PAIRS]
    return [candidates[i : i + 2] for i in range(0, len(candidates), 2)]


def _rendezvous_hash(prefix: str, name: str) -> bytes:
    text = f"{prefix}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _score(
    engine: Engine,
    request: PlacementRequest,
    policy: Policy,
    median_gap: float,
) -> float:
    """Return the score of an engine for a request; lower is better."""
    memory = engine.expected_peak_tokens() / engine.memory_tokens
    gap = engine.expected_gap_ms() / median_gap - 1.0
    prefix = (
        1.0 if request.prefix and request.prefix in engine.prefixes else 0.0
    )
    return (
        policy.memory_weight * memory
        + policy.gap_weight * gap
        - policy.prefix_weight * prefix
    )


def _fits(
    engine: Engine,
    request: PlacementRequest,
    demand: MemoryProfile,
    context: SelectionContext,
) -> bool:
    """Return whether this host may place `request` on the engine now."""
    policy = context.policy
    share = engine.ramp_up_share(policy, context.now_ms)
    if len(engine.tickets) + 1 > max(engine.limit * share, 1.0):
        return False
    if not engine.tracks_memory:
        return True
    usable = engine.memory_tokens * policy.memory_share
    if request.priority > 0:
        usable *= 1.0 - policy.reserve_share
    quantile_peak = engine.profile.peak_at_quantile(
        demand, engine.peer_load(), request.quantile
    )
    if quantile_peak + engine.unaccounted_tokens > usable:
        return False
    median_peak = engine.profile.peak_at_quantile(
        demand, engine.peer_load(), 0.5
    )
    headroom = (
        max(usable - median_peak - engine.unaccounted_tokens + demand.now, 0.0)
        * share
    )
    if request.priority == 0:
        return demand.peak <= headroom
    return _take_credit(engine, demand.peak, headroom, context)


def _take_credit(
    engine: Engine, need: float, headroom: float, context: SelectionContext
) -> bool:
    """Take `need` from this host's share of the headroom, if allowed.

    Each host's view of the load is up to `picture_ms` old, so all hosts
    together may take the headroom only once in that time. A need larger
    than the share is granted with a probability in proportion to the
    share, at most once in that time.
    """
    engine.refill_credit(
        headroom / context.hosts, context.policy, context.now_ms
    )
    if engine.credit >= need:
        engine.credit -= need
        return True
    if context.now_ms - engine.last_draw_ms < context.policy.picture_ms:
        return False
    engine.last_draw_ms = context.now_ms
    if context.random.random() * need >= engine.credit:
        return False
    engine.credit = 0.0
    return True
