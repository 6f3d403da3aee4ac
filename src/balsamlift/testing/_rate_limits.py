"""Rate limits of the platform stand-in."""

from __future__ import annotations

from balsamlift.clock import Clock

_BURST_S = 0.25  # the bucket saves up this many seconds of appends
_MAX_WAITING_LOADS = 2  # loads that may wait before the answer is 429


class AppendLimiter:
    """Limit appends per second with a token bucket."""

    def __init__(self, clock: Clock, rate_per_s: float) -> None:
        """Start with a full bucket."""
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._capacity = 1 + rate_per_s * _BURST_S
        self._level = self._capacity
        self._updated_at = clock.monotonic()

    def take(self) -> int:
        """Take one token; return 0, or the milliseconds to retry after."""
        now = self._clock.monotonic()
        refilled = (now - self._updated_at) * self._rate_per_s
        self._level = min(self._capacity, self._level + refilled)
        self._updated_at = now
        if self._level >= 1:
            self._level -= 1
            return 0
        return 1 + int((1 - self._level) / self._rate_per_s * 1_000)


class WeightQueue:
    """Serve weight loads one after the other, with a bounded queue."""

    def __init__(self, clock: Clock, rate_per_s: float) -> None:
        """Start without a load in progress."""
        self._clock = clock
        self._load_s = 1 / rate_per_s
        self._free_at = 0.0

    def reserve(self) -> float | None:
        """Return the seconds until a load is done; none if the queue is full.

        The queue is full if this load would have to wait for longer than
        `_MAX_WAITING_LOADS` loads take.
        """
        now = self._clock.monotonic()
        start = max(now, self._free_at)
        if start - now > _MAX_WAITING_LOADS * self._load_s:
            return None
        self._free_at = start + self._load_s
        return self._free_at - now

    @property
    def retry_after_ms(self) -> int:
        """Return the milliseconds until all queued loads are done."""
        wait_s = self._free_at - self._clock.monotonic()
        return 1 + int(max(0.0, wait_s) * 1_000)
