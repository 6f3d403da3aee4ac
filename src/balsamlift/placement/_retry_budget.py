"""Limit retries to a fraction of the requests admitted."""

from __future__ import annotations

BURST = 10.0


class RetryBudget:
    """Token bucket that each request fills and each retry draws on."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self._left = BURST

    def earn(self, ratio: float) -> None:
        """Add the fraction of a retry that one request earns."""
        self._left = min(self._left + ratio, BURST)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
