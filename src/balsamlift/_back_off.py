"""Exponential backoff with jitter for retries."""

from __future__ import annotations

import random

# Defaults for calls that other hosts make as well. A tenth of a second is
# twice a usual response time; a service that is down for minutes is called
# every few seconds.
FIRST_MS = 100.0
MOST_MS = 5_000.0


class BackOff:
    """Compute a delay that doubles with each failure in a row, with jitter."""

    def __init__(
        self,
        rng: random.Random | None = None,
        first_ms: float = FIRST_MS,
        most_ms: float = MOST_MS,
    ) -> None:
        """Start without failures; delays grow from `first_ms` to `most_ms`."""
        self._rng = rng or random.Random()
        self._first_ms = first_ms
        self._most_ms = most_ms
        self._limit_ms = 0.0

    @property
    def limit_ms(self) -> int:
        """Return the current bound of the delay; 0 after a success."""
        return int(self._limit_ms)

    def failed(self, at_least_ms: float = 0.0) -> float:
        """Count a failure and return the delay in s before the next attempt.

        The delay is at least `at_least_ms`.
        """
        doubled = max(self._first_ms, self._limit_ms * 2)
        self._limit_ms = min(doubled, self._most_ms)
        delay_ms = self._rng.uniform(0.5, 1.0) * self._limit_ms
        return max(delay_ms, at_least_ms) / 1_000

    def succeeded(self) -> None:
        """Reset the delay after a success."""
        self._limit_ms = 0.0
