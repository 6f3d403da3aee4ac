"""The connection of a caller, which bounds the size and time of heads."""

from __future__ import annotations

import contextlib
import socket
from http.client import responses
from typing import Any

from loguru import logger
from tornado.iostream import IOStream, UnsatisfiableReadError

from balsamlift.clock import Clock
from balsamlift.relay._configuration import CallerLimits

log = logger.bind(part="callers")

# Heads up to here are read whole, so that the answer to one over its limit
# arrives; a connection that is closed with bytes unread may be reset first.
MOST_READ_HEAD_BYTES = 262_144
# Callers go by the limit too: a request that crosses the close costs its
# caller a second connection.
IDLE_MARGIN = 1.25


class CallerStream(IOStream):
    """Know since when the next head of a connection is awaited or read."""

    def __init__(self, connection: socket.socket, clock: Clock) -> None:
        """Await the first head."""
        super().__init__(connection)
        self._clock = clock
        self._idle_since_s: float | None = None
        self._head_since_s: float | None = None
        self.expect_head()

    def expect_head(self) -> None:
        """Note that the answer before has ended."""
        self._idle_since_s = self._clock.monotonic()
        self._head_since_s = None

    def end_head(self) -> None:
        """Note that a head was read whole."""
        self._idle_since_s = None
        self._head_since_s = None

    def end_if_late(self, limits: CallerLimits) -> None:
        """Close a connection that rests too long or sends too slowly."""
        now_s = self._clock.monotonic()
        if self._head_since_s is not None:
            if now_s - self._head_since_s > limits.head_timeout_ms / 1_000:
                self._refuse_slow()
        elif self._idle_since_s is not None:
            idle_ms = (now_s - self._idle_since_s) * 1_000
            if idle_ms > limits.idle_timeout_ms * IDLE_MARGIN:
                self.close()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and note when the first byte of a head arrives."""
        count = super().read_from_fd(buf)
        if count and self._idle_since_s is not None:
            self._idle_since_s = None
            self._head_since_s = self._clock.monotonic()
        return count

    def close(self, exc_info: Any = False) -> None:
        """Close; tell the caller of a head that is too large to be read."""
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            log.bind(status=431, peer=self._peer()).info("head too large")
            with contextlib.suppress(OSError):  # logged; the caller is gone
                self.write_to_fd(memoryview(_closing_answer(431)))
        super().close(exc_info)

    def _refuse_slow(self) -> None:
        log.bind(status=408, peer=self._peer()).info("head came too slowly")
        with contextlib.suppress(OSError):  # logged; the caller is gone
            self.write_to_fd(memoryview(_closing_answer(408)))
        self.close()

    def _peer(self) -> str:
        try:
            ip, port = self.socket.getpeername()[:2]
        except OSError:  # closed meanwhile
            return ""
        return f"{ip}:{port}"


def _closing_answer(status: int) -> bytes:
    """Return a whole answer, after which the connection ends.

    It is small and the first on its way, so that the socket takes it at once.
    """
    return (
        f"HTTP/1.1 {status} {responses[status]}\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n"
    ).encode()
