"""When to try again after a failure."""

from __future__ import annotations

import random

# Of calls that others of ours make too: a tenth of a second is twice a usual
# answer, and a service that is down for minutes is asked every few seconds.
FIRST_MS = 100.0
MOST_MS = 5_000.0


class BackOff:
    """Grow a delay with each failure in a row, with jitter."""

    def __init__(
        self,
        rng: random.Random | None = None,
        first_ms: float = FIRST_MS,
        most_ms: float = MOST_MS,
    ) -> None:
        """Begin with no failure; the delay doubles from `first_ms` on."""
        self._rng = rng or random.Random()
        self._first_ms = first_ms
        self._most_ms = most_ms
        self._limit_ms = 0.0

    @property
    def limit_ms(self) -> int:
        """Return the longest delay that may come next; 0 when all is well."""
        return int(self._limit_ms)

    def failed(self, at_least_ms: float = 0.0) -> float:
        """Count a failure; return the delay in seconds before a new try."""
        doubled = max(self._first_ms, self._limit_ms * 2)
        self._limit_ms = min(doubled, self._most_ms)
        delay_ms = self._rng.uniform(0.5, 1.0) * self._limit_ms
        return max(delay_ms, at_least_ms) / 1_000

    def succeeded(self) -> None:
        """Forget the failures."""
        self._limit_ms = 0.0
