"""Tell when this process stood still, be it stopped, starved or stuck.

What upstreams sent meanwhile has not been read: their silence says nothing.
"""

from __future__ import annotations

import math
from collections import deque

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics

log = logger.bind(part="relay")

TICK_INTERVAL_S = 0.1
# A tick that comes so long after the one before it shows a stall.
STALL_S = 0.2
# On starved hosts nearly each tick is late, and silences may last for long.
MAX_STALLS = 100


@attrs.frozen
class _Stall:
    """A time without a turn, from when a tick was due."""

    began_s: float
    ended_s: float

    @property
    def duration_s(self) -> float:
        return self.ended_s - self.began_s

    def duration_since_s(self, since_s: float) -> float:
        return max(self.ended_s - max(self.began_s, since_s), 0.0)


class StallWatch:
    """Measure by a timer for how long the event loop made no turn."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Know of no stall until `run` is awaited."""
        self._clock = clock
        self._metrics = metrics
        self._ticked_s = math.inf
        self._stalls: deque[_Stall] = deque(maxlen=MAX_STALLS)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK_INTERVAL_S)

    def went_on_s(self) -> float:
        """Return when the process last went on after a stall."""
        stall = self._last()
        return -math.inf if stall is None else stall.ended_s

    def is_just_over(self) -> bool:
        """Return whether what came during a stall may not be read yet.

        The longer it was, the more has come.
        """
        stall = self._last()
        if stall is None:
            return False
        grace_s = min(stall.duration_s, STALL_S)
        return self._clock.monotonic() - stall.ended_s < grace_s

    def awake_s(self, since_s: float) -> float:
        """Return for how long of the time since then there was no stall."""
        total_s = self._clock.monotonic() - since_s
        current = self._current()
        if current is not None:
            total_s -= current.duration_since_s(since_s)
        for stall in reversed(self._stalls):
            if stall.ended_s <= since_s:
                break
            total_s -= stall.duration_since_s(since_s)
        return total_s

    def tick(self) -> None:
        """Record a turn of the event loop."""
        stall = self._current()
        self._ticked_s = self._clock.monotonic()
        if stall is None:
            return
        self._stalls.append(stall)
        self._metrics.count("relay.stalls")
        log.bind(stall_ms=round(stall.duration_s * 1_000)).info("stood still")

    def _last(self) -> _Stall | None:
        return self._current() or (self._stalls[-1] if self._stalls else None)

    def _current(self) -> _Stall | None:
        """Return the stall that the tick which is due will show."""
        now_s = self._clock.monotonic()
        if now_s - self._ticked_s < STALL_S:
            return None
        return _Stall(self._ticked_s + TICK_INTERVAL_S, now_s)
