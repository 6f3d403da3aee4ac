"""Pool of idle connections to upstreams."""

from __future__ import annotations

from collections import deque

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.relay._connection import UpstreamConnection

MAX_IDLE_CONNECTIONS = 16  # per upstream


class ConnectionPool:
    """Idle connections, grouped by upstream incarnation."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Create an empty pool."""
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[str, deque[UpstreamConnection]] = {}

    async def acquire(self, upstream: Upstream) -> UpstreamConnection:
        """Return an idle connection, or open one.

        Raises `UpstreamUnreachableError`.
        """
        idle = self._idle.get(upstream.name)
        while idle:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        connection = UpstreamConnection(
            upstream.name, upstream.address, self._clock
        )
        self._metrics.count("relay.connections_opened")
        await connection.connect()
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after a complete response."""
        if not connection.is_reusable():
            connection.close()
            return
        idle = self._idle.setdefault(connection.upstream, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().close()

    def sweep(self, live: set[str]) -> None:
        """Close connections that cannot be reused or are not to `live`."""
        for name, idle in list(self._idle.items()):
            kept = deque(c for c in idle if name in live and c.is_reusable())
            for connection in idle:
                if connection not in kept:
                    connection.close()
            self._idle[name] = kept
            if not kept:
                del self._idle[name]

    def close(self) -> None:
        """Close all idle connections."""
        self.sweep(set())
