"""Wait for changes of the state that is read from the log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class ChangeNotifier:
    """Wake waiting tasks whenever log entries were folded."""

    def __init__(self) -> None:
        """Start with no task waiting."""
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Make every waiting task check its predicate again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_until(
        self, predicate: Callable[[], bool], timeout_s: float | None
    ) -> bool:
        """Wait until `predicate` holds; return False on timeout.

        With `timeout_s` None there is no timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not predicate():
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
