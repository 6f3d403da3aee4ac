"""What a generation receives: chunks of a response, and signals."""

from __future__ import annotations

import asyncio
from typing import Literal

# Chunks of up to 4 KB buffered for a caller who does not read.
MAX_BUFFERED_CHUNKS = 8

Signal = Literal["whole", "broken", "leaving", "unreached"]


class Inbox:
    """Holds chunks and signals in order, and few chunks at once."""

    def __init__(self) -> None:
        """Start empty."""
        self._items: asyncio.Queue[bytes | Signal] = asyncio.Queue()
        self._chunk_slots = asyncio.Semaphore(MAX_BUFFERED_CHUNKS)

    @property
    def is_empty(self) -> bool:
        """Return whether nothing waits to be handled."""
        return self._items.empty()

    async def put_chunk(self, chunk: bytes) -> None:
        """Append a chunk; wait while there are too many."""
        await self._chunk_slots.acquire()
        self._items.put_nowait(chunk)

    def signal(self, signal: Signal) -> None:
        """Append a signal."""
        self._items.put_nowait(signal)

    async def get(self) -> bytes | Signal:
        """Return the next item as soon as there is one."""
        item = await self._items.get()
        if isinstance(item, bytes):
            self._chunk_slots.release()
        return item
