"""When to try again, and how long to wait for an answer."""

from __future__ import annotations

import random

BACK_OFF_FIRST_MS = 100.0
BACK_OFF_LAST_MS = 5_000.0
# At most, of the bound in the settings: peers are asked only between two
# reads, so a longer one would keep a host that is cut off from following.
SILENCE_GROWTH = 2


class BackOff:
    """Grow a delay with each failure in a row, with jitter."""

    def __init__(self, rng: random.Random | None = None) -> None:
        """Begin with no failure."""
        self._rng = rng or random.Random()
        self._limit_ms = 0.0

    @property
    def limit_ms(self) -> int:
        """Return the longest delay that may come next; 0 when all is well."""
        return int(self._limit_ms)

    def failed(self, at_least_ms: float = 0.0) -> float:
        """Count a failure; return the delay in seconds before a new try."""
        doubled = max(BACK_OFF_FIRST_MS, self._limit_ms * 2)
        self._limit_ms = min(doubled, BACK_OFF_LAST_MS)
        delay_ms = self._rng.uniform(0.5, 1.0) * self._limit_ms
        return max(delay_ms, at_least_ms) / 1_000

    def succeeded(self) -> None:
        """Forget the failures."""
        self._limit_ms = 0.0


class SilenceBound:
    """Bound the silence of a call; longer while answers come late.

    With a fixed bound, a log that is slower than it would be as good as
    down for as long as it is slow.
    """

    def __init__(self, least_ms: int) -> None:
        """Begin at the least bound."""
        self.bound_ms = least_ms
        self.was_reached = False  # by the last call
        self._least_ms = least_ms

    def reached(self) -> None:
        """Note a call without an answer."""
        self.was_reached = True
        most_ms = self._least_ms * SILENCE_GROWTH
        self.bound_ms = min(self.bound_ms * 2, most_ms)

    def answered(self, took_ms: int) -> None:
        """Note an answer; keep the bound while they are that late."""
        self.was_reached = False
        if took_ms < self._least_ms:
            self.bound_ms = self._least_ms
