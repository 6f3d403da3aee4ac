"""One connection to an upstream: a request out, an answer in.

A connection carries one request at a time and never sends one again by
itself: curl does so when a kept connection turns out to be closed, which
runs a request twice.
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

from balsamlift._address import split_address
from balsamlift.clock import Clock
from balsamlift.exceptions import (
    UpstreamBrokenError,
    UpstreamUnreachableError,
)

# A connection within a deployment takes a few milliseconds; one that is lost
# with its packet is sent again by the system after a second.
CONNECT_S = 0.5
# Links lose packets for seconds, and a lost one is sent again after 0.2 s,
# 0.4 s and 0.8 s; beyond that, the other end is gone.
SILENCE_S = 2
PROBE_S = 1
MOST_HEAD_BYTES = 65_536
MOST_LINE_BYTES = 1_024  # of a chunk's size or a trailer
READ_BYTES = 65_536
BUFFER_BYTES = 1_048_576  # a single read never waits for more
# A kept connection is left alone in the last part of the idle time that the
# upstream grants: it closes while the request is on its way, and then nobody
# can tell whether it ran.
IDLE_PART = 0.5
IDLE_UNTOLD_S = 1.0  # where the upstream tells no idle time

_NO_BODY = frozenset({204, 304})
_READ_ERRORS = (
    StreamClosedError,
    StreamBufferFullError,
    UnsatisfiableReadError,
    HTTPInputError,
    ValueError,
)


@attrs.frozen
class Head:
    """Hold the start of an answer."""

    status: int
    reason: str
    headers: HTTPHeaders


class UpstreamConnection:
    """Send requests to one incarnation of an upstream, one at a time."""

    def __init__(self, upstream: str, address: str, clock: Clock) -> None:
        """Prepare a connection; `connect` opens it."""
        self.upstream = upstream
        self.address = address
        self._clock = clock
        self._stream: IOStream | None = None
        self._reusable = False
        self._idle_until_s = 0.0
        self._is_head_only = False
        self._write: asyncio.Future[None] | None = None

    async def connect(self) -> None:
        """Open the connection; raise `UpstreamUnreachableError`."""
        ip, port = split_address(self.address)
        stream = IOStream(socket.socket(), max_buffer_size=BUFFER_BYTES)
        try:
            async with asyncio.timeout(CONNECT_S):
                await stream.connect((ip, port))
        except (StreamClosedError, TimeoutError) as error:
            stream.close()
            raise UpstreamUnreachableError(
                self.upstream, f"no connection to {self.address}"
            ) from error
        except BaseException:
            stream.close()
            raise
        stream.set_nodelay(True)
        watch_silence(stream.socket)
        self._stream = stream

    def close(self) -> None:
        """Close the connection; the upstream then drops what it runs."""
        self._reusable = False
        if self._stream is not None:
            self._stream.close()

    def can_take(self) -> bool:
        """Tell whether a kept connection is fit for one more request.

        Looks at the socket itself: an upstream that closed it, or sent what
        nobody asked for, shows there before the event loop has seen it.
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
        """Begin to send a request; from here on it may run."""
        assert self._stream is not None
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self._reusable = False
        self._is_head_only = method == "HEAD"
        write = asyncio.ensure_future(self._stream.write(head + body))
        write.add_done_callback(_ignore_failure)
        self._write = write

    async def read_head(self, is_own: Callable[[Head], bool]) -> Head:
        """Return the head of the answer; raise `UpstreamBrokenError`.

        An upstream may send a second answer to an earlier request: what
        `is_own` does not know is read to its end and dropped.
        """
        while True:
            head = await self._read_head()
            if head.status < 200:
                continue
            if is_own(head):
                return head
            async for _ in self.read_body(head):
                pass
            self._reusable = False

    async def read_body(self, head: Head) -> AsyncIterator[bytes]:
        """Yield the body of the answer as it comes.

        Raises `UpstreamBrokenError` where it ends before its end.
        """
        assert self._stream is not None
        if self._is_head_only or head.status in _NO_BODY:
            self._finish(head)
            return
        try:
            if _is_chunked(head.headers):
                async for part in self._read_chunks(self._stream):
                    yield part
            elif "Content-Length" in head.headers:
                length = _length(head.headers["Content-Length"])
                async for part in self._read_length(self._stream, length):
                    yield part
            else:
                async for part in self._read_until_close(self._stream):
                    yield part
                return
        except _READ_ERRORS as error:
            self.close()
            raise UpstreamBrokenError(
                self.upstream, f"answer broken off: {error}"
            ) from error
        self._finish(head)

    async def _read_head(self) -> Head:
        assert self._stream is not None
        try:
            data = await self._stream.read_until(
                b"\r\n\r\n", max_bytes=MOST_HEAD_BYTES
            )
            first, _, rest = data.decode("latin-1").partition("\r\n")
            line = parse_start_line(first)
            headers = HTTPHeaders.parse(rest)
        except _READ_ERRORS as error:
            self.close()
            raise UpstreamBrokenError(
                self.upstream, f"no answer: {error}"
            ) from error
        return Head(line.code, line.reason, headers)

    async def _read_length(
        self, stream: IOStream, length: int
    ) -> AsyncIterator[bytes]:
        while length > 0:
            part = await stream.read_bytes(
                min(length, READ_BYTES), partial=True
            )
            length -= len(part)
            yield part

    async def _read_chunks(self, stream: IOStream) -> AsyncIterator[bytes]:
        while True:
            line = await stream.read_until(b"\r\n", max_bytes=MOST_LINE_BYTES)
            size = _chunk_size(line)
            if size == 0:
                break
            async for part in self._read_length(stream, size):
                yield part
            if await stream.read_bytes(2) != b"\r\n":
                raise HTTPInputError("a chunk does not end where it says")
        while line != b"\r\n":
            line = await stream.read_until(b"\r\n", max_bytes=MOST_LINE_BYTES)

    async def _read_until_close(
        self, stream: IOStream
    ) -> AsyncIterator[bytes]:
        while True:
            try:
                part = await stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError as error:
                if stream.error is not None:
                    raise UpstreamBrokenError(
                        self.upstream, "connection reset"
                    ) from error
                return
            yield part

    def _finish(self, head: Head) -> None:
        """Keep the connection where the upstream keeps it too."""
        closes = "close" in head.headers.get("Connection", "").lower()
        is_written = self._write is not None and self._write.done()
        if closes or not is_written:
            self.close()
            return
        self._reusable = True
        idle_s = _idle_s(head.headers.get("Keep-Alive", ""))
        self._idle_until_s = self._clock.monotonic() + idle_s


