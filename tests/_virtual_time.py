"""Event loop that advances its time at once when all tasks wait."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta


class _SkippingSelector(selectors.SelectSelector):
    """Count the time to the next timer as passed instead of waiting.

    I/O is polled but never waited for, so tests may depend on timers only.
    """

    skipped_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout:
            self.skipped_s += timeout
        return ready


class _SkippingLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        return self._skipping.skipped_s


class LoopClock:
    """Clock that returns the time of the running loop."""

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(
            seconds=self.monotonic()
        )

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    async def sleep(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)


def run_virtual(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test without waiting for real time to pass."""

    async def main() -> None:
        await test()

    with asyncio.Runner(loop_factory=_SkippingLoop) as runner:
        runner.run(main())
