"""HTTP server for callers."""

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
from tornado.iostream import StreamClosedError
from tornado.netutil import add_accept_handler

from balsamlift._listening import listen
from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.kernel import Kernel
from balsamlift.relay._body_memory import BodyMemory, BodyMemoryError
from balsamlift.relay._caller_stream import (
    MAX_READ_HEAD_BYTES,
    CallerStream,
)
from balsamlift.relay._configuration import CallerLimits
from balsamlift.relay._fair_stream import ReadQueue
from balsamlift.relay._header_names import UNREACHED_HEADER
from balsamlift.relay._request import CallerRequest, Refusal, Responder
from balsamlift.relay._response_limits import (
    FREE_OVERHEAD_BYTES,
    OVERHEAD_PER_BYTE,
)

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
RETRY_LATER_MS = 1_000  # without memory for a body

FORWARDING_FRONTEND = "forwarding_frontend"  # the one for other hosts

RequestHandler = Callable[[CallerRequest, Responder], Awaitable[None]]


class TornadoResponder:
    """Responds on one Tornado connection."""

    def __init__(
        self, connection: HTTPConnection, should_close: Callable[[], bool]
    ) -> None:
        """Create a responder.

        If `should_close()` is true when a response starts, it carries
        `Connection: close`.
        """
        self._connection = connection
        self._should_close = should_close
        self._is_started = False
        self._is_finished = False
        self.is_caller_gone = False

    @property
    def is_started(self) -> bool:
        """Return whether the response head was sent."""
        return self._is_started

    @property
    def is_finished(self) -> bool:
        """Return whether the response has ended, complete or aborted."""
        return self._is_finished

    def refuse(self, refusal: Refusal) -> None:
        """Send a complete response that refuses the request."""
        body = f"{refusal.reason}\n".encode()
        headers = HTTPHeaders(
            {"Content-Type": "text/plain", "Content-Length": str(len(body))}
        )
        if refusal.retry_after_ms is not None:
            after_s = refusal.retry_after_ms / 1_000
            headers["Retry-After"] = f"{after_s:.3f}"
        if refusal.is_unreached:
            headers[UNREACHED_HEADER] = "1"
        phrase = responses.get(refusal.status, "Unknown")
        self._write_head(refusal.status, phrase, headers, body)
        self.finish()

    async def start(
        self, status: int, reason: str, headers: HTTPHeaders
    ) -> None:
        """Send the head of an upstream's response."""
        await self._write_head(status, reason, headers, None)

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body; wait while the caller does not read."""
        await self._connection.write(data)

    def finish(self) -> None:
        """End the response as complete."""
        self._is_finished = True
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the response appears truncated."""
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
        if self._should_close():
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, reason)
        # With Nagle's algorithm, an event would wait for the
        # acknowledgement of the previous one.
        stream = getattr(self._connection, "stream", None)
        if stream is not None and not stream.closed():
            stream.set_nodelay(True)
        return self._connection.write_headers(line, headers, body)