async def refuses_connections(address: str) -> bool:
    """Return whether the host is reachable but refuses connections."""
    ip, port = split_address(address)
    stream = IOStream(socket.socket())
    try:
        async with asyncio.timeout(CONNECT_S):
            await stream.connect((ip, port))
    except StreamClosedError as error:
        return isinstance(error.real_error, ConnectionError)
    except TimeoutError:
        return False
    finally:
        stream.close()
    return False


def watch_silence(sock: socket.socket) -> None:
    """Let the system close a connection whose other end is gone.

    A connection may go silent for good while new ones work. Bytes without
    an acknowledgement, and a quiet peer that does not answer probes, end it
    after `SILENCE_S`.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, SILENCE_S // PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_S * 1_000),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)


def _ignore_failure(write: asyncio.Future[None]) -> None:
    # A connection that fails while writing fails the reading as well,
    # where it is reported.
    if not write.cancelled():
        write.exception()


def _is_chunked(headers: HTTPHeaders) -> bool:
    return headers.get("Transfer-Encoding", "").strip().lower() == "chunked"


def _length(text: str) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise HTTPInputError("no length of a body")
    return int(text)


def _chunk_size(line: bytes) -> int:
    digits = line.split(b";", 1)[0].strip()
    if not digits or len(digits) > 8:
        raise HTTPInputError("no size of a chunk")
    return int(digits, 16)


def _idle_s(text: str) -> float:
    """Return how long a connection may be kept, by a Keep-Alive header."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdecimal():
            return int(value) * IDLE_PART
    return IDLE_UNTOLD_S
