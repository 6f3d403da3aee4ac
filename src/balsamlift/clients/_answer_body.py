"""Bodies of answers that are held until they are whole."""

from __future__ import annotations

from balsamlift.clients._errors import BodyLimitError
from balsamlift.clients._memory import Holding


class AnswerBody:
    """The body of an answer, in the memory of the client it is for."""

    def __init__(self, holding: Holding | None, max_bytes: int) -> None:
        """Start empty; None counts nothing."""
        self._holding = holding
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._counted_bytes = 0

    async def reserve(self, length: int) -> None:
        """Wait until there is memory for a body of that length."""
        count = min(length, self._max_bytes)
        if self._holding is not None:
            await self._holding.wait_and_take(count)
            self._counted_bytes = count

    def append(self, chunk: bytes) -> None:
        """Append bytes.

        Raises `BodyLimitError` and `ClientMemoryError`.
        """
        size = len(self._data) + len(chunk)
        if size > self._max_bytes:
            raise BodyLimitError("body too long")
        missing = size - self._counted_bytes
        if self._holding is not None and missing > 0:
            self._holding.take(missing)
            self._counted_bytes = size
        self._data += chunk

    def keep(self) -> bytearray:
        """Return the body, which counts until its client's next request."""
        self._count(len(self._data))
        self._counted_bytes = 0
        return self._data

    def release(self) -> None:
        """Count no more what was not kept."""
        self._count(0)

    def _count(self, size: int) -> None:
        if self._holding is not None:
            self._holding.add(size - self._counted_bytes)
        self._counted_bytes = size
