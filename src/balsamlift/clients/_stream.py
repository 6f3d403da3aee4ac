"""Streams of clients whose memory is counted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any

from tornado.iostream import IOStream

from balsamlift.clients._memory import Holding


class CountedStream(IOStream):
    """A stream that counts what it holds, and reads no more than it may.

    `holding` is set before its first read.
    """

    holding: Holding
    is_ending = False  # its request was refused; the rest is dropped

    @property
    def is_sending(self) -> bool:
        """Return whether its client has not read all that was written."""
        return not self.closed() and self.writing()

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes were received and not read yet."""
        return self._read_buffer_size

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read and count, or evict this client if there is no memory."""
        if self.is_ending:
            count = super().read_from_fd(buf)
            return None if count else count  # dropped, or the end
        if not self.holding.make_room(len(buf)):
            asyncio.get_running_loop().call_soon(self.evict)
            return None
        count = super().read_from_fd(buf)
        if count:
            self.holding.record_move(count)
            self.holding.add(count)
        return count

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Return the bytes up to a match.

        Raises `StreamClosedError` where the client has left, also if it had
        sent more requests before.
        """
        self._check_closed()
        return super().read_until_regex(regex, max_bytes)

    def write_to_fd(self, data: memoryview) -> int:
        """Write, and record that the client reads."""
        count = super().write_to_fd(data)
        self.holding.record_move(count)
        return count

    def expect_request(self) -> None:
        """Count the next request anew."""
        self.holding.reset(self.unread_bytes)

    def end(self) -> None:
        """Drop the rest of a request that was refused."""
        self.is_ending = True
        self.holding.reset()

    def evict(self) -> None:
        """Close, as others need the memory."""
        self.close()

    def close(self, exc_info: Any = False) -> None:
        """Close the stream, and count it no more."""
        super().close(exc_info)
        # Errors of reads refer to the stream until a garbage collection.
        self._read_buffer = bytearray()
        self._read_buffer_size = 0
        self.holding.close()
