"""Caller connections with limits on the size and time of request heads."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from http.client import responses
from typing import Any

from loguru import logger
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from balsamlift._fair_stream import FairStream, ReadQueue
from balsamlift.clients import ClientMemory, CountedStream, Holding
from balsamlift.clock import Clock
from balsamlift.relay._configuration import CallerLimits

log = logger.bind(part="callers")

# Heads up to this size are read in full, so that the response to an oversized
# head arrives. Closing a connection with unread bytes may reset it first.
MAX_READ_HEAD_BYTES = 262_144
MAX_BUFFER_BYTES = 2 * MAX_READ_HEAD_BYTES
# Bodies in small chunks take many reads, which cause no other work.
QUANTUM_US = 500.0
# Callers observe the idle timeout too. A request sent while the relay closes
# the connection costs its caller a second connection, so the relay waits
# longer than the configured limit.
IDLE_TIMEOUT_FACTOR = 1.25


class CallerStream(CountedStream, FairStream):
    """A stream that tracks how long it has waited for a request head."""

    def __init__(
        self,
        connection: socket.socket,
        read_queue: ReadQueue,
        clock: Clock,
        holding: Holding | None = None,
    ) -> None:
        """Create a stream that expects its first request head.

        Its reads share `read_queue` with those of other callers, and
        `holding` counts its memory; the default has a limit of its own.
        """
        super().__init__(
            connection, read_queue, clock, MAX_BUFFER_BYTES, QUANTUM_US
        )
        self.holding = holding or ClientMemory(clock=clock).open()
        self.holding.attach(self)
        self._refuse_body: Callable[[], None] | None = None
        self.bytes_since_head = 0  # received, also if not read yet
        self._clock = clock
        # Raises once the stream is closed; None while heads are read.
        self._unread: asyncio.Future[bytes] | None = None
        self._idle_since_s: float | None = None
        self._head_since_s: float | None = None
        self.expect_head()

    @property
    def is_reading_head(self) -> bool:
        """Return whether a part of a request head has arrived."""
        return self._head_since_s is not None

    def expect_no_more(self) -> None:
        """Leave what the caller sends from now on unread."""
        self._unread = asyncio.get_running_loop().create_future()

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Return the bytes up to a match, unless no more are expected."""
        if self._unread is not None:
            return self._unread
        return super().read_until_regex(regex, max_bytes)

    def expect_head(self) -> None:
        """Start the idle timeout after the previous response has ended."""
        self._idle_since_s = self._clock.monotonic()
        self._head_since_s = None
        self.expect_request()

    def expect_body(self, refuse: Callable[[], None]) -> None:
        """Call `refuse` if others need the memory before the body is read."""
        self._refuse_body = refuse

    def run(self, size_bytes: int) -> None:
        """Keep that much while its request is handled."""
        self._refuse_body = None
        self.holding.run(size_bytes)

    def end(self) -> None:
        """Drop the rest of a request that was refused."""
        self._refuse_body = None
        super().end()

    def evict(self) -> None:
        """Refuse the request that arrives, or close, if others need memory."""
        refuse, self._refuse_body = self._refuse_body, None
        if refuse is not None:
            refuse()
        elif self.is_reading_head:
            self.refuse_head()
        else:
            self.close()

    def head_received(self) -> None:
        """Stop the timeouts after a complete head has been read."""
        self._idle_since_s = None
        self._head_since_s = None
        self.bytes_since_head = self.unread_bytes

    def close_if_timed_out(self, limits: CallerLimits) -> None:
        """Close a connection that is idle or sends its head for too long."""
        now_s = self._clock.monotonic()
        if self._head_since_s is not None:
            if now_s - self._head_since_s > limits.head_timeout_ms / 1_000:
                self._reject_slow_head()
        elif self._idle_since_s is not None:
            idle_ms = (now_s - self._idle_since_s) * 1_000
            if idle_ms > limits.idle_timeout_ms * IDLE_TIMEOUT_FACTOR:
                log.bind(
                    peer=self._peer(),
                    idle_ms=round(idle_ms),
                    limit_ms=limits.idle_timeout_ms,
                ).info("closed as idle")
                self.close()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and start the head timeout at the first byte of a head."""
        count = super().read_from_fd(buf)
        self.bytes_since_head += count or 0
        if count and self._idle_since_s is not None:
            self._idle_since_s = None
            self._head_since_s = self._clock.monotonic()
        return count

    def close(self, exc_info: Any = False) -> None:
        """Close the stream; respond with 431 if the head was too large."""
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            log.bind(status=431, peer=self._peer()).info("head too large")
            with contextlib.suppress(OSError):  # caller disconnected; logged
                self.write_to_fd(memoryview(_closing_response(431)))
        super().close(exc_info)
        if self._unread is not None and not self._unread.done():
            self._unread.set_exception(StreamClosedError())

    def _reject_slow_head(self) -> None:
        log.bind(status=408, peer=self._peer()).info(
            "timed out reading a head"
        )
        with contextlib.suppress(OSError):  # caller disconnected; logged
            self.write_to_fd(memoryview(_closing_response(408)))
        self.close()

    def refuse_head(self) -> None:
        """Refuse the request whose head has arrived in part, and close."""
        with contextlib.suppress(OSError):  # caller disconnected
            self.write_to_fd(memoryview(_closing_response(503)))
        self.close()

    def _peer(self) -> str:
        try:
            ip, port = self.socket.getpeername()[:2]
        except OSError:  # already closed
            return ""
        return f"{ip}:{port}"


def _closing_response(status: int) -> bytes:
    """Return a complete response that closes the connection.

    It is small and nothing is queued before it, so the socket accepts it
    at once.
    """
    return (
        f"HTTP/1.1 {status} {responses[status]}\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n"
    ).encode()
