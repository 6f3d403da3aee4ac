"""Collect a streamed answer, detect stalls and abort the transfer."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any

import attrs
import pycurl

from balsamlift.clock import Clock

# Below the rate of any link between a host and the store. Guards against an
# answer that trickles in without ever exceeding the silence limit.
MIN_BYTES_PER_S = 20_000.0


@attrs.frozen(kw_only=True)
class StallLimits:
    """Define when an answer of unbounded size counts as stalled."""

    first_byte_ms: int  # from the call to the first byte of the body
    silence_ms: int  # between two chunks of the body
    min_bytes_per_s: float = MIN_BYTES_PER_S  # after the first `silence_ms`


class StreamedBody:
    """Hold the chunks of a body and the time at which it counts as stalled."""

    def __init__(self, limits: StallLimits, clock: Clock) -> None:
        """Start the timeout for the first byte."""
        self._limits = limits
        self._clock = clock
        self._chunks: list[bytes] = []
        self._size = 0
        self._first_byte_s: float | None = None
        self.deadline_s = clock.monotonic() + limits.first_byte_ms / 1_000

    @property
    def size(self) -> int:
        """Return the number of bytes received."""
        return self._size

    def append(self, chunk: bytes) -> None:
        """Add a received chunk and extend the deadline."""
        now_s = self._clock.monotonic()
        if self._first_byte_s is None:
            self._first_byte_s = now_s
        self._chunks.append(chunk)
        self._size += len(chunk)
        silence_s = self._limits.silence_ms / 1_000
        transfer_s = self._size / self._limits.min_bytes_per_s
        rate_deadline_s = self._first_byte_s + silence_s + transfer_s
        self.deadline_s = min(now_s + silence_s, rate_deadline_s)

    def join(self) -> bytes:
        """Return the bytes received."""
        return b"".join(self._chunks)


class Transfer:
    """Hold the curl handle of a call, so that the call can be aborted."""

    def __init__(self) -> None:
        """Start without a handle: the call may still be queued."""
        self._curl: Any = None

    def attach(self, curl: Any) -> None:
        """Set the curl handle that makes the call."""
        self._curl = curl

    def abort(self) -> None:
        """Shut the connection down, so that curl ends the call at once."""
        if self._curl is None:
            return
        with suppress(OSError, pycurl.error):
            descriptor = self._curl.getinfo(pycurl.ACTIVESOCKET)
            if descriptor < 0:
                return
            connection = socket.socket(
                socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor
            )
            try:
                connection.shutdown(socket.SHUT_RDWR)
            finally:
                connection.detach()  # curl owns and closes the descriptor
