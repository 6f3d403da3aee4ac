"""Respond to callers on Tornado connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from http.client import responses
from typing import cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine

from balsamlift.relay._caller_stream import CallerStream
from balsamlift.relay._header_names import UNREACHED_HEADER
from balsamlift.relay._request import Refusal

# For which callers may use the other hosts that a refusal names.
ALTERNATIVES_MAX_AGE_S = 5


class TornadoResponder:
    """Responds on one Tornado connection."""

    def __init__(
        self,
        connection: HTTP1Connection,
        should_close: Callable[[], bool],
        is_request_read: Callable[[], bool],
        on_last: Callable[[CallerStream], None],
    ) -> None:
        """Create a responder.

        If `should_close()` is true when a response starts, it carries
        `Connection: close`, as does a response to a request that is not read
        in full. `on_last` is called once such a response is written.
        """
        self._connection = connection
        self._should_close = should_close
        self._is_request_read = is_request_read
        self._on_last = on_last
        self._is_last = False
        self._is_started = False
        self._is_finished = False

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
        if refusal.alternatives:
            headers["Alt-Svc"] = _alternative_services(refusal.alternatives)
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

    async def write(self, data: bytes | bytearray) -> None:
        """Send a chunk of the body; wait while the caller does not read."""
        # A view is not copied; tornado's declaration lacks it.
        await self._connection.write(cast(bytes, memoryview(data)))

    def finish(self) -> None:
        """End the response as complete."""
        self._is_finished = True
        stream = self._connection.stream
        if not self._is_last or stream is None or stream.closed():
            self._connection.finish()
            return
        assert isinstance(stream, CallerStream)
        if self._is_request_read():
            stream.expect_no_more()
            self._connection.finish()
        self._on_last(stream)

    def abort(self) -> None:
        """Close the connection, so that the response appears truncated."""
        self._is_finished = True
        self._connection.close()

    def _write_head(
        self,
        status: int,
        reason: str,
        headers: HTTPHeaders,
        body: bytes | None,
    ) -> Awaitable[None]:
        self._is_started = True
        self._is_last = self._should_close() or not self._is_request_read()
        if self._is_last:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, reason)
        # With Nagle's algorithm, an event would wait for the
        # acknowledgement of the previous one.
        stream = self._connection.stream
        if stream is not None and not stream.closed():
            stream.set_nodelay(True)
        return self._connection.write_headers(line, headers, body)


def _alternative_services(addresses: Iterable[str]) -> str:
    """Return the value of an Alt-Svc header (RFC 7838)."""
    return ", ".join(
        f'http%2F1.1="{address}"; ma={ALTERNATIVES_MAX_AGE_S}'
        for address in addresses
    )
