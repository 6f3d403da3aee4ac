"""Limit the requests that all hosts together send to a cold upstream.

An upstream that has just started crashes under more requests. The limit is
divided among hosts without coordination: each host computes its own share
from the hosts that it knows.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from balsamlift._sliding_window import SlidingWindow
from balsamlift.clock import Clock
from balsamlift.peers import HostRank, StartupPause, Upstream, whole_share

# Hosts that know different sets of hosts divide the limit differently: those
# behind a network partition, and those that have just learned of new hosts.
# Up to this many such groups stay within the limit together.
MEMBERSHIP_GROUPS = 3
# Requests up to this far apart when sent may arrive within the same second.
WINDOW_S = 1.25
# A host that has just started does not know the other hosts yet.
STARTUP_S = 3.0


@attrs.frozen(kw_only=True)
class ColdLimits:
    """The limit of the platform, relative to what an upstream tolerates."""

    factor: float
    extra_per_s: float


def host_share(
    rank: HostRank, tolerated_per_s: float, limits: ColdLimits
) -> int:
    """Return how many requests per second a host of that rank may send."""
    limit = int(tolerated_per_s * limits.factor + limits.extra_per_s)
    return whole_share(limit, rank, MEMBERSHIP_GROUPS)


class ColdStartLimiter:
    """Limit the requests from this host to cold upstreams."""

    def __init__(
        self,
        limits: ColdLimits | None,
        tolerated_per_s: Callable[[str], float | None],
        rank_for: Callable[[str], HostRank],
        clock: Clock,
    ) -> None:
        """Apply no limit if `limits` is None.

        `tolerated_per_s` returns what an upstream of a pool tolerates, or
        None for no limit; `rank_for` returns this host's rank among all
        hosts that it knows of.
        """
        self._limits = limits
        self._tolerated_per_s = tolerated_per_s
        self._rank_for = rank_for
        self._clock = clock
        self._startup = StartupPause(clock, STARTUP_S)
        self._sends: dict[str, SlidingWindow] = {}

    def allows(self, upstream: Upstream) -> bool:
        """Return whether this host may send one more request there now."""
        if self._limits is None:
            return True
        now_s = self._clock.monotonic()
        tolerated_per_s = self._tolerated_per_s(upstream.pool)
        if tolerated_per_s is None or upstream.cold_until_s <= now_s:
            return True
        if not self._startup.is_over:
            return False
        rank = self._rank_for(upstream.name)
        share = host_share(rank, tolerated_per_s, self._limits)
        return self._recent_sends(upstream.name, now_s) < share

    def record_send(self, upstream: Upstream) -> None:
        """Count a request that is about to be sent."""
        if self._limits is not None:
            sends = self._sends.setdefault(
                upstream.name, SlidingWindow(WINDOW_S)
            )
            sends.add(self._clock.monotonic())

    def prune(self, live: Collection[str]) -> None:
        """Discard expired sends and those to upstreams not in `live`."""
        now_s = self._clock.monotonic()
        for name in list(self._sends):
            if name not in live or not self._recent_sends(name, now_s):
                del self._sends[name]

    def _recent_sends(self, name: str, now_s: float) -> int:
        sends = self._sends.get(name)
        return sends.count(now_s) if sends else 0
