"""Divide a limit that all hosts have together.

Hosts do not coordinate a share: each computes its own from the hosts that it
knows. So a host that has just started has none, until it knows the others.
"""

from __future__ import annotations

from balsamlift.clock import Clock
from balsamlift.peers._host_ranks import HostRank


class StartupPause:
    """Tell whether a host has run long enough to use its shares."""

    def __init__(self, clock: Clock, pause_s: float) -> None:
        """Begin the pause now."""
        self._clock = clock
        self._ends_s = clock.monotonic() + pause_s

    @property
    def is_over(self) -> bool:
        """Return whether the pause is over."""
        return self._clock.monotonic() >= self._ends_s


def whole_share(limit: int, rank: HostRank, groups: int = 1) -> int:
    """Return how much of a limit a host of that rank may use.

    The shares of all hosts add up to `limit`, or to less if hosts may be in
    up to `groups` groups that know only one another.
    """
    # A limit of less than one per group goes to a single group.
    group_limit = max(limit // groups, min(limit, 1))
    quotient, remainder = divmod(group_limit, rank.hosts)
    return quotient + (rank.position < remainder)


def even_share(limit: float, hosts: int) -> float:
    """Return the part of a limit that each of these hosts may use."""
    return limit / max(hosts, 1)


def live_share(limit: float, live: int, known: int) -> float:
    """Return the part of a limit that the live of the known hosts may use.

    Hosts that are silent keep their part, as they may be cut off and still
    use it.
    """
    return limit * live / max(known, live)
