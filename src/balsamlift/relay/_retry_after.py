"""Times for which upstreams asked this host to send them nothing."""

from __future__ import annotations

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics

log = logger.bind(part="upstreams")

MAX_UPSTREAMS = 5_000
_MS_PER_S = 1_000


class RetryAfterTracker:
    """Track until when each upstream that refused asked for no requests.

    It asks only the host that it refuses. A later refusal can extend the
    time but not shorten it.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Start without any upstream."""
        self._clock = clock
        self._metrics = metrics
        self._until_s: dict[str, float] = {}  # oldest first

    def wait_s(self, upstream: str) -> float:
        """Return the rest of the time that an upstream asked for, or 0."""
        until_s = self._until_s.get(upstream)
        if until_s is None:
            return 0.0
        return max(until_s - self._clock.monotonic(), 0.0)

    def record(self, upstream: str, retry_after_s: float) -> None:
        """Record that an upstream wants no requests for that time."""
        if retry_after_s <= self.wait_s(upstream):
            return
        self._until_s.pop(upstream, None)
        if len(self._until_s) >= MAX_UPSTREAMS:
            del self._until_s[next(iter(self._until_s))]
        self._until_s[upstream] = self._clock.monotonic() + retry_after_s
        self._update_gauge()
        log.bind(
            upstream=upstream,
            retry_after_ms=round(retry_after_s * _MS_PER_S),
        ).info("upstream asked for no requests")

    def discard_expired(self) -> None:
        """Discard and log the times that have ended."""
        for upstream in list(self._until_s):
            if self.wait_s(upstream) > 0:
                continue
            del self._until_s[upstream]
            log.bind(upstream=upstream).info("upstream takes requests again")
        self._update_gauge()

    def _update_gauge(self) -> None:
        self._metrics.gauge("relay.retry_after_upstreams", len(self._until_s))
