"""Check that upstreams get no more than the rate limits that they name.

A limit has to be kept `CONTACT_S` after it was named first, by each host that
passed on an answer with it `PASSED_ON_S` before or earlier.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import attrs

from balsamlift.clock import Clock, SystemClock

CONTACT_S = 3.0  # as in the settings of the hosts
PASSED_ON_S = 0.5
WINDOW_S = 4.0
TOLERATED_FACTOR, TOLERATED_EXTRA = 1.5, 5


@attrs.frozen
class Arrival:
    """A request that reached an upstream."""

    at_s: float
    host: str


@attrs.define
class LimitPeriod:
    """A time in which an upstream names the same limit."""

    limit_per_s: float
    named_s: float
    ended_s: float | None = None
    told_s: dict[str, float] = attrs.field(factory=dict)  # by host
    arrivals: list[Arrival] = attrs.field(factory=list)

    @property
    def most_tolerated(self) -> float:
        """Return the most requests that may arrive within `WINDOW_S`."""
        allowed = self.limit_per_s * WINDOW_S
        return TOLERATED_FACTOR * allowed + TOLERATED_EXTRA


class RateLimitChecker:
    """Record what upstreams name and get, and report what exceeds it."""

    def __init__(
        self,
        report_violation: Callable[[str, str, str], None],
        clock: Clock | None = None,
    ) -> None:
        """Report by guarantee, subject and description."""
        self._report_violation = report_violation
        self._clock = clock or SystemClock()
        self._current: dict[str, LimitPeriod] = {}
        self._ended: list[tuple[str, LimitPeriod]] = []
        self._hosts: dict[str, str] = {}  # by request id
        self._upstreams: dict[str, str] = {}  # by request id, the latest
        self._host_exempt_s: dict[str, list[float]] = defaultdict(list)
        self._upstream_exempt_s: dict[str, list[float]] = defaultdict(list)

    def set_limit(self, upstream: str, limit_per_s: float | None) -> None:
        """Record that an upstream names a limit from now on, or none."""
        now_s = self._clock.monotonic()
        ended = self._current.pop(upstream, None)
        if ended is not None:
            ended.ended_s = now_s
            self._ended.append((upstream, ended))
        if limit_per_s is not None:
            self._current[upstream] = LimitPeriod(limit_per_s, now_s)

    def record_request(self, request_id: str, host: str) -> None:
        """Record that a caller sends a request to a host."""
        self._hosts[request_id] = host

    def record_arrival(self, upstream: str, request_id: str) -> None:
        """Record that a request reached an upstream."""
        self._upstreams[request_id] = upstream
        period = self._current.get(upstream)
        host = self._hosts.get(request_id, "")
        if period is not None and host:
            period.arrivals.append(Arrival(self._clock.monotonic(), host))

    def record_passed_on(self, request_id: str) -> None:
        """Record that a caller received an answer that names a limit."""
        period = self._current.get(self._upstreams.get(request_id, ""))
        if period is not None:
            now_s = self._clock.monotonic()
            period.told_s.setdefault(self._hosts[request_id], now_s)

    def exempt_host(self, host: str) -> None:
        """Exempt a host that is stopped, suspended or started now."""
        self._host_exempt_s[host].append(self._clock.monotonic())

    def exempt_upstream(self, upstream: str) -> None:
        """Exempt an upstream whose link holds requests back."""
        self._upstream_exempt_s[upstream].append(self._clock.monotonic())

    def check(self) -> None:
        """Report each period in which an upstream got too much."""
        for upstream in list(self._current):
            self.set_limit(upstream, None)
        for upstream, period in self._ended:
            most = self._most_in_a_window(upstream, period)
            if most > period.most_tolerated:
                self._report_violation(
                    "limit",
                    upstream,
                    f"with a limit of {period.limit_per_s} a second got "
                    f"{most} requests in {WINDOW_S:.0f} s",
                )

    def _most_in_a_window(self, upstream: str, period: LimitPeriod) -> int:
        times = [
            arrival.at_s
            for arrival in period.arrivals
            if self._counts(upstream, period, arrival)
        ]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
                for start_s in times
            ),
            default=0,
        )

    def _counts(
        self, upstream: str, period: LimitPeriod, arrival: Arrival
    ) -> bool:
        told_s = period.told_s.get(arrival.host)
        return (
            told_s is not None
            and arrival.at_s >= told_s + PASSED_ON_S
            and arrival.at_s >= period.named_s + CONTACT_S
            and not _is_exempt(self._host_exempt_s[arrival.host], arrival)
            and not _is_exempt(self._upstream_exempt_s[upstream], arrival)
        )


def _is_exempt(disturbed_s: list[float], arrival: Arrival) -> bool:
    """Return whether a disturbance was less than `CONTACT_S` before."""
    return any(
        at_s - PASSED_ON_S <= arrival.at_s <= at_s + CONTACT_S
        for at_s in disturbed_s
    )
