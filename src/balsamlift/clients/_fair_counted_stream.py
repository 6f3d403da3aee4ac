"""Streams of clients that leave others their turns."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.iostream import StreamClosedError

from balsamlift._fair_stream import FairStream, ReadQueue
from balsamlift.clients._errors import ClientMemoryError
from balsamlift.clients._memory import ClientMemory
from balsamlift.clients._stream import CountedStream

REQUEST_US = 500.0  # an estimate of processor time


class FairCountedStream(CountedStream, FairStream):
    """A stream that leaves others their turns, however much it asks.

    `free_request` frees what is kept of the request that is being read; it is
    called on close.
    """

    free_request: Callable[[], object] | None = None

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write an answer, which counts until its client has read it.

        Raises `StreamClosedError` if there is no memory for it.
        """
        if not self.holding.make_room(len(data)):
            self.close()
            raise StreamClosedError
        self.holding.add(len(data))
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        """Write, and count no more what was written."""
        count = super().write_to_fd(data)
        self.holding.add(-count)
        return count

    def close(self, exc_info: Any = False) -> None:
        """Close the stream, and free what is kept of its request."""
        free_request, self.free_request = self.free_request, None
        if free_request is not None:
            free_request()
        super().close(exc_info)

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Return the bytes up to a match, for the work that they cause."""
        self.charge(REQUEST_US)
        return super().read_until_regex(regex, max_bytes)


def open_stream(
    connection: socket.socket,
    memory: ClientMemory,
    listener: str,
    read_queue: ReadQueue,
    max_buffer_bytes: int,
    quantum_us: float = 0.0,
) -> FairCountedStream | None:
    """Return the stream of a new connection, or close it and return None.

    `listener` is the name of the address that it came to.
    """
    try:
        holding = memory.open(listener)
    except ClientMemoryError:
        connection.close()
        return None
    stream = FairCountedStream(
        connection, read_queue, memory.clock, max_buffer_bytes, quantum_us
    )
    stream.holding = holding
    holding.attach(stream)
    return stream
