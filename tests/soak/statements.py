"""Check that hosts heed what upstreams say in their answers.

After a host has passed on an answer that says that an upstream is leaving, no
request that was sent later than `DRAIN_S` may reach the upstream from it.
After a refusal that asks for no requests, few may until the end of that time.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import attrs

from balsamlift.clock import Clock, SystemClock

DRAIN_S = 2.0  # as in the settings of the hosts
GRACE_S = 0.5  # after a refusal, for requests that are on their way
MOST_TOLERATED = 2
DELAYED_S = 3.0  # after a fault of a link, requests may arrive late


@attrs.define
class Refusal:
    """A refusal that asked a host for no requests until `end_s`."""

    refused_s: float
    end_s: float
    arrivals: int = 0


class StatementChecker:
    """Record what upstreams say and get, and report what they should not."""

    def __init__(
        self,
        report_violation: Callable[[str, str, str], None],
        clock: Clock | None = None,
    ) -> None:
        """Report by guarantee, subject and description."""
        self._report_violation = report_violation
        self._clock = clock or SystemClock()
        self._sent: dict[str, tuple[str, float]] = {}  # by request id
        self._told_s: dict[tuple[str, str], float] = {}  # upstream, host
        self._refusals: dict[tuple[str, str], list[Refusal]] = defaultdict(
            list
        )
        self._delayed_until_s: dict[str, float] = defaultdict(float)

    def record_request(self, request_id: str, host: str) -> None:
        """Record that a caller sends a request to a host."""
        self._sent[request_id] = host, self._clock.monotonic()

    def record_arrival(self, upstream: str, request_id: str) -> None:
        """Record that a request reached an upstream."""
        if request_id not in self._sent:
            return
        host, sent_s = self._sent[request_id]
        now_s = self._clock.monotonic()
        if now_s < self._delayed_until_s[upstream]:
            return
        told_s = self._told_s.get((upstream, host))
        if told_s is not None and sent_s > told_s + DRAIN_S:
            self._report_violation(
                "drain",
                request_id,
                f"reached {upstream} {now_s - told_s:.1f} s after its notice",
            )
        for refusal in self._refusals[upstream, host]:
            self._count(refusal, upstream, host, now_s)

    def _count(
        self, refusal: Refusal, upstream: str, host: str, now_s: float
    ) -> None:
        if not refusal.refused_s + GRACE_S < now_s < refusal.end_s:
            return
        refusal.arrivals += 1
        if refusal.arrivals == MOST_TOLERATED + 1:
            self._report_violation(
                "retry_after",
                upstream,
                f"got too many requests from {host} before the end",
            )

    def record_refusal(
        self, upstream: str, request_id: str, retry_after_s: float
    ) -> None:
        """Record that an upstream refused and asked for no requests."""
        if request_id not in self._sent:
            return
        host, _ = self._sent[request_id]
        now_s = self._clock.monotonic()
        self._refusals[upstream, host].append(
            Refusal(now_s, now_s + retry_after_s)
        )

    def record_notice_passed_on(self, request_id: str, upstream: str) -> None:
        """Record that a caller received an answer that is a notice."""
        host, _ = self._sent[request_id]
        self._told_s.setdefault((upstream, host), self._clock.monotonic())

    def exempt_host(self, host: str) -> None:
        """Exempt a host that is stopped, suspended or started now."""
        for table in (self._told_s, self._refusals):
            for key in [key for key in table if key[1] == host]:
                del table[key]

    def exempt_incarnation(self, upstream: str) -> None:
        """Forget what the incarnation of an upstream said that has ended."""
        for table in (self._told_s, self._refusals):
            for key in [key for key in table if key[0] == upstream]:
                del table[key]

    def exempt_upstream(self, upstream: str) -> None:
        """Exempt an upstream whose link holds requests back."""
        until_s = self._clock.monotonic() + DELAYED_S
        self._delayed_until_s[upstream] = until_s
