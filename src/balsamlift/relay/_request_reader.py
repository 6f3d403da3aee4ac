"""Read requests of callers, and start a task for each."""

from __future__ import annotations

import asyncio
from http.client import responses
from typing import Protocol

from loguru import logger
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from balsamlift._numbers import parse_count
from balsamlift.clients import HEADER_BYTES, ClientMemoryError, drop
from balsamlift.clock import Clock
from balsamlift.relay._caller_stream import CallerStream
from balsamlift.relay._configuration import CallerLimits
from balsamlift.relay._request import CallerRequest, Refusal, Responder
from balsamlift.relay._responder import TornadoResponder
from balsamlift.relay._response_limits import (
    FREE_OVERHEAD_BYTES,
    OVERHEAD_PER_BYTE,
)

log = logger.bind(part="callers")

RETRY_LATER_MS = 1_000  # without memory for a body


class ReaderOwner(Protocol):
    """The frontend that requests are read for."""

    clock: Clock
    limits: CallerLimits
    tasks: set[asyncio.Task[None]]  # of the requests being handled
    readers: set[RequestReader]  # of requests that are arriving
    is_draining: bool  # connections are closed after their next response

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Handle one request."""

    def close_after(self, stream: CallerStream) -> None:
        """Close a connection whose last response is written."""


class RequestReader(HTTPMessageDelegate):
    """Reads one request, then handles it in a separate task."""

    def __init__(
        self, frontend: ReaderOwner, connection: HTTP1Connection
    ) -> None:
        assert isinstance(connection.stream, CallerStream)
        self._frontend = frontend
        self._connection = connection
        self._stream = connection.stream
        self._stream.expect_head()
        self._is_read = False
        self._responder = TornadoResponder(
            connection,
            lambda: frontend.is_draining,
            lambda: self._is_read,
            frontend.close_after,
        )
        self._body = bytearray()
        self._head_bytes = 0  # as objects
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
        self._frontend.readers.add(self)
        limits = self._frontend.limits
        length = headers.get("Content-Length", "")
        if _head_bytes(start_line, headers) > limits.head_bytes:
            self._refuse(431)
        elif _is_longer(length, limits.body_bytes):
            self._refuse(413)
        elif _is_longer(length, self._stream.holding.max_request_bytes):
            self._refuse(503)
        else:
            self._count_head(headers)
        if self._responder.is_started:
            headers.pop("Expect", None)  # else Tornado asks for the body

    def _count_head(self, headers: HTTPHeaders) -> None:
        """Refuse the request if there is no memory for its headers."""
        self._head_bytes = HEADER_BYTES * sum(1 for _ in headers.get_all())
        try:
            self._stream.holding.take(self._head_bytes)
        except ClientMemoryError:
            self._refuse(503)
        else:
            self._stream.expect_body(self.refuse_unread)

    def data_received(self, chunk: bytes) -> None:
        if self._responder.is_started:
            return
        self._body += chunk
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

    @property
    def is_answered(self) -> bool:
        """Return whether its response has begun."""
        return self._responder.is_started

    def refuse_unread(self) -> None:
        """Refuse a request of which the rest has not arrived."""
        if not self._responder.is_started:
            self._refuse(503)

    def finish(self) -> None:
        self._frontend.readers.discard(self)
        if self._responder.is_started:
            return
        self._is_read = True
        self._stream.run(self._head_bytes + len(self._body))
        if not self._start_line.path.startswith("/"):
            self._refuse(400)
            return
        request = CallerRequest(
            method=self._start_line.method,
            target=self._start_line.path,
            headers=self._headers,
            body=self._body,
            arrived_s=self._arrived_s,
            memory=self._stream.holding,
        )
        self._task = asyncio.create_task(self._run(request))
        # Tornado reports a closed connection to this delegate only while the
        # request is being read; from here on, the callback does.
        self._connection.set_close_callback(self.on_connection_close)
        self._frontend.tasks.add(self._task)
        self._task.add_done_callback(self._frontend.tasks.discard)

    def on_connection_close(self) -> None:
        """Cancel the request, as its caller has disconnected."""
        self._frontend.readers.discard(self)
        if self._task is None:
            drop(self._body)
        else:
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
            drop(self._body)
            if not self._responder.is_finished:
                # Otherwise the caller would wait for the rest of the response.
                self._responder.abort()

    def _refuse(self, status: int) -> None:
        drop(self._body)
        if not self._is_read:
            self._stream.end()
        reason = responses.get(status, "refused").lower()
        retry_after_ms = RETRY_LATER_MS if status == 503 else None
        self._responder.refuse(
            Refusal(
                status=status, reason=reason, retry_after_ms=retry_after_ms
            )
        )


def _is_longer(length: str, limit_bytes: int) -> bool:
    """Return whether the text of a length is that of a longer body."""
    if not length.isdecimal():
        return False  # refused by the parser
    number = parse_count(length)
    return number is None or number > limit_bytes


def _head_bytes(line: RequestStartLine, headers: HTTPHeaders) -> int:
    """Return the length of a request head as sent on the wire."""
    size = len(" ".join((line.method, line.path, line.version))) + 4
    return size + sum(len(n) + len(v) + 4 for n, v in headers.get_all())
