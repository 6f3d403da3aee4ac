"""Reserve engines for short requests, in turns.

The prefill of a long prompt lengthens the gaps between tokens of all
generations that decode on the same engine. During a turn, no long request
starts on the engines reserved for short ones. Long requests that already
run there continue to decode, so their memory stays in use.

Hosts compute the turn from their wall clocks. It is a hint: if hosts
disagree, short requests see some longer gaps, and nothing else happens.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

import attrs

from balsamlift.placement._policy import Policy

MIN_ENGINES = 3  # with fewer, no engine is reserved
# An engine is closed to long requests this long before its turn: they finish
# their prefill, and some end and free memory for short requests.
LEAD_MS = 2_500.0
LINGER_MS = 1_500.0  # after a turn; most short requests end within it


@attrs.frozen
class ShortTurn:
    """Name the engines reserved for short requests in a turn.

    `closed_to_long` also holds the engines of the previous and the next
    turn, near the change of turns.
    """

    reserved: frozenset[str] = frozenset()
    closed_to_long: frozenset[str] = frozenset()


def rotation_order(names: Iterable[str]) -> list[str]:
    """Return the engines in the order of their turns.

    The order is the same on all hosts.
    """
    return sorted(names, key=_hash)


def short_turn_at(
    rotation: Sequence[str], policy: Policy, wall_ms: float
) -> ShortTurn:
    """Return the turn at a wall-clock time."""
    count = len(rotation)
    if count < MIN_ENGINES or not policy.short_share:
        return ShortTurn()
    width = max(round(count * policy.short_share), 1)
    turn, elapsed_ms = divmod(wall_ms, policy.short_turn_ms)
    first = int(turn)
    reserved = [rotation[(first + i) % count] for i in range(width)]
    closed = list(reserved)
    if elapsed_ms < LINGER_MS:
        closed.append(rotation[(first - 1) % count])
    if policy.short_turn_ms - elapsed_ms < LEAD_MS:
        closed.append(rotation[(first + width) % count])
    return ShortTurn(frozenset(reserved), frozenset(closed))


def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
