"""Keep some engines, in turn, free of the prefill of long work.

The prefill of one long prompt lengthens the gaps of all that decode on
the same engine. Short work goes where no long work starts for a turn;
the long work that runs there decodes on, so its memory stays in use.

Hosts take the turn from their wall clocks. It is a hint: hosts that
disagree cost short work some gaps and nothing else.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

import attrs

from balsamlift.placement._policy import Policy

LEAST_ENGINES = 3  # with fewer, no engine is kept free
# Before a turn: long work ends its prefill, and some of it leaves, so that
# there is memory for the short work to come.
LEAD_MS = 2_500.0
LINGER_MS = 1_500.0  # most short work ends in this time after a turn


@attrs.frozen
class Turn:
    """Name the engines for short work, and those closed to long work."""

    short: frozenset[str] = frozenset()
    closed_to_long: frozenset[str] = frozenset()


def ring_of(names: Iterable[str]) -> list[str]:
    """Return engines in the order of their turns, alike on all hosts."""
    return sorted(names, key=_place)


def turn_at(ring: Sequence[str], policy: Policy, wall_ms: float) -> Turn:
    """Return whose turn it is."""
    count = len(ring)
    if count < LEAST_ENGINES or not policy.short_share:
        return Turn()
    width = max(round(count * policy.short_share), 1)
    turn, passed = divmod(wall_ms, policy.short_turn_ms)
    first = int(turn)
    short = [ring[(first + i) % count] for i in range(width)]
    closed = list(short)
    if passed < LINGER_MS:
        closed.append(ring[(first - 1) % count])
    if policy.short_turn_ms - passed < LEAD_MS:
        closed.append(ring[(first + width) % count])
    return Turn(frozenset(short), frozenset(closed))


def _place(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
