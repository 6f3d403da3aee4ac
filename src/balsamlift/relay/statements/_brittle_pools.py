"""Limit what this host has outstanding at upstreams that are brittle.

They fall over when they have to turn many requests away, so that all hosts
together send no more than upstreams can run. What exceeds it waits at, or is
refused by, its host.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.peers import HostRank, Upstream, whole_share

log = logger.bind(part="upstreams")

# Without a response for that long, a pool may be brittle no more.
STATEMENT_TTL_S = 10.0
# Where the list does not tell how many requests an upstream runs, until more
# were seen to run at once.
UNTOLD_SLOTS = 1
# An upstream that had all it may have, and turned nothing away for that long,
# may have one request more.
GROWTH_INTERVAL_S = 1.0
# The same after it has turned one away, and the part that it then gets.
REFUSED_INTERVAL_S = 8.0
REFUSED_FRACTION = 0.75


class BrittlePools:
    """Hold which pools said that they are brittle.

    It counts for all upstreams of the pool, so that one that starts again is
    not tested first.
    """

    def __init__(
        self,
        clock: Clock,
        rank_for: Callable[[str], HostRank],
        hosts_for: Callable[[str], Sequence[str]],
    ) -> None:
        """Share the slots of an upstream by the ranks of hosts for its name.

        `hosts_for` returns all live hosts in that order.
        """
        self._clock = clock
        self._rank_for = rank_for
        self._hosts_for = hosts_for
        self._said_s: dict[str, float] = {}  # by pool
        # Requests that an upstream of the pool runs at once, where the list
        # does not tell, and when it may have one more.
        self._learned: dict[str, tuple[int, float]] = {}
        # Generations that this host has at an upstream.
        self._generations: Counter[str] = Counter()

    def record(self, upstream: Upstream, named: str) -> None:
        """Record that an upstream said how many it may turn away."""
        if not self.is_brittle(upstream.pool):
            log.bind(
                pool=upstream.pool, upstream=upstream.name, named=named[:40]
            ).warning("pool is brittle")
        self._said_s[upstream.pool] = self._clock.monotonic()

    def record_silence(self, upstream: Upstream) -> None:
        """Record an answer that does not say so."""
        if self._said_s.pop(upstream.pool, None) is not None:
            log.bind(pool=upstream.pool, upstream=upstream.name).info(
                "pool is brittle no more"
            )

    def record_served(self, upstream: Upstream, load: int) -> None:
        """Record an answer of an upstream that had `load` requests."""
        if upstream.slots:
            return
        now_s = self._clock.monotonic()
        learned, grows_s = self._learned.get(upstream.pool, (0, now_s))
        is_brittle = self.is_brittle(upstream.pool)
        if load < learned or (is_brittle and now_s < grows_s):
            return
        self._learned[upstream.pool] = (
            load + int(is_brittle),
            now_s + GROWTH_INTERVAL_S,
        )

    def record_refused(self, upstream: Upstream, load: int) -> None:
        """Record that an upstream with `load` requests turned one away."""
        if upstream.slots:
            return
        learned, _ = self._learned.get(upstream.pool, (load, 0.0))
        fewer = int(min(learned, load) * REFUSED_FRACTION)
        grows_s = self._clock.monotonic() + REFUSED_INTERVAL_S
        self._learned[upstream.pool] = max(fewer, UNTOLD_SLOTS), grows_s

    def places(self, upstream: Upstream) -> int | None:
        """Return how many requests this host may have there, None for any."""
        if not self.is_brittle(upstream.pool):
            return None
        return whole_share(
            self._slots(upstream), self._rank_for(upstream.name)
        )

    def count_generation(self, upstream: str, n: int) -> None:
        """Add `n`, which may be negative, to this host's generations there."""
        self._generations[upstream] += n
        if not self._generations[upstream]:
            del self._generations[upstream]

    def may_generate(self, upstream: Upstream) -> bool:
        """Return whether this host has a place for one more generation.

        What an upstream runs is known for generations only if it is told.
        """
        places = self.places(upstream) if upstream.slots else None
        return places is None or self._generations[upstream.name] < places

    def holders(self, upstreams: Iterable[Upstream]) -> set[str]:
        """Return the hosts that may send to one of some brittle upstreams."""
        return {
            host
            for upstream in upstreams
            if self.is_brittle(upstream.pool)
            for host in self._hosts_for(upstream.name)[: self._slots(upstream)]
        }

    def is_brittle(self, pool: str) -> bool:
        """Return whether upstreams of a pool say that they are brittle."""
        said_s = self._said_s.get(pool)
        if said_s is None:
            return False
        return self._clock.monotonic() < said_s + STATEMENT_TTL_S

    def _slots(self, upstream: Upstream) -> int:
        if upstream.slots:
            return upstream.slots
        learned, _ = self._learned.get(upstream.pool, (UNTOLD_SLOTS, 0.0))
        return max(learned, UNTOLD_SLOTS)


def no_brittle_pools(clock: Clock) -> BrittlePools:
    """Return a table for a host that is alone."""
    return BrittlePools(clock, lambda _: HostRank(0, 1), lambda _: [])
