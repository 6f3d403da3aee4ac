"""Bound retries by a share of the requests."""

from __future__ import annotations

BURST = 10.0


class RetryBudget:
    """Earn a part of a retry with each request, spend one with each retry."""

    def __init__(self) -> None:
        """Begin with a full burst."""
        self._left = BURST

    def earn(self, ratio: float) -> None:
        """Add what one request earns."""
        self._left = min(self._left + ratio, BURST)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
