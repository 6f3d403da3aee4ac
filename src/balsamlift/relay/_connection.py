"""HTTP/1.1 client connection to one upstream.

A connection carries one request at a time and never resends a request on its
own. curl does so when a reused connection turns out to be closed, which can
run a request twice.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Iterable

import attrs
from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.httputil import parse_response_start_line as parse_start_line
from tornado.iostream import (
    IOStream,
    StreamBufferFullError,
    StreamClosedError,
    UnsatisfiableReadError,
)

from balsamlift._fair_stream import FairStream, ReadQueue
from balsamlift._receive_buffer import limit_receive_buffer
from balsamlift.clock import Clock
from balsamlift.exceptions import (
    ResponseLimitError,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)
from balsamlift.relay._delivery_watch import MAX_HELD_BYTES, DeliveryWatch
from balsamlift.relay._framing import (
    LINE_END,
    is_chunked,
    parse_chunk_size,
    parse_length,
    read_chunk_line,
    read_until,
)
from balsamlift.relay._keep_alive import (
    DEFAULT_IDLE_TIMEOUT_S,
    parse_idle_timeout_s,
)
from balsamlift.relay._reaching import (
    CONNECT_TIMEOUT_S,
    enable_dead_peer_detection,
    open_stream,
)
from balsamlift.relay._response_limits import (
    MAX_DROPPED_BYTES,
    MAX_DROPPED_RESPONSES,
    MAX_HEAD_BYTES,
    MAX_INTERIM_RESPONSES,
    MAX_TRAILER_BYTES,
    ByteLimit,
    ByteLimitError,
    ResponseForm,
    overhead_limit,
)
from balsamlift.relay.health import OpenRequest

READ_BYTES = 4_096
MAX_BUFFER_BYTES = 131_072  # a single read never buffers more
# Longer bodies are written by themselves, so that they are not copied.
MAX_JOINED_BYTES = 16_384

_NO_BODY = frozenset({204, 304})
_READ_ERRORS = (
    StreamClosedError,
    StreamBufferFullError,
    UnsatisfiableReadError,
    HTTPInputError,
    ByteLimitError,
    ValueError,
)


def _ignore_limit(upstream: str, form: ResponseForm) -> None:
    del upstream, form


@attrs.frozen
class ResponseHead:
    """Status line and headers of a response."""

    status: int
    reason: str
    headers: HTTPHeaders


class UpstreamConnection:
    """A connection to one incarnation of an upstream.

    It carries one request at a time.
    """

    def __init__(
        self,
        upstream: str,
        address: str,
        clock: Clock,
        read_queue: ReadQueue | None = None,
        on_limit: Callable[[str, ResponseForm], None] = _ignore_limit,
    ) -> None:
        """Create a closed connection; `connect` opens it.

        Its reads share `read_queue` with those of others. `on_limit` is
        called with its upstream and the form that had too many bytes.
        """
        self.upstream = upstream
        self.address = address
        self._clock = clock
        self._read_queue = read_queue or ReadQueue()
        self._on_limit = on_limit
        self._stream: FairStream | None = None
        self.is_kept = False  # it was idle since it was opened
        # The response has ended with the connection, and by that alone.
        self.is_ended_by_close = False
        self._is_closed_here = False
        self._reusable = False
        self._idle_until_s = 0.0
        self._is_head_request = False
        self._write_future: asyncio.Future[None] | None = None
        self._request: OpenRequest | None = None
        self._delivery = DeliveryWatch(clock)

    async def connect(self, timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Open the connection.

        Raises `UpstreamUnreachableError`.
        """
        sock = socket.socket()
        limit_receive_buffer(sock)
        stream = FairStream(
            sock, self._read_queue, self._clock, MAX_BUFFER_BYTES
        )
        try:
            await open_stream(stream, self.address, timeout_s)
        except (StreamClosedError, TimeoutError) as error:
            stream.close()
            raise UpstreamUnreachableError(
                self.upstream,
                f"no connection to {self.address}",
                is_silent=isinstance(error, TimeoutError),
            ) from error
        except BaseException:
            stream.close()
            raise
        stream.set_nodelay(True)
        enable_dead_peer_detection(stream.socket)
        self._stream = stream

    def keep(self) -> None:
        """Make a connection that carried no request yet reusable."""
        self._reusable = True
        self.is_kept = True
        self._idle_until_s = self._clock.monotonic() + DEFAULT_IDLE_TIMEOUT_S

    def close(self) -> None:
        """Close the connection, on which the upstream aborts the request."""
        self.end_request()
        self._reusable = False
        self._is_closed_here = True
        if self._stream is not None:
            self._stream.close()

    def end_request(self) -> None:
        """Expect nothing more of the upstream until the next request."""
        request, self._request = self._request, None
        if request is not None:
            request.end()
        self._delivery.stop()

    def charge(self, work_us: float) -> None:
        """Charge work that a response has caused, in microseconds."""
        if self._stream is not None:
            self._stream.charge(work_us)

    def break_off(self, form: ResponseForm) -> ResponseLimitError:
        """Close for too many bytes of a form; return the error to raise."""
        self.close()
        self._on_limit(self.upstream, form)
        return ResponseLimitError(self.upstream, form)

    def is_reusable(self) -> bool:
        """Return whether an idle connection can carry another request.

        Peeks at the socket, which shows a close or unsolicited data before
        the event loop has processed it.
        """
        stream = self._stream
        if not self._reusable or stream is None or stream.closed():
            return False
        if self._clock.monotonic() >= self._idle_until_s:
            return False
        if stream.unread_bytes:  # they belong to no request
            return False
        try:
            stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes | bytearray,
        request: OpenRequest | None = None,
    ) -> None:
        """Start sending a request; from here on it may run.

        Tells `request` of the bytes and the end of its response.
        """
        assert self._stream is not None
        self._request = request
        self._stream.on_bytes = request.record_bytes if request else None
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self._reusable = False
        self._is_head_request = method == "HEAD"
        if len(head) + len(body) > MAX_HELD_BYTES:
            self._delivery.start(self._stream)
        if len(body) > MAX_JOINED_BYTES:
            self._stream.write(head)
            last = self._stream.write(memoryview(body))
        else:
            last = self._stream.write(head + body)
        write = asyncio.ensure_future(last)
        write.add_done_callback(_ignore_write_error)
        self._write_future = write

    async def read_head(
        self, is_expected: Callable[[ResponseHead], bool]
    ) -> ResponseHead:
        """Return the head of the response.

        An upstream may send a second response to an earlier request, so a
        response for which `is_expected` returns false is read to its end
        and dropped. Raises `UpstreamBrokenError`.
        """
        interim_limit = ByteLimit("interim responses", MAX_INTERIM_RESPONSES)
        dropped_limit = ByteLimit("dropped responses", MAX_DROPPED_RESPONSES)
        head_limit = ByteLimit("head", MAX_HEAD_BYTES)
        while True:
            head = await self._read_head(head_limit)
            if head.status < 200:
                self._spend(interim_limit, 1)
                continue
            if is_expected(head):
                return head
            self._spend(dropped_limit, 1)
            await self._drop(head)

    async def _drop(self, head: ResponseHead) -> None:
        limit = ByteLimit("dropped responses", MAX_DROPPED_BYTES)
        async for chunk in self.read_body(head):
            self._spend(limit, len(chunk))
        self._reusable = False

    def _spend(self, limit: ByteLimit, count: int) -> None:
        """Count towards a limit; raise `ResponseLimitError` beyond it."""
        try:
            limit.spend(count)
        except ByteLimitError as error:
            raise self.break_off(error.form) from error

    async def read_body(self, head: ResponseHead) -> AsyncIterator[bytes]:
        """Yield the body of the response as it arrives.

        Raises `UpstreamBrokenError` if it is truncated. Whether a body that
        `is_ended_by_close` is whole is left to `Exchange.confirm_end`.
        """
        assert self._stream is not None
        if self._is_head_request or head.status in _NO_BODY:
            self._finish(head)
            return
        try:
            if is_chunked(head.headers):
                async for chunk in self._read_chunks(self._stream):
                    yield chunk
            elif "Content-Length" in head.headers:
                length = parse_length(head.headers["Content-Length"])
                async for chunk in self._read_length(self._stream, length):
                    yield chunk
            else:
                async for chunk in self._read_until_close(self._stream):
                    yield chunk
                return
        except _READ_ERRORS as error:
            raise self._broken(error, "answer broken off") from error
        self._finish(head)

    def _broken(self, error: Exception, cause: str) -> UpstreamBrokenError:
        """Close after a failed read; return the error to raise."""
        if isinstance(error, ByteLimitError):
            return self.break_off(error.form)
        self.close()
        reason = _describe_read_error(error)
        return UpstreamBrokenError(self.upstream, f"{cause}: {reason}")

    async def _read_head(self, limit: ByteLimit) -> ResponseHead:
        assert self._stream is not None
        try:
            data = await read_until(self._stream, b"\r\n\r\n", limit)
            first, _, rest = data.decode("latin-1").partition("\r\n")
            line = parse_start_line(first)
            headers = HTTPHeaders.parse(rest)
        except _READ_ERRORS as error:
            raise self._broken(error, "no answer") from error
        return ResponseHead(line.code, line.reason, headers)

    async def _read_length(
        self, stream: IOStream, length: int
    ) -> AsyncIterator[bytes]:
        while length > 0:
            chunk = await stream.read_bytes(
                min(length, READ_BYTES), partial=True
            )
            length -= len(chunk)
            yield chunk

    async def _read_chunks(self, stream: IOStream) -> AsyncIterator[bytes]:
        overhead = overhead_limit("chunks")
        while True:
            line = await read_chunk_line(stream)
            size = parse_chunk_size(line)
            if size == 0:
                break
            overhead.spend(len(line) + len(LINE_END))
            async for chunk in self._read_length(stream, size):
                overhead.earn(len(chunk))
                yield chunk
            if await stream.read_bytes(len(LINE_END)) != LINE_END:
                raise HTTPInputError("a chunk does not end where it says")
        trailers = ByteLimit("trailers", MAX_TRAILER_BYTES)
        while line != LINE_END:
            line = await read_until(stream, LINE_END, trailers)

    async def _read_until_close(
        self, stream: IOStream
    ) -> AsyncIterator[bytes]:
        while True:
            try:
                chunk = await stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError as error:
                if stream.error is not None or self._is_closed_here:
                    raise UpstreamBrokenError(
                        self.upstream, "connection reset"
                    ) from error
                self.is_ended_by_close = True
                return
            yield chunk

    def _finish(self, head: ResponseHead) -> None:
        """Mark the connection as reusable, or close it.

        It is reusable if the upstream keeps it open and the request has
        been written in full.
        """
        will_close = "close" in head.headers.get("Connection", "").lower()
        is_written = (
            self._write_future is not None and self._write_future.done()
        )
        if will_close or not is_written:
            self.close()
            return
        self._reusable = True
        self.is_kept = True
        idle_s = parse_idle_timeout_s(head.headers.get("Keep-Alive", ""))
        self._idle_until_s = self._clock.monotonic() + idle_s


def _describe_read_error(error: Exception) -> str:
    """Return why a read failed, with what the system says of the socket."""
    cause = getattr(error, "real_error", None)
    return str(error) if cause is None else f"{error} ({cause})"


def _ignore_write_error(write: asyncio.Future[None]) -> None:
    # A write error also fails the pending read, where it is reported.
    # Retrieving the exception avoids an asyncio warning.
    if not write.cancelled():
        write.exception()
