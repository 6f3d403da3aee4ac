"""How many requests an upstream gets while it is cold, from all hosts.

An upstream that has just started crashes under more. Its bound is divided
among hosts that need not ask one another: each works out its own share from
the hosts that it knows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection

import attrs

from balsamlift.clock import Clock
from balsamlift.peers import HostRank, Upstream

# Hosts that know other hosts divide the bound differently: those that are
# cut off, and those that have just heard of new ones. So many such groups
# stay within the bound together.
GROUPS = 3
# A request may arrive this much later than the one before it, and still
# within the same second.
WINDOW_S = 1.25
# A host that has just started does not know the others yet.
START_S = 3.0


@attrs.frozen(kw_only=True)
class ColdLimits:
    """Hold what the platform allows beyond what an upstream tolerates."""

    factor: float
    extra_per_s: float


def host_share(
    place: HostRank, tolerated_per_s: float, limits: ColdLimits
) -> int:
    """Return what the host at that place may send one upstream in a second."""
    bound = int(tolerated_per_s * limits.factor + limits.extra_per_s)
    # Less than one for each group can only be held by one group.
    group_bound = max(bound // GROUPS, min(bound, 1))
    least, rest = divmod(group_bound, place.hosts)
    return least + (place.position < rest)


class ColdStarts:
    """Count what this host sends to upstreams that are cold."""

    def __init__(
        self,
        limits: ColdLimits | None,
        tolerated_per_s: Callable[[str], float | None],
        place_for: Callable[[str], HostRank],
        clock: Clock,
    ) -> None:
        """Bound nothing where there are no `limits`.

        `tolerated_per_s` tells it of a pool, None where there is no bound;
        `place_for` returns this host's place among all that it has heard of.
        """
        self._limits = limits
        self._tolerated_per_s = tolerated_per_s
        self._place_for = place_for
        self._clock = clock
        self._started_s = clock.monotonic()
        self._sent: dict[str, deque[float]] = {}

    def allows(self, upstream: Upstream) -> bool:
        """Tell whether this host may send it one more request now."""
        if self._limits is None:
            return True
        now_s = self._clock.monotonic()
        tolerated_per_s = self._tolerated_per_s(upstream.pool)
        if tolerated_per_s is None or upstream.cold_until_s <= now_s:
            return True
        if now_s < self._started_s + START_S:
            return False
        place = self._place_for(upstream.name)
        share = host_share(place, tolerated_per_s, self._limits)
        return self._recent(upstream.name, now_s) < share

    def sending(self, upstream: Upstream) -> None:
        """Count a request that is about to be sent."""
        if self._limits is not None:
            times = self._sent.setdefault(upstream.name, deque())
            times.append(self._clock.monotonic())

    def forget(self, live: Collection[str]) -> None:
        """Drop what is too old, or was sent to upstreams that are gone."""
        now_s = self._clock.monotonic()
        for name in list(self._sent):
            if name not in live or not self._recent(name, now_s):
                del self._sent[name]

    def _recent(self, name: str, now_s: float) -> int:
        times = self._sent.get(name, deque())
        while times and times[0] <= now_s - WINDOW_S:
            times.popleft()
        return len(times)
