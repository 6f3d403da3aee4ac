"""What a host does when it loses its links to a pool, and has them again."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Peers, Upstream, Upstreams
from balsamlift.relay._balance import Balancer
from balsamlift.relay._pool import ConnectionPool
from balsamlift.relay.health import LinkProber, Reachability


class UpstreamLinks:
    """Announce the pools that are not reached, and forget what failed then."""

    def __init__(
        self,
        connections: ConnectionPool,
        upstreams: Upstreams,
        peers: Peers,
        balancer: Balancer,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Start with all pools reached."""
        self._connections = connections
        self._upstreams = upstreams
        self._peers = peers
        self._balancer = balancer
        self._clock = clock
        self.reachability = Reachability(clock, metrics)
        self.reachability.on_change(self._handle_change)
        self._prober: LinkProber | None = None

    def start(self, probe: Callable[[Upstream], Awaitable[None]]) -> None:
        """Open connections to pools that may not be reached by `probe`."""
        self._prober = LinkProber(
            self.reachability, self._upstreams.in_pool, probe, self._clock
        )
        self._prober.start()

    async def stop(self) -> None:
        """Stop probing."""
        if self._prober is not None:
            await self._prober.stop()

    def sweep(self) -> None:
        """Forget upstreams that have left; called every second."""
        self.reachability.discard(self._upstreams.all())

    def _handle_change(self, pool: str) -> None:
        reachability = self.reachability
        self._peers.set_unreached_pools(reachability.unreached_pools())
        if not reachability.is_unreached(pool):
            self._balancer.forget_failures(pool)
            return
        reachability.suspect_others(pool)
        if reachability.refuses_only_new(pool):
            return
        for upstream in self._upstreams.in_pool(pool):
            self._connections.drop(upstream.name)
