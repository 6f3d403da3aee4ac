"""An adaptive timeout for calls to the log."""

from __future__ import annotations

# Limit relative to the timeout in the settings. Peers are asked only between
# two reads, so with a longer timeout a host that cannot reach the log would
# fall behind.
MAX_GROWTH = 2


class AdaptiveTimeout:
    """Adapt the timeout of a call; it is longer while answers come late.

    With a fixed timeout, a log that responds more slowly than that would be
    unavailable for as long as it is slow.
    """

    def __init__(self, min_ms: int) -> None:
        """Start with the minimum timeout."""
        self.timeout_ms = min_ms
        self.last_call_failed = False
        self._min_ms = min_ms

    def record_failure(self) -> None:
        """Double the timeout, up to the maximum, after an unanswered call."""
        self.last_call_failed = True
        max_ms = self._min_ms * MAX_GROWTH
        self.timeout_ms = min(self.timeout_ms * 2, max_ms)

    def record_answer(self, took_ms: int) -> None:
        """Reset the timeout after an answer within the minimum timeout.

        Slower answers leave it unchanged.
        """
        self.last_call_failed = False
        if took_ms < self._min_ms:
            self.timeout_ms = self._min_ms
