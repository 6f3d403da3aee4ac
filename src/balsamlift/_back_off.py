"""Exponential backoff with jitter for retries."""

from __future__ import annotations

import random

# Defaults for calls that other hosts make as well. A tenth of a second is
# twice a usual response time; a service that is down for minutes is called
# every few seconds.
INITIAL_MS = 100.0
MAX_MS = 5_000.0


class BackOff:
    """Compute a delay that doubles with each failure in a row, with jitter."""

    def __init__(
        self,
        rng: random.Random | None = None,
        initial_ms: float = INITIAL_MS,
        max_ms: float = MAX_MS,
    ) -> None:
        """Start without failures; delays grow from `initial_ms` on."""
        self._rng = rng or random.Random()
        self._initial_ms = initial_ms
        self._max_ms = max_ms
        self._limit_ms = 0.0

    @property
    def limit_ms(self) -> int:
        """Return the current bound of the delay; 0 after a success."""
        return int(self._limit_ms)

    def failed(self, min_ms: float = 0.0) -> float:
        """Count a failure and return the delay in s before the next attempt.

        The delay is at least `min_ms`.
        """
        doubled = max(self._initial_ms, self._limit_ms * 2)
        self._limit_ms = min(doubled, self._max_ms)
        delay_ms = self._rng.uniform(0.5, 1.0) * self._limit_ms
        return max(delay_ms, min_ms) / 1_000

    def succeeded(self) -> None:
        """Reset the delay after a success."""
        self._limit_ms = 0.0
