"""Connections kept to upstreams, each to one incarnation."""

from __future__ import annotations

from collections import deque

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.relay._connection import UpstreamConnection

MOST_KEPT = 16  # idle connections to one upstream


class ConnectionPool:
    """Keep idle connections by the incarnation that they lead to."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Begin with none."""
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[str, deque[UpstreamConnection]] = {}

    async def take(self, upstream: Upstream) -> UpstreamConnection:
        """Return a connection for one request; a new one if need be.

        Raises `UpstreamUnreachableError`.
        """
        idle = self._idle.get(upstream.name)
        while idle:
            connection = idle.pop()
            if connection.can_take():
                return connection
            connection.close()
        connection = UpstreamConnection(
            upstream.name, upstream.address, self._clock
        )
        self._metrics.count("relay.connections_opened")
        await connection.connect()
        return connection

    def give_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer was read to its end."""
        if not connection.can_take():
            connection.close()
            return
        idle = self._idle.setdefault(connection.upstream, deque())
        idle.append(connection)
        if len(idle) > MOST_KEPT:
            idle.popleft().close()

    def sweep(self, live: set[str]) -> None:
        """Close what cannot be used again."""
        for name, idle in list(self._idle.items()):
            kept = deque(c for c in idle if name in live and c.can_take())
            for connection in idle:
                if connection not in kept:
                    connection.close()
            self._idle[name] = kept
            if not kept:
                del self._idle[name]

    def close(self) -> None:
        """Close all of them."""
        self.sweep(set())
