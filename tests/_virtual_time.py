"""Event loop that advances its time at once when all tasks wait."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta


class _SkippingSelector(selectors.SelectSelector):
    """Count the time to the next timer as passed instead of waiting.

    I/O is waited for `io_wait_s` of real time. Between sockets of one process
    it needs next to none; without such sockets it may be 0.
    """

    def __init__(self, io_wait_s: float) -> None:
        super().__init__()
        self.skipped_s = 0.0
        self._io_wait_s = io_wait_s

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        wait_s = self._io_wait_s if timeout is None or timeout > 0 else 0.0
        ready = super().select(wait_s)
        if not ready and timeout:
            self.skipped_s += timeout
        return ready


class _SkippingLoop(asyncio.SelectorEventLoop):
    def __init__(self, io_wait_s: float = 0.0) -> None:
        self._skipping = _SkippingSelector(io_wait_s)
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


def run_virtual(
    test: Callable[[], Awaitable[None]], io_wait_s: float = 0.0
) -> None:
    """Run a test without waiting for real time to pass.

    A test with sockets, all in this process, needs an `io_wait_s`.
    """

    async def main() -> None:
        await test()

    def make_loop() -> asyncio.AbstractEventLoop:
        return _SkippingLoop(io_wait_s)

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(main())
