"""Estimate queue waits from the observed rate of admission."""

from __future__ import annotations

from math import exp

AVERAGING_MS = 5_000.0  # time constant of the moving average
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 60_000
# Upper bound of Retry-After, as a fraction of the caller's remaining time.
RETRY_AFTER_FRACTION = 0.3


class ServiceRate:
    """Measure the tokens admitted per millisecond while there is a backlog."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._tokens = 0.0
        self._time_ms = 0.0
        self._last_ms: float | None = None

    def advance(self, now_ms: float, backlog: bool) -> None:
        """Advance to `now_ms`; the time counts only with a backlog."""
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None or not backlog or now_ms <= last_ms:
            return
        elapsed_ms = now_ms - last_ms
        decay = exp(-elapsed_ms / AVERAGING_MS)
        self._tokens *= decay
        self._time_ms = self._time_ms * decay + elapsed_ms

    def record_admitted(self, tokens: float) -> None:
        """Record tokens admitted from the queue."""
        self._tokens += tokens

    def wait_ms(self, tokens: float) -> float:
        """Return the wait for `tokens` to be admitted; 0 while unknown."""
        if self._time_ms < AVERAGING_MS / 10:
            return 0.0
        rate = max(self._tokens / self._time_ms, 1e-3)
        return tokens / rate


def retry_after_ms(
    wait_ms: float, max_wait_ms: float, service_time_ms: float
) -> int:
    """Return after which time a retry would find the wait acceptable.

    It is at least `service_time_ms`, the time that admitting the request
    itself takes.
    """
    excess_ms = max(wait_ms - max_wait_ms, service_time_ms)
    return int(min(max(excess_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))


def limit_retry_ms(wait_ms: float, remaining_ms: float) -> int:
    """Return a wait that leaves the caller time for another attempt."""
    return int(min(wait_ms, max(remaining_ms, 0.0) * RETRY_AFTER_FRACTION))


def spread_retry_ms(
    earliest_ms: float, latest_ms: float, remaining_ms: float, fraction: float
) -> int:
    """Return the time at `fraction` between two, within the caller's time.

    Callers whose time is too short return within the second half of the time
    that they can wait.
    """
    last_ms = limit_retry_ms(latest_ms, remaining_ms)
    first_ms = min(earliest_ms, last_ms / 2)
    return int(first_ms + (last_ms - first_ms) * fraction)
