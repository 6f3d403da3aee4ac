"""Memory for bodies that are held until they are whole."""

from __future__ import annotations

import math

# Of all bodies that one component holds.
MAX_HELD_BYTES = 33_554_432


class BodyMemoryError(Exception):
    """Raised when a body is larger than there is memory for."""


class BodyMemory:
    """Limit the memory of many bodies together.

    While they need more than the limit, none may have more than its equal
    share, so that large ones give way and small ones never do.
    """

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        """Start with no body."""
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._bodies = 0

    def open(self, max_bytes: float = math.inf) -> HeldBody:
        """Return an empty body that may grow up to `max_bytes`."""
        return HeldBody(self, max_bytes)

    def add(self, size: int, count: int) -> None:
        """Count `count` bytes more, for a body that has `size` with them.

        Raises `BodyMemoryError`.
        """
        self._bodies += 0 < count == size  # its first bytes
        self._held_bytes += count
        is_short = self._held_bytes > self._limit_bytes
        if is_short and size > self._limit_bytes / self._bodies:
            raise BodyMemoryError

    def remove(self, size: int) -> None:
        """Stop counting a body of that size."""
        self._held_bytes -= size
        self._bodies -= size > 0


class HeldBody:
    """The bytes of one body, which count until `release`."""

    def __init__(self, memory: BodyMemory, max_bytes: float) -> None:
        """Start empty."""
        self._memory: BodyMemory | None = memory
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._size

    def append(self, chunk: bytes) -> None:
        """Append bytes; raise `BodyMemoryError` beyond a limit."""
        self._data += chunk
        self._size += len(chunk)
        if self._memory is not None:
            self._memory.add(self._size, len(chunk))
        if self._size > self._max_bytes:
            raise BodyMemoryError

    def join(self) -> bytes:
        """Return the bytes, which are not held twice."""
        data = bytes(self._data)
        self._data.clear()
        return data

    def release(self) -> None:
        """Stop counting it, and drop the bytes that were not joined."""
        memory, self._memory = self._memory, None
        if memory is not None:
            memory.remove(self._size)
        self._data.clear()
