"""Limit the retries that all hosts together send to a service."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from balsamlift._sliding_window import SlidingWindow
from balsamlift.clock import Clock
from balsamlift.peers import StartupPause, even_share

# Fraction of the budget that is used. The rest is a reserve: hosts join and
# leave during a window, and each divides by the number of hosts it knows.
USED_FRACTION = 0.7


@attrs.frozen(kw_only=True)
class RetryLimits:
    """The retry budget of all hosts together, per service and window."""

    ratio: float  # retries per request in the window
    extra: int  # retries allowed in addition, regardless of requests
    window_s: float


class _ServiceCounts:
    """Count requests and retries of one service in a sliding window."""

    def __init__(self, window_s: float) -> None:
        """Start with no request."""
        self.requests = SlidingWindow(window_s)
        self.retries = SlidingWindow(window_s)


class RetryBudget:
    """Allow retries by this host's requests and its share of `extra`.

    A host that has just started may replace one that spent its share within
    the window, so it gets no share of `extra` until a window has passed.
    """

    def __init__(
        self, limits: RetryLimits, hosts: Callable[[], int], clock: Clock
    ) -> None:
        """Share `extra` among `hosts()` hosts, including this one."""
        self._limits = limits
        self._hosts = hosts
        self._clock = clock
        self._startup = StartupPause(clock, limits.window_s)
        self._services: dict[str, _ServiceCounts] = {}

    def record_request(self, service: str) -> None:
        """Count a request for a service."""
        self._counts(service).requests.add(self._clock.monotonic())

    def spend(self, service: str) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if not self.has_left(service):
            return False
        self._counts(service).retries.add(self._clock.monotonic())
        return True

    def has_left(self, service: str) -> bool:
        """Return whether the budget allows one more retry now."""
        now_s = self._clock.monotonic()
        counts = self._counts(service)
        allowed = self._allowed(counts.requests.count(now_s))
        return counts.retries.count(now_s) + 1 <= allowed

    def _allowed(self, requests: int) -> float:
        limits = self._limits
        allowed = requests * limits.ratio
        if self._startup.is_over:
            allowed += even_share(limits.extra, self._hosts())
        return allowed * USED_FRACTION

    def _counts(self, service: str) -> _ServiceCounts:
        counts = self._services.get(service)
        if counts is None:
            counts = _ServiceCounts(self._limits.window_s)
            self._services[service] = counts
        return counts
