"""Pool of idle connections to upstreams."""

from __future__ import annotations

from collections import deque

from loguru import logger

from balsamlift._fair_stream import ReadQueue
from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.relay._connection import UpstreamConnection
from balsamlift.relay._reaching import CONNECT_TIMEOUT_S
from balsamlift.relay._response_limits import ResponseForm

log = logger.bind(part="upstreams")

MAX_IDLE_CONNECTIONS = 16  # per upstream


class ConnectionPool:
    """Idle connections, grouped by upstream incarnation."""

    def __init__(
        self, clock: Clock, metrics: Metrics, part: str = "relay"
    ) -> None:
        """Create an empty pool; `part` begins the names of its counters."""
        self._clock = clock
        self._metrics = metrics
        self._part = part
        self._read_queue = ReadQueue()
        self._idle: dict[str, deque[UpstreamConnection]] = {}

    async def acquire(
        self,
        upstream: Upstream,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> UpstreamConnection:
        """Return an idle connection to an upstream, or open one.

        Raises `UpstreamUnreachableError`.
        """
        return await self.open(
            upstream.name, upstream.address, connect_timeout_s
        )

    async def open(
        self,
        name: str,
        address: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> UpstreamConnection:
        """Return an idle connection of that name, or open one.

        Raises `UpstreamUnreachableError`.
        """
        idle = self._idle.get(name)
        while idle:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        return await self.open_new(name, address, connect_timeout_s)

    async def open_new(
        self, name: str, address: str, connect_timeout_s: float
    ) -> UpstreamConnection:
        """Open a connection; raise `UpstreamUnreachableError`."""
        connection = UpstreamConnection(
            name, address, self._clock, self._read_queue, self._record_limit
        )
        self._metrics.count(f"{self._part}.connections_opened")
        await connection.connect(connect_timeout_s)
        return connection

    def has_idle(self, name: str) -> bool:
        """Return whether there is an idle connection of that name."""
        return any(c.is_reusable() for c in self._idle.get(name, ()))

    def drop(self, name: str) -> None:
        """Close the idle connections of that name."""
        for connection in self._idle.pop(name, ()):
            connection.close()

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after a complete response."""
        connection.end_request()
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

    def close_stale(self) -> None:
        """Close connections that cannot be reused."""
        self.sweep(set(self._idle))

    def close(self) -> None:
        """Close all idle connections."""
        self.sweep(set())

    def _record_limit(self, name: str, form: ResponseForm) -> None:
        """Log and count a response with too many bytes of one form."""
        counted = form.replace(" ", "_")
        self._metrics.count(f"{self._part}.too_many_bytes.{counted}")
        log.bind(upstream=name, form=form).warning("too many bytes")
