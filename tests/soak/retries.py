"""Check that hosts together keep to the retry budget of each service.

In any window, a service may get no more arrivals beyond the first of each
request than a share of the requests for it and a fixed number.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable

import attrs

from balsamlift.clock import Clock, SystemClock

BUDGET_WINDOW_S = 10.0  # as in the settings of the hosts
RETRY_RATIO = 0.2


@attrs.define
class _Service:
    """Times in ascending order."""

    requests_s: list[float] = attrs.field(factory=list)
    repeats_s: list[float] = attrs.field(factory=list)


class RetryChecker:
    """Record requests and their arrivals, and report too many repeats."""

    def __init__(
        self,
        extra: int,
        report_violation: Callable[[str, str, str], None],
        clock: Clock | None = None,
    ) -> None:
        """Allow `extra` repeats beside the share of the requests."""
        self._extra = extra
        self._report_violation = report_violation
        self._clock = clock or SystemClock()
        self._services: dict[str, _Service] = defaultdict(_Service)
        self._arrived: set[str] = set()

    def record_request(self, service: str) -> None:
        """Record that a caller sends a request for a service."""
        now_s = self._clock.monotonic()
        self._services[service].requests_s.append(now_s)

    def record_arrival(self, service: str, request_id: str) -> None:
        """Record that a request reached an upstream of a service."""
        if request_id in self._arrived:
            now_s = self._clock.monotonic()
            self._services[service].repeats_s.append(now_s)
        self._arrived.add(request_id)

    def check(self) -> None:
        """Report each window with too many repeats, but once in a window."""
        for name, service in self._services.items():
            reported_s = -BUDGET_WINDOW_S
            for end_s in service.repeats_s:
                repeats = _count(service.repeats_s, end_s)
                requests = max(
                    _count(service.requests_s, end_s - shift * BUDGET_WINDOW_S)
                    for shift in (0.0, 0.5, 1.0)
                )
                allowed = RETRY_RATIO * requests + self._extra
                if repeats > allowed and end_s >= reported_s + BUDGET_WINDOW_S:
                    reported_s = end_s
                    self._report_violation(
                        "retries",
                        name,
                        f"got {repeats} repeats of {requests} requests",
                    )


def _count(times_s: list[float], end_s: float) -> int:
    """Return how many times lie in the window that ends then."""
    begin = bisect_right(times_s, end_s - BUDGET_WINDOW_S)
    return bisect_right(times_s, end_s) - begin
