"""The signal that asks a process to stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterable
from types import FrameType

from balsamlift.clock import Clock


class StopSignal:
    """Wait for a signal to stop, and keep the time at which it came.

    The handler runs between two instructions of whatever runs, so that the
    time is right also if the event loop is late.
    """

    def __init__(self, clock: Clock) -> None:
        """Create it within the event loop; `install` sets the handlers."""
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._event = asyncio.Event()
        self._received_s: float | None = None

    def install(self, numbers: Iterable[signal.Signals]) -> None:
        """Handle these signals; only the main thread can."""
        for number in numbers:
            signal.signal(number, self._receive)

    async def wait(self) -> None:
        """Wait until a signal has come."""
        await self._event.wait()

    def left_s(self, period_s: float) -> float:
        """Return what is left of a period that began with the signal."""
        if self._received_s is None:
            return period_s
        passed_s = self._clock.monotonic() - self._received_s
        return max(period_s - passed_s, 0.0)

    def _receive(self, number: int, frame: FrameType | None) -> None:
        del number, frame
        if self._received_s is not None:
            return
        self._received_s = self._clock.monotonic()
        self._loop.call_soon_threadsafe(self._event.set)
