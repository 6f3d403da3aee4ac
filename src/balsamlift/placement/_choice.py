"""Choose between upstreams for one request."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from random import Random
from statistics import median

import attrs

from balsamlift.placement._ask import Ask
from balsamlift.placement._engine import Engine
from balsamlift.placement._forecast import Profile
from balsamlift.placement._policy import Policy
from balsamlift.placement._turns import Turn

TRIES = 4  # pairs drawn before a request is left to wait


@attrs.frozen(kw_only=True)
class Moment:
    """Hold what a choice depends on besides the engines."""

    policy: Policy
    hosts: int  # live ones, this one included
    now_ms: float
    random: Random
    turn: Turn
    refresh: Callable[[Engine], None]  # brings an engine's profile up to date


Pick = Callable[[Sequence[Engine], Ask, Profile, Moment], Engine | None]


def pick_best(
    engines: Sequence[Engine], ask: Ask, add: Profile, moment: Moment
) -> Engine | None:
    """Pick the better one of two that has room for `add`."""
    median_gap = median(e.expected_gap_ms() for e in engines)
    for group in _groups(engines, ask, moment.turn):
        for pair in _pairs(group, ask, moment):
            for engine in pair:
                moment.refresh(engine)
            pair.sort(key=lambda e: _score(e, ask, moment.policy, median_gap))
            for engine in pair:
                if _fits(engine, ask, add, moment):
                    return engine
    return None


def pick_least(
    engines: Sequence[Engine], ask: Ask, add: Profile, moment: Moment
) -> Engine | None:
    """Pick the engine that reports the least load."""
    del ask, add, moment
    return min(engines, key=_reported_load)


def round_robin() -> Pick:
    """Return a function that picks one engine after the other."""
    turn = 0

    def pick_next(
        engines: Sequence[Engine], ask: Ask, add: Profile, moment: Moment
    ) -> Engine | None:
        nonlocal turn
        del ask, add, moment
        turn += 1
        return engines[turn % len(engines)]

    return pick_next


def _groups(
    engines: Sequence[Engine], ask: Ask, turn: Turn
) -> list[list[Engine]]:
    """Return the engines in groups, those to look at first in front."""
    if ask.priority > 0:
        opened = [e for e in engines if e.name not in turn.closed_to_long]
        return [opened or list(engines)]
    short = [e for e in engines if e.name in turn.short]
    others = [e for e in engines if e.name not in turn.short]
    return [short, others]


def _reported_load(engine: Engine) -> tuple[int, float]:
    report = engine.report
    if report is None:
        return 0, 0.0
    return report.queued, report.memory_used / max(report.memory_total, 1)


def _pairs(
    engines: Sequence[Engine], ask: Ask, moment: Moment
) -> list[list[Engine]]:
    """Return the pairs of engines to look at, in turn.

    The first engine is the one that all hosts prefer for the prefix.
    """
    order = list(engines)
    moment.random.shuffle(order)
    if order and ask.prefix and moment.policy.prefix_weight:
        home = max(order, key=lambda e: _affinity(ask.prefix, e.name))
        order.remove(home)
        order.insert(0, home)
    order = order[: 2 * TRIES]
    return [order[i : i + 2] for i in range(0, len(order), 2)]


def _affinity(prefix: str, name: str) -> bytes:
    text = f"{prefix}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _score(
    engine: Engine, ask: Ask, policy: Policy, median_gap: float
) -> float:
    """Return how unfit an engine is for a request; lower is better."""
    memory = engine.held_tokens() / engine.memory_tokens
    gap = engine.expected_gap_ms() / median_gap - 1.0
    prefix = 1.0 if ask.prefix and ask.prefix in engine.prefixes else 0.0
    return (
        policy.memory_weight * memory
        + policy.gap_weight * gap
        - policy.prefix_weight * prefix
    )


def _fits(engine: Engine, ask: Ask, add: Profile, moment: Moment) -> bool:
    """Tell whether this host may place `ask` on the engine now."""
    policy = moment.policy
    share = engine.return_share(policy, moment.now_ms)
    if len(engine.tickets) + 1 > max(engine.limit * share, 1.0):
        return False
    if not engine.counts_memory:
        return True
    usable = engine.memory_tokens * policy.memory_share
    if ask.priority > 0:
        usable *= 1.0 - policy.reserve_share
    highest = engine.profile.highest(add, engine.others(), ask.quantile)
    if highest + engine.uncounted > usable:
        return False
    likely = engine.profile.highest(add, engine.others(), 0.5)
    room = max(usable - likely - engine.uncounted + add.now, 0.0) * share
    if ask.priority == 0:
        return add.peak <= room
    return _may_take(engine, add.peak, room, moment)


def _may_take(
    engine: Engine, need: float, room: float, moment: Moment
) -> bool:
    """Take `need` from this host's share of the head room.

    Each host's picture is old by `picture_ms`, so that all together
    may take the head room only once in that time. A need larger than
    the share is granted by chance in proportion, once in that time.
    """
    engine.refill(room / moment.hosts, moment.policy, moment.now_ms)
    if engine.credit >= need:
        engine.credit -= need
        return True
    if moment.now_ms - engine.drawn_ms < moment.policy.picture_ms:
        return False
    engine.drawn_ms = moment.now_ms
    if moment.random.random() * need >= engine.credit:
        return False
    engine.credit = 0.0
    return True
