"""Time after an outage of the list for which no upstream is removed."""

from __future__ import annotations

import math
from collections.abc import Callable

from balsamlift.clock import Clock

# The platform guarantees that live upstreams whose entries expired while the
# list was down write them again within two seconds of its return.
REMOVAL_GRACE_S = 2.0
# Left of the contact time for requests that are on their way as an upstream is
# removed.
REMOVAL_MARGIN_S = 0.2
# Live upstreams renew their entries more often than this.
MIN_GRACE_S = 1.5


class RemovalGrace:
    """Track until when entries that the list lacks may return."""

    def __init__(self, clock: Clock, contact_ms: float) -> None:
        """Start without a grace period.

        `contact_ms` after an outage, hosts have to know all changes.
        """
        self._clock = clock
        self._contact_s = contact_ms / 1_000
        self._until_s = -math.inf
        self._on_begin: list[Callable[[], object]] = []

    def on_begin(self, callback: Callable[[], object]) -> None:
        """Call `callback` as each grace period begins."""
        self._on_begin.append(callback)

    @property
    def is_over(self) -> bool:
        """Return whether upstreams that the list lacks may be removed."""
        return self._clock.monotonic() >= self._until_s

    @property
    def left_ms(self) -> int:
        """Return the remaining time; 0 if it is over."""
        if self.is_over:
            return 0
        return math.ceil((self._until_s - self._clock.monotonic()) * 1_000)

    def begin(self, failed_read_s: float | None = None) -> None:
        """Begin a grace period, as the list is available again.

        `failed_read_s` is the time at which the last read began that failed:
        the list returned later than that, perhaps long before this call.
        """
        now_s = self._clock.monotonic()
        self._until_s = now_s + REMOVAL_GRACE_S
        if failed_read_s is not None:
            latest_s = failed_read_s + self._contact_s - REMOVAL_MARGIN_S
            shortest_s = now_s + MIN_GRACE_S
            self._until_s = max(min(self._until_s, latest_s), shortest_s)
        for callback in self._on_begin:
            callback()
