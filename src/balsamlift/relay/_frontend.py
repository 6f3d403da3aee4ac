"""The address for callers: HTTP in, byte for byte the upstream's answer."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from http.client import responses
from typing import Any

from loguru import logger
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.netutil import add_accept_handler, bind_sockets

from balsamlift._address import join_address, split_address
from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.kernel import Kernel
from balsamlift.relay._callers_stream import (
    MOST_READ_HEAD_BYTES,
    CallerStream,
)
from balsamlift.relay._configuration import CallerLimits
from balsamlift.relay._request import CallerRequest, Refusal, Responder

log = logger.bind(part="callers")

# Until a configuration says otherwise. Operators let callers rest for a
# quarter of a minute; no caller is late before the first one has come.
FIRST_LIMITS = CallerLimits(
    body_bytes=4_194_304,
    head_bytes=65_536,
    head_timeout_ms=30_000,
    idle_timeout_ms=120_000,
)
# Connections are looked through this often for callers that are late, who
# may so be a quarter of a second over their limit.
LATE_LOOK_S = 0.25
# A whole body may take as long as the longest generation.
BODY_TIMEOUT_S = 120.0

Handle = Callable[[CallerRequest, Responder], Awaitable[None]]


class TornadoResponder:
    """Answer on one tornado connection."""

    def __init__(
        self, connection: HTTPConnection, closes: Callable[[], bool]
    ) -> None:
        """Tell the caller to close after the answer where `closes()`."""
        self._connection = connection
        self._closes = closes
        self._is_started = False
        self._is_finished = False

    @property
    def is_started(self) -> bool:
        """Tell whether the head was sent."""
        return self._is_started

    @property
    def is_finished(self) -> bool:
        """Tell whether the answer has ended, whole or not."""
        return self._is_finished

    def refuse(self, refusal: Refusal) -> None:
        """Send a whole answer of the relay's own."""
        body = f"{refusal.reason}\n".encode()
        headers = HTTPHeaders(
            {"Content-Type": "text/plain", "Content-Length": str(len(body))}
        )
        if refusal.retry_after_ms is not None:
            after_s = refusal.retry_after_ms / 1_000
            headers["Retry-After"] = f"{after_s:.3f}"
        phrase = responses.get(refusal.status, "Unknown")
        self._write_head(refusal.status, phrase, headers, body)
        self.finish()

    async def start(
        self, status: int, reason: str, headers: HTTPHeaders
    ) -> None:
        """Send the head of an upstream's answer."""
        await self._write_head(status, reason, headers, None)

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while the caller does not read."""
        await self._connection.write(data)

    def finish(self) -> None:
        """End the answer as complete."""
        self._is_finished = True
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer is not taken as whole."""
        self._is_finished = True
        assert isinstance(self._connection, HTTP1Connection)
        self._connection.close()

    def _write_head(
        self,
        status: int,
        reason: str,
        headers: HTTPHeaders,
        body: bytes | None,
    ) -> Awaitable[None]:
        self._is_started = True
        if self._closes():
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, reason)
        # Without this an event waits for the acknowledgement of the last.
        stream = getattr(self._connection, "stream", None)
        if stream is not None and not stream.closed():
            stream.set_nodelay(True)
        return self._connection.write_headers(line, headers, body)


