"""The rates that the platform keeps to."""

from __future__ import annotations

from balsamlift.clock import Clock

_BURST_S = 0.25  # appends saved up while nobody appends
_WEIGHT_QUEUE = 2  # loads that may wait before 429


class AppendBucket:
    """Limit appends per second; a short burst is allowed."""

    def __init__(self, clock: Clock, rate_per_s: float) -> None:
        """Begin full."""
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._capacity = 1 + rate_per_s * _BURST_S
        self._level = self._capacity
        self._at = clock.monotonic()

    def take(self) -> int:
        """Take one append; return 0, or the ms to come back after."""
        now = self._clock.monotonic()
        gained = (now - self._at) * self._rate_per_s
        self._level = min(self._capacity, self._level + gained)
        self._at = now
        if self._level >= 1:
            self._level -= 1
            return 0
        return 1 + int((1 - self._level) / self._rate_per_s * 1_000)


class WeightQueue:
    """Give out one load of weights after the other."""

    def __init__(self, clock: Clock, rate_per_s: float) -> None:
        """Begin free."""
        self._clock = clock
        self._load_s = 1 / rate_per_s
        self._free_at = 0.0

    def reserve(self) -> float | None:
        """Return the seconds that a load takes; none when too many wait."""
        now = self._clock.monotonic()
        start = max(now, self._free_at)
        if start - now > _WEIGHT_QUEUE * self._load_s:
            return None
        self._free_at = start + self._load_s
        return self._free_at - now

    @property
    def retry_after_ms(self) -> int:
        """Return when a load can be asked for again."""
        wait_s = self._free_at - self._clock.monotonic()
        return 1 + int(max(0.0, wait_s) * 1_000)
