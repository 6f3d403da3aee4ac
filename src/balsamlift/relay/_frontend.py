"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from loguru import logger
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)

from balsamlift._fair_stream import READ_CHUNK_BYTES, ReadQueue
from balsamlift._listening import accept_connections, listen
from balsamlift._tasks import end_task, start_task
from balsamlift.clients import ClientMemory, ClientMemoryError
from balsamlift.clock import Clock
from balsamlift.kernel import Kernel
from balsamlift.relay._caller_stream import (
    MAX_READ_HEAD_BYTES,
    CallerStream,
)
from balsamlift.relay._configuration import CallerLimits
from balsamlift.relay._connection_close import close_in_order
from balsamlift.relay._request import CallerRequest, Refusal, Responder
from balsamlift.relay._request_reader import RequestReader

log = logger.bind(part="callers")

# In force until the first configuration arrives. Operators configure idle
# timeouts of about 15 s; these limits are higher, so that no caller is timed
# out before then.
DEFAULT_CALLER_LIMITS = CallerLimits(
    body_bytes=4_194_304,
    head_bytes=65_536,
    head_timeout_ms=30_000,
    idle_timeout_ms=120_000,
)
# Interval between checks for timed-out connections, which may exceed their
# limit by as much.
TIMEOUT_CHECK_INTERVAL_S = 0.25
# A complete body may take as long as the longest generation.
BODY_TIMEOUT_S = 120.0

IDLE_CHECK_INTERVAL_S = 0.02
# For requests that were read, also once time is over: few turns of the event
# loop fit into it on a host that is short of processor time.
MIN_IDLE_CHECKS = 5

FORWARDING_FRONTEND = "forwarding_frontend"  # the one for other hosts

RequestHandler = Callable[[CallerRequest, Responder], Awaitable[None]]


class Frontend(HTTPServerConnectionDelegate):
    """HTTP server that accepts callers, or other hosts, on one address."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        name: str = "frontend",
        memory: ClientMemory | None = None,
    ) -> None:
        """Bind `address`, given as "IP:port".

        `memory` is shared with other listeners; the default is its own.
        """
        self.name = name
        self._memory = memory or ClientMemory(clock=clock)
        self._sockets, self.address = listen(address)
        self.clock = clock
        self.limits = DEFAULT_CALLER_LIMITS
        self.is_draining = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.readers: set[RequestReader] = set()
        self._closing: set[asyncio.Task[None]] = set()
        self._handle: RequestHandler = _refuse_all
        self._streams: set[CallerStream] = set()
        self._read_queue = ReadQueue()
        self._end_accepting: list[Callable[[], None]] = []
        self._timeout_task: asyncio.Task[None] | None = None
        self._server = HTTPServer(
            self,
            max_header_size=MAX_READ_HEAD_BYTES,
            # `RequestReader` checks the limit and responds with 413.
            max_body_size=1 << 40,
            body_timeout=BODY_TIMEOUT_S,
            chunk_size=READ_CHUNK_BYTES,
        )

    def serve(self, handle: RequestHandler) -> None:
        """Pass each request to `handle`."""
        self._handle = handle

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Handle one request."""
        await self._handle(request, responder)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request."""
        del server_conn
        assert isinstance(request_conn, HTTP1Connection)
        return RequestReader(self, request_conn)

    async def start(self, kernel: Kernel) -> None:
        """Start accepting connections."""
        del kernel
        self._end_accepting = [
            accept_connections(listener, self._accept)
            for listener in self._sockets
        ]
        self._timeout_task = start_task(
            "timeouts of callers", self._check_timeouts, self.clock
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._stop_listening()
        await end_task(self._timeout_task)
        for task in [*self.tasks, *self._closing]:
            task.cancel()
        await self._server.close_all_connections()

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    async def close(self, within_s: float) -> None:
        """Stop listening, send what is left and close all connections.

        Requests that arrive meanwhile are still passed to the handler.
        """
        until_s = self.clock.monotonic() + within_s
        self._accept_waiting()
        self._stop_listening()
        await self.clock.sleep(IDLE_CHECK_INTERVAL_S)
        self._refuse_unread()
        await self._wait_until_idle(until_s)
        self._refuse_unread()
        if self.unsent_count:
            log.bind(connections=self.unsent_count).warning(
                "responses not sent in time"
            )
        arriving = sum(not reader.is_answered for reader in self.readers)
        if self.tasks or arriving:
            log.bind(handled=len(self.tasks), arriving=arriving).warning(
                "requests without a response as connections close"
            )
        for stream in self._open_streams():
            if stream.is_reading_head:
                stream.refuse_head()
            else:
                stream.close()

    def _refuse_unread(self) -> None:
        for reader in list(self.readers):
            reader.refuse_unread()

    async def _wait_until_idle(self, until_s: float) -> None:
        checks = 0
        while not self.is_idle:
            is_late = self.clock.monotonic() >= until_s
            if is_late and (checks >= MIN_IDLE_CHECKS or not self.tasks):
                return
            await self.clock.sleep(IDLE_CHECK_INTERVAL_S)
            checks += 1

    def close_after(self, stream: CallerStream) -> None:
        """Close a connection whose last response is written."""
        task = asyncio.create_task(close_in_order(stream, self.clock))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is being read, handled or sent."""
        if self.tasks or self.readers or self._closing or self.unsent_count:
            return False
        return not any(s.is_reading_head for s in self._open_streams())

    def _accept_waiting(self) -> None:
        """Accept the connections that the system holds for this process."""
        for listener in self._sockets:
            with suppress(OSError):  # no more of them
                while True:
                    self._accept(*listener.accept())

    def _stop_listening(self) -> None:
        for end in self._end_accepting:
            end()
        self._end_accepting = []
        for listener in self._sockets:
            listener.close()

    def _open_streams(self) -> list[CallerStream]:
        return [stream for stream in self._streams if not stream.closed()]

    def _accept(self, connection: socket.socket, address: Any) -> None:
        try:
            holding = self._memory.open(self.name)
        except ClientMemoryError:
            connection.close()
            return
        stream = CallerStream(
            connection, self._read_queue, self.clock, holding
        )
        self._streams.add(stream)
        self._server.handle_stream(stream, address)

    async def _check_timeouts(self) -> None:
        while True:
            await self.clock.sleep(TIMEOUT_CHECK_INTERVAL_S)
            self._streams = {s for s in self._streams if not s.closed()}
            for stream in self._streams:
                stream.close_if_timed_out(self.limits)

    @property
    def unsent_count(self) -> int:
        """Return how many connections have bytes that are not sent yet."""
        return sum(stream.writing() for stream in self._open_streams())


async def _refuse_all(request: CallerRequest, responder: Responder) -> None:
    del request
    responder.refuse(Refusal(status=503, reason="starting", retry_after_ms=0))