class _RequestReader(HTTPMessageDelegate):
    """Reads one request, then handles it in a separate task."""

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
        self._body = frontend.bodies.open()
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
        self._stream.head_received()
        limits = self._frontend.limits
        length = headers.get("Content-Length", "")
        if _head_bytes(start_line, headers) > limits.head_bytes:
            self._refuse(431)
        elif length.isdecimal() and int(length) > limits.body_bytes:
            self._refuse(413)

    def data_received(self, chunk: bytes) -> None:
        if self._responder.is_started:
            return
        try:
            self._body.append(chunk)
        except BodyMemoryError:
            self._refuse(503)
            return
        earned_bytes = OVERHEAD_PER_BYTE * len(self._body)
        if len(self._body) > self._frontend.limits.body_bytes:
            self._refuse(413)
        elif self._overhead_bytes() > earned_bytes + FREE_OVERHEAD_BYTES:
            self._refuse(400)

    def _overhead_bytes(self) -> int:
        """Return the bytes read since the head that are not of the body."""
        stream = self._stream
        read_bytes = stream.bytes_since_head - stream.unread_bytes
        return read_bytes - len(self._body)

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
            body=self._body.join(),
            arrived_s=self._arrived_s,
        )
        self._task = asyncio.create_task(self._run(request))
        # Tornado reports a closed connection to this delegate only while the
        # request is being read; from here on, the callback does.
        self._connection.set_close_callback(self.on_connection_close)
        self._frontend.tasks.add(self._task)
        self._task.add_done_callback(self._frontend.tasks.discard)

    def on_connection_close(self) -> None:
        """Cancel the request, as its caller has disconnected."""
        self._body.release()
        self._responder.is_caller_gone = True
        if self._task is not None:
            self._task.cancel()

    async def _run(self, request: CallerRequest) -> None:
        try:
            await self._frontend.handle(request, self._responder)
        except StreamClosedError:
            pass  # the caller has disconnected
        except Exception:
            log.bind(path=request.target.partition("?")[0][:80]).exception(
                "could not handle a request"
            )
            if not self._responder.is_started:
                self._refuse(500)
        finally:
            self._body.release()
            if not self._responder.is_finished:
                # Otherwise the caller would wait for the rest of the response.
                self._responder.abort()

    def _refuse(self, status: int) -> None:
        self._body.release()
        reason = responses.get(status, "refused").lower()
        retry_after_ms = RETRY_LATER_MS if status == 503 else None
        self._responder.refuse(
            Refusal(
                status=status, reason=reason, retry_after_ms=retry_after_ms
            )
        )


class Frontend(HTTPServerConnectionDelegate):
    """HTTP server that accepts callers, or other hosts, on one address."""

    def __init__(
        self, address: str, clock: Clock, name: str = "frontend"
    ) -> None:
        """Bind `address`, given as "IP:port"."""
        self.name = name
        self._sockets, self.address = listen(address)
        self.clock = clock
        self.limits = DEFAULT_CALLER_LIMITS
        self.is_closing = False  # responses carry "Connection: close"
        self.tasks: set[asyncio.Task[None]] = set()
        self._handle: RequestHandler = _refuse_all
        self._streams: set[CallerStream] = set()
        self._read_queue = ReadQueue()
        self.bodies = BodyMemory()
        self._remove_accept_handlers: list[Callable[[], None]] = []
        self._timeout_task: asyncio.Task[None] | None = None
        self._server = HTTPServer(
            self,
            max_header_size=MAX_READ_HEAD_BYTES,
            # `_RequestReader` checks the limit and responds with 413.
            max_body_size=1 << 40,
            body_timeout=BODY_TIMEOUT_S,
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
        return _RequestReader(self, request_conn)

    async def start(self, kernel: Kernel) -> None:
        """Start accepting connections."""
        del kernel
        self._remove_accept_handlers = [
            add_accept_handler(listener, self._accept)
            for listener in self._sockets
        ]
        self._timeout_task = start_task(
            "timeouts of callers", self._check_timeouts, self.clock
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for remove_handler in self._remove_accept_handlers:
            remove_handler()
        for listener in self._sockets:
            listener.close()
        await end_task(self._timeout_task)
        for task in list(self.tasks):
            task.cancel()
        await self._server.close_all_connections()

    def _accept(self, connection: socket.socket, address: Any) -> None:
        stream = CallerStream(connection, self._read_queue, self.clock)
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
        return sum(s.writing() for s in self._streams if not s.closed())

    async def wait_idle(self) -> None:
        """Wait until no request is being handled."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))


def _head_bytes(line: RequestStartLine, headers: HTTPHeaders) -> int:
    """Return the length of a request head as sent on the wire."""
    size = len(" ".join((line.method, line.path, line.version))) + 4
    return size + sum(len(n) + len(v) + 4 for n, v in headers.get_all())


async def _refuse_all(request: CallerRequest, responder: Responder) -> None:
    del request
    responder.refuse(Refusal(status=503, reason="starting", retry_after_ms=0))