class _Message(HTTPMessageDelegate):
    """Collect one request, then run it as a task of its own."""

    def __init__(
        self, frontend: Frontend, connection: HTTP1Connection
    ) -> None:
        assert isinstance(connection.stream, CallerStream)
        self._frontend = frontend
        self._connection = connection
        self._stream = connection.stream
        self._stream.expect_head()
        self._responder = TornadoResponder(
            connection, lambda: frontend.is_closing
        )
        self._parts: list[bytes] = []
        self._size = 0
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._arrived_s = self._frontend.clock.monotonic()
        self._stream.end_head()
        limits = self._frontend.limits
        length = headers.get("Content-Length", "")
        if _head_bytes(start_line, headers) > limits.head_bytes:
            self._refuse(431)
        elif length.isdecimal() and int(length) > limits.body_bytes:
            self._refuse(413)

    def data_received(self, chunk: bytes) -> None:
        if self._responder.is_started:
            return
        self._size += len(chunk)
        self._parts.append(chunk)
        if self._size > self._frontend.limits.body_bytes:
            self._refuse(413)

    def finish(self) -> None:
        if self._responder.is_started:
            return
        if not self._start_line.path.startswith("/"):
            self._refuse(400)
            return
        request = CallerRequest(
            method=self._start_line.method,
            target=self._start_line.path,
            headers=self._headers,
            body=b"".join(self._parts),
            arrived_s=self._arrived_s,
        )
        self._task = asyncio.create_task(self._run(request))
        # Tornado tells a message of its connection's end only while it is
        # being read; from here on, the callback does.
        self._connection.set_close_callback(self.on_connection_close)
        self._frontend.tasks.add(self._task)
        self._task.add_done_callback(self._frontend.tasks.discard)

    def on_connection_close(self) -> None:
        """Give the request up: its caller is gone."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, request: CallerRequest) -> None:
        try:
            await self._frontend.handle(request, self._responder)
        finally:
            if not self._responder.is_finished:
                # Never leave a caller with half an answer to wait for.
                self._responder.abort()

    def _refuse(self, status: int) -> None:
        self._parts.clear()
        reason = responses.get(status, "refused").lower()
        self._responder.refuse(Refusal(status=status, reason=reason))


class Frontend(HTTPServerConnectionDelegate):
    """Serve callers on one address."""

    name = "frontend"

    def __init__(self, address: str, clock: Clock) -> None:
        """Bind `address`, "IP:port"."""
        ip, port = split_address(address)
        self._sockets = bind_sockets(port, ip)
        bound_port = self._sockets[0].getsockname()[1]
        self.address = join_address(ip, bound_port)
        self.clock = clock
        self.limits = FIRST_LIMITS
        self.is_closing = False  # answers tell callers to go elsewhere
        self.tasks: set[asyncio.Task[None]] = set()
        self._handle: Handle = _refuse_all
        self._streams: set[CallerStream] = set()
        self._ends: list[Callable[[], None]] = []  # of accepting
        self._look: asyncio.Task[None] | None = None
        self._server = HTTPServer(
            self,
            max_header_size=MOST_READ_HEAD_BYTES,
            max_body_size=1 << 40,  # checked here, for a fitting status
            body_timeout=BODY_TIMEOUT_S,
        )

    def serve(self, handle: Handle) -> None:
        """Run each request through `handle`."""
        self._handle = handle

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Run one request."""
        await self._handle(request, responder)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the collector of the next request."""
        del server_conn
        assert isinstance(request_conn, HTTP1Connection)
        return _Message(self, request_conn)

    async def start(self, kernel: Kernel) -> None:
        """Begin to accept connections."""
        del kernel
        self._ends = [
            add_accept_handler(each, self._accept) for each in self._sockets
        ]
        self._look = asyncio.create_task(self._keep_looking())

    async def stop(self) -> None:
        """Close the address and its connections."""
        for end in self._ends:
            end()
        for each in self._sockets:
            each.close()
        await end_task(self._look)
        for task in list(self.tasks):
            task.cancel()
        await self._server.close_all_connections()

    def _accept(self, connection: socket.socket, address: Any) -> None:
        stream = CallerStream(connection, self.clock)
        self._streams.add(stream)
        self._server.handle_stream(stream, address)

    async def _keep_looking(self) -> None:
        while True:
            await self.clock.sleep(LATE_LOOK_S)
            self._streams = {s for s in self._streams if not s.closed()}
            for stream in self._streams:
                stream.end_if_late(self.limits)

    async def wait_idle(self) -> None:
        """Wait until no request runs."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))


def _head_bytes(line: RequestStartLine, headers: HTTPHeaders) -> int:
    """Return the length of a head as it is written in full."""
    size = len(" ".join((line.method, line.path, line.version))) + 4
    return size + sum(len(n) + len(v) + 4 for n, v in headers.get_all())


async def _refuse_all(request: CallerRequest, responder: Responder) -> None:
    del request
    responder.refuse(Refusal(status=503, reason="starting", retry_after_ms=0))
