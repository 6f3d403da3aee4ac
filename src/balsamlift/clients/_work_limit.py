"""Limit the processor time of requests to one address."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from balsamlift.clock import Clock

# That may be used at once, without a wait.
BURST_US = 50_000.0
WAIT_INTERVAL_S = 0.01
# Within which a request has run that waits for nothing.
MEASURED_TURNS = 3
US_PER_S = 1_000_000


class WorkLimit:
    """A token bucket of processor time, in microseconds.

    One request begins after the other, as the time of the last is known.
    """

    def __init__(
        self,
        clock: Clock,
        max_us_per_s: float,
        read_processor_s: Callable[[], float] = time.thread_time,
    ) -> None:
        """Start with a full bucket.

        `read_processor_s` returns the time that the event loop has run for.
        """
        self._clock = clock
        self._read_processor_s = read_processor_s
        self._turn = asyncio.Lock()  # first come first served
        self._measuring: asyncio.Task[None] | None = None
        self._max_us_per_s = max_us_per_s
        self._left_us = BURST_US
        self._updated_s = clock.monotonic()

    async def wait(self) -> None:
        """Wait until no more was used than is allowed."""
        await self._turn.acquire()
        try:
            while self._refill() < 0:
                await self._clock.sleep(WAIT_INTERVAL_S)
        except BaseException:
            self._turn.release()
            raise
        self._measuring = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        """Charge the next turns of the event loop."""
        begun_s = self._read_processor_s()
        try:
            for _ in range(MEASURED_TURNS):
                await asyncio.sleep(0)
        finally:
            used_s = self._read_processor_s() - begun_s
            self._left_us -= used_s * US_PER_S
            self._turn.release()

    def _refill(self) -> float:
        now_s = self._clock.monotonic()
        earned_us = (now_s - self._updated_s) * self._max_us_per_s
        self._left_us = min(self._left_us + earned_us, BURST_US)
        self._updated_s = now_s
        return self._left_us
