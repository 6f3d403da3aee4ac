"""Streams that share the event loop, whatever their other end sends.

A read that finds its bytes in the buffer returns at once. A loop around such
reads would never end its turn of the event loop while bytes arrive, so that no
other connection is served and no timeout fires.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream

from balsamlift.clock import Clock

# Estimates of processor time.
READ_US = 15.0
BYTE_US = 0.004
# The token bucket of one stream.
BURST_US = 1_000.0
REFILL_US_PER_S = 5_000.0
MAX_DEFICIT_US = 20_000.0
# Of the streams that wait, so many go on in a turn of the event loop.
STREAMS_PER_TURN = 2
READ_CHUNK_BYTES = 16_384


class ReadQueue:
    """Queue streams over their budgets; a few go on per turn of the loop."""

    def __init__(self) -> None:
        """Start with no stream that waits."""
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Wait for a turn, in the order of arrival."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._release)
        await turn

    def _release(self) -> None:
        released = 0
        while self._waiting and released < STREAMS_PER_TURN:
            turn = self._waiting.popleft()
            if not turn.done():  # else the reader was cancelled
                turn.set_result(None)
                released += 1
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._release)


class WorkBudget:
    """Limit the estimated processor time of one stream by a token bucket."""

    def __init__(self, clock: Clock) -> None:
        """Start with a full bucket."""
        self._clock = clock
        self._left_us = BURST_US
        self._updated_s = clock.monotonic()

    def charge(self, work_us: float) -> None:
        """Charge work, in microseconds."""
        now_s = self._clock.monotonic()
        refill_us = (now_s - self._updated_s) * REFILL_US_PER_S
        self._updated_s = now_s
        left_us = min(self._left_us + refill_us, BURST_US) - work_us
        self._left_us = max(left_us, -MAX_DEFICIT_US)

    @property
    def is_spent(self) -> bool:
        """Return whether more was used than was refilled."""
        return self._left_us < 0


class FairStream(IOStream):
    """A stream whose reads wait for others once its budget is spent."""

    def __init__(
        self,
        connection: socket.socket,
        read_queue: ReadQueue,
        clock: Clock,
        max_buffer_size: int | None = None,
        quantum_us: float = 0.0,
    ) -> None:
        """Wait in `read_queue`, which streams share.

        After each wait, reads of `quantum_us` go on; at least one does.
        """
        self._read_queue = read_queue
        self._budget = WorkBudget(clock)
        self._quantum_us = quantum_us
        self._turn_us = 0.0  # left of its turn
        self.on_bytes: Callable[[], None] | None = None
        super().__init__(
            connection,
            max_buffer_size=max_buffer_size,
            read_chunk_size=READ_CHUNK_BYTES,
        )

    def charge(self, work_us: float) -> None:
        """Charge work that its bytes have caused, in microseconds."""
        self._budget.charge(work_us)
        self._turn_us -= work_us

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes were received and not read yet."""
        return self._read_buffer_size

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, charge the bytes and call `on_bytes`."""
        count = super().read_from_fd(buf)
        if count:
            self.charge(count * BYTE_US)
            if self.on_bytes is not None:
                self.on_bytes()
        return count

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Return the bytes up to a delimiter."""
        return self._in_turn(super().read_until(delimiter, max_bytes))

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Return the bytes up to a match."""
        return self._in_turn(super().read_until_regex(regex, max_bytes))

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> Awaitable[bytes]:
        """Return that many bytes, or some of them."""
        return self._in_turn(super().read_bytes(num_bytes, partial))

    def _in_turn(self, read: Awaitable[bytes]) -> Awaitable[bytes]:
        self.charge(READ_US)
        if not self._budget.is_spent or self._turn_us > 0:
            return read
        return self._wait_and_read(read)

    async def _wait_and_read(self, read: Awaitable[bytes]) -> bytes:
        try:
            data = await read
        finally:
            del read  # its error would refer to itself by this frame
        await self._read_queue.wait()
        self._turn_us = self._quantum_us
        return data
