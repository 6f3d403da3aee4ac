"""HTTP/1.1 client connection to one upstream.

A connection carries one request at a time and never resends a request on its
own. curl does so when a reused connection turns out to be closed, which can
run a request twice.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Literal

import attrs
from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.httputil import parse_response_start_line as parse_start_line
from tornado.iostream import (
    IOStream,
    StreamBufferFullError,
    StreamClosedError,
    UnsatisfiableReadError,
)

from balsamlift._address import split_address
from balsamlift.clock import Clock
from balsamlift.exceptions import (
    UpstreamBrokenError,
    UpstreamUnreachableError,
)

# Connecting within a deployment takes a few milliseconds; the kernel resends a
# lost SYN packet after one second.
CONNECT_TIMEOUT_S = 0.5
# Links may lose packets for seconds. A lost packet is retransmitted after
# 0.2 s, 0.4 s and 0.8 s; after that, the other end is considered dead.
SILENCE_TIMEOUT_S = 2
KEEPALIVE_INTERVAL_S = 1
MAX_HEAD_BYTES = 65_536
MAX_LINE_BYTES = 1_024  # of a chunk size line or a trailer
READ_BYTES = 65_536
MAX_BUFFER_BYTES = 1_048_576  # a single read never buffers more
# Fraction of the upstream's keep-alive timeout within which a connection is
# reused. Close to the timeout, the upstream may close the connection while a
# request is in flight, and it is then unknown whether the request ran.
IDLE_TIMEOUT_FRACTION = 0.5
DEFAULT_IDLE_TIMEOUT_S = 1.0  # without a Keep-Alive header

# To an attempt to open a connection.
Answer = Literal["accepts", "refuses", "silent"]

_NO_BODY = frozenset({204, 304})
_READ_ERRORS = (
    StreamClosedError,
    StreamBufferFullError,
    UnsatisfiableReadError,
    HTTPInputError,
    ValueError,
)


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

    def __init__(self, upstream: str, address: str, clock: Clock) -> None:
        """Create a closed connection; `connect` opens it."""
        self.upstream = upstream
        self.address = address
        self._clock = clock
        self._stream: IOStream | None = None
        self.is_kept = False  # it was idle since it was opened
        # The response has ended with the connection, and by that alone.
        self.is_ended_by_close = False
        self._is_closed_here = False
        self._reusable = False
        self._idle_until_s = 0.0
        self._is_head_request = False
        self._write_future: asyncio.Future[None] | None = None

    async def connect(self, timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Open the connection.

        Raises `UpstreamUnreachableError`.
        """
        ip, port = split_address(self.address)
        stream = IOStream(socket.socket(), max_buffer_size=MAX_BUFFER_BYTES)
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((ip, port))
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
        self._reusable = False
        self._is_closed_here = True
        if self._stream is not None:
            self._stream.close()

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
        body: bytes,
    ) -> None:
        """Start sending a request; from here on it may run."""
        assert self._stream is not None
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self._reusable = False
        self._is_head_request = method == "HEAD"
        write = asyncio.ensure_future(self._stream.write(head + body))
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
        while True:
            head = await self._read_head()
            if head.status < 200:
                continue
            if is_expected(head):
                return head
            async for _ in self.read_body(head):
                pass
            self._reusable = False

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
            if _is_chunked(head.headers):
                async for chunk in self._read_chunks(self._stream):
                    yield chunk
            elif "Content-Length" in head.headers:
                length = _parse_length(head.headers["Content-Length"])
                async for chunk in self._read_length(self._stream, length):
                    yield chunk
            else:
                async for chunk in self._read_until_close(self._stream):
                    yield chunk
                return
        except _READ_ERRORS as error:
            self.close()
            raise UpstreamBrokenError(
                self.upstream, f"answer broken off: {error}"
            ) from error
        self._finish(head)

    async def _read_head(self) -> ResponseHead:
        assert self._stream is not None
        try:
            data = await self._stream.read_until(
                b"\r\n\r\n", max_bytes=MAX_HEAD_BYTES
            )
            first, _, rest = data.decode("latin-1").partition("\r\n")
            line = parse_start_line(first)
            headers = HTTPHeaders.parse(rest)
        except _READ_ERRORS as error:
            self.close()
            raise UpstreamBrokenError(
                self.upstream, f"no answer: {error}"
            ) from error
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
        while True:
            line = await stream.read_until(b"\r\n", max_bytes=MAX_LINE_BYTES)
            size = _parse_chunk_size(line)
            if size == 0:
                break
            async for chunk in self._read_length(stream, size):
                yield chunk
            if await stream.read_bytes(2) != b"\r\n":
                raise HTTPInputError("a chunk does not end where it says")
        while line != b"\r\n":
            line = await stream.read_until(b"\r\n", max_bytes=MAX_LINE_BYTES)

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
        idle_s = _parse_idle_timeout_s(head.headers.get("Keep-Alive", ""))
        self._idle_until_s = self._clock.monotonic() + idle_s


async def try_connection(address: str) -> Answer:
    """Return how a host answers an attempt to open a connection."""
    ip, port = split_address(address)
    stream = IOStream(socket.socket())
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.connect((ip, port))
    except StreamClosedError as error:
        is_refusal = isinstance(error.real_error, ConnectionError)
        return "refuses" if is_refusal else "silent"
    except TimeoutError:
        return "silent"
    finally:
        stream.close()
    return "accepts"


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Let the kernel close a connection whose other end is unreachable.

    A connection may stop carrying packets for good while new ones work.
    The kernel closes it when sent bytes stay unacknowledged, or keepalive
    probes stay unanswered, for `SILENCE_TIMEOUT_S`.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (
            socket.IPPROTO_TCP,
            socket.TCP_KEEPCNT,
            SILENCE_TIMEOUT_S // KEEPALIVE_INTERVAL_S,
        ),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            SILENCE_TIMEOUT_S * 1_000,
        ),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)


def _ignore_write_error(write: asyncio.Future[None]) -> None:
    # A write error also fails the pending read, where it is reported.
    # Retrieving the exception avoids an asyncio warning.
    if not write.cancelled():
        write.exception()


def _is_chunked(headers: HTTPHeaders) -> bool:
    return headers.get("Transfer-Encoding", "").strip().lower() == "chunked"


def _parse_length(text: str) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise HTTPInputError("no length of a body")
    return int(text)


def _parse_chunk_size(line: bytes) -> int:
    digits = line.split(b";", 1)[0].strip()
    if not digits or len(digits) > 8:
        raise HTTPInputError("no size of a chunk")
    return int(digits, 16)


def _parse_idle_timeout_s(text: str) -> float:
    """Return how long a connection may be reused, by a Keep-Alive header."""
    for parameter in text.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdecimal():
            return int(value) * IDLE_TIMEOUT_FRACTION
    return DEFAULT_IDLE_TIMEOUT_S
