"""Tell an upstream that is unreachable from one that does not read.

The timeout of the kernel counts both as bytes that are not acknowledged.
"""

from __future__ import annotations

import asyncio
import socket
import struct

from tornado.iostream import IOStream

from balsamlift.clock import Clock
from balsamlift.relay._reaching import (
    SILENCE_TIMEOUT_S,
    set_acknowledgement_timeout,
)

# More may not fit into what the other system holds for a process that does not
# read.
MAX_HELD_BYTES = 32_768
CHECK_INTERVAL_S = 0.5
# The first fields of `struct tcp_info`: state, state of congestion, unanswered
# retransmissions, unanswered probes.
_TCP_INFO = struct.Struct("4B")


class DeliveryWatch:
    """Watches the delivery of one large request at a time."""

    def __init__(self, clock: Clock) -> None:
        """Watch nothing until `start`."""
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self._stream: IOStream | None = None

    def start(self, stream: IOStream) -> None:
        """Close `stream` once its other end is unreachable."""
        set_acknowledgement_timeout(stream.socket, 0)
        self._stream = stream
        self._task = asyncio.create_task(
            self._close_when_unreachable(stream, stream.socket)
        )

    def stop(self) -> None:
        """Leave an open stream to the timeout of the kernel again."""
        task, self._task = self._task, None
        stream, self._stream = self._stream, None
        if task is not None:
            task.cancel()
        if stream is not None and not stream.closed():
            set_acknowledgement_timeout(stream.socket, SILENCE_TIMEOUT_S)

    async def _close_when_unreachable(
        self, stream: IOStream, sock: socket.socket
    ) -> None:
        await wait_until_unreachable(sock, self._clock)
        stream.close((TimeoutError, TimeoutError("unreachable"), None))


async def wait_until_unreachable(sock: socket.socket, clock: Clock) -> None:
    """Return once the other end has acknowledged nothing it should for long.

    Unlike the timeout of the kernel, this tells it from one whose process does
    not read.
    """
    checks = 0
    while checks * CHECK_INTERVAL_S < SILENCE_TIMEOUT_S:
        await clock.sleep(CHECK_INTERVAL_S)
        checks = checks + 1 if _is_unacknowledged(sock) else 0


def _is_unacknowledged(sock: socket.socket) -> bool:
    """Return whether the other end does not answer what was sent again."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:  # closed, or not told by this system
        return False
    _, _, retransmissions, probes = _TCP_INFO.unpack(info)
    return bool(retransmissions or probes)
