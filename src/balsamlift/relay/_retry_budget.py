"""Limit the retries that all hosts together send to a service."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

from balsamlift.clock import Clock

# Fraction of the budget that is used. The rest is a reserve: hosts join and
# leave during a window, and each divides by the number of hosts it knows.
USED_FRACTION = 0.7


@attrs.frozen(kw_only=True)
class RetryLimits:
    """The retry budget of all hosts together, per service and window."""

    ratio: float  # retries per request in the window
    extra: int  # retries allowed in addition, regardless of requests
    window_s: float


class _Window:
    """Count requests and retries of one service in a sliding window."""

    def __init__(self, window_s: float) -> None:
        """Start with an empty window."""
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def add_request(self, now_s: float) -> None:
        """Count a request."""
        self._requests.append(now_s)

    def add_retry(self, now_s: float) -> None:
        """Count a retry."""
        self._retries.append(now_s)

    def counts(self, now_s: float) -> tuple[int, int]:
        """Return the requests and the retries in the window."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
        return len(self._requests), len(self._retries)


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
        self._started_s = clock.monotonic()
        self._windows: dict[str, _Window] = {}

    def record_request(self, service: str) -> None:
        """Count a request for a service."""
        self._window(service).add_request(self._clock.monotonic())

    def spend(self, service: str) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        now_s = self._clock.monotonic()
        window = self._window(service)
        requests, retries = window.counts(now_s)
        if retries + 1 > self._allowed(requests, now_s):
            return False
        window.add_retry(now_s)
        return True

    def _allowed(self, requests: int, now_s: float) -> float:
        limits = self._limits
        allowed = requests * limits.ratio
        if now_s - self._started_s >= limits.window_s:
            allowed += limits.extra / max(self._hosts(), 1)
        return allowed * USED_FRACTION

    def _window(self, service: str) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = _Window(self._limits.window_s)
            self._windows[service] = window
        return window
