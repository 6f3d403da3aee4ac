"""Tell when this process stood still, be it stopped, starved or stuck.

What upstreams sent meanwhile has not been read: their silence says nothing.
"""

from __future__ import annotations

import math

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics

log = logger.bind(part="relay")

TICK_INTERVAL_S = 0.1
# A tick that comes so long after the one before it shows a stall.
STALL_S = 0.2


class StallWatch:
    """Measure by a timer for how long the event loop made no turn."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Know of no stall until `run` is awaited."""
        self._clock = clock
        self._metrics = metrics
        self._ticked_s = math.inf
        self._went_on_s = -math.inf

    async def run(self) -> None:
        """Watch until cancelled."""
        self._ticked_s = self._clock.monotonic()
        while True:
            await self._clock.sleep(TICK_INTERVAL_S)
            self._tick()

    def went_on_s(self) -> float:
        """Return when the process last went on after a stall."""
        now_s = self._clock.monotonic()
        if now_s - self._ticked_s >= STALL_S:  # before the tick that is due
            self._went_on_s = now_s
        return self._went_on_s

    def is_just_over(self) -> bool:
        """Return whether what came during a stall may not be read yet."""
        return self._clock.monotonic() - self.went_on_s() < STALL_S

    def _tick(self) -> None:
        now_s = self._clock.monotonic()
        since_s = now_s - self._ticked_s
        self._ticked_s = now_s
        if since_s < STALL_S:
            return
        self._went_on_s = now_s
        self._metrics.count("relay.stalls")
        log.bind(stall_ms=round(since_s * 1_000)).info("stood still")
