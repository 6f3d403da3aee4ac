"""Wait for the reader of the log to move on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Progress:
    """Wake tasks whenever something was folded."""

    def __init__(self) -> None:
        """Begin with nobody waiting."""
        self._moved = asyncio.Event()

    def notify(self) -> None:
        """Let every waiting task look again."""
        self._moved.set()
        self._moved = asyncio.Event()

    async def wait_until(
        self, reached: Callable[[], bool], timeout_s: float | None
    ) -> bool:
        """Wait until `reached`; return false after `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                while not reached():
                    await self._moved.wait()
        except TimeoutError:
            return False
        return True
