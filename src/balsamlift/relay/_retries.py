"""Bound what all hosts together send a service more than once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

from balsamlift.clock import Clock

# Part of the budget given out: hosts join and leave while a window lasts,
# and each divides by the number of hosts that it knows.
USED_PART = 0.7


@attrs.frozen(kw_only=True)
class RetryLimits:
    """Hold the budget of all hosts together, per service and window."""

    ratio: float  # of the requests in the window
    extra: int  # besides, however few the requests
    window_s: float


class _Window:
    """Count requests and retries of one service in a sliding window."""

    def __init__(self, window_s: float) -> None:
        """Begin with none."""
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


class Retries:
    """Allow retries: a share of this host's requests and of the extra.

    A host that has just started may follow one that spent its share within
    the window: it takes no part of the extra until a window has passed.
    """

    def __init__(
        self, limits: RetryLimits, hosts: Callable[[], int], clock: Clock
    ) -> None:
        """Share the extra with `hosts()` hosts, this one included."""
        self._limits = limits
        self._hosts = hosts
        self._clock = clock
        self._started_s = clock.monotonic()
        self._windows: dict[str, _Window] = {}

    def requested(self, service: str) -> None:
        """Count a request for a service."""
        self._window(service).add_request(self._clock.monotonic())

    def spend(self, service: str) -> bool:
        """Take one retry, if there is one left."""
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
        return allowed * USED_PART

    def _window(self, service: str) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = _Window(self._limits.window_s)
            self._windows[service] = window
        return window
