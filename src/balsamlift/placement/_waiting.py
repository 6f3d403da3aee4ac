"""Work out how long the queue takes, from what was observed."""

from __future__ import annotations

from math import exp

MEMORY_MS = 5_000.0  # time over which the rate is averaged
RETRY_LEAST_MS = 50
RETRY_MOST_MS = 60_000


class ServiceRate:
    """Measure the tokens admitted per millisecond while a queue stands."""

    def __init__(self) -> None:
        """Begin with nothing measured."""
        self._tokens = 0.0
        self._time_ms = 0.0
        self._last_ms: float | None = None

    def tick(self, now_ms: float, backlog: bool) -> None:
        """Let time pass; it counts only with a backlog."""
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None or not backlog or now_ms <= last_ms:
            return
        passed_ms = now_ms - last_ms
        keep = exp(-passed_ms / MEMORY_MS)
        self._tokens *= keep
        self._time_ms = self._time_ms * keep + passed_ms

    def admitted(self, tokens: float) -> None:
        """Count what was admitted from the queue."""
        self._tokens += tokens

    def wait_ms(self, tokens: float) -> float:
        """Return how long `tokens` take; 0 while nothing is known."""
        if self._time_ms < MEMORY_MS / 10:
            return 0.0
        rate = max(self._tokens / self._time_ms, 1e-3)
        return tokens / rate


def retry_after_ms(wait_ms: float, bound_ms: float, own_ms: float) -> int:
    """Return when a fresh try would find the wait within its bound.

    `own_ms` is the time that the request itself takes from the queue.
    """
    over_ms = max(wait_ms - bound_ms, own_ms)
    return int(min(max(over_ms, RETRY_LEAST_MS), RETRY_MOST_MS))
