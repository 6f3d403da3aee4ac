"""Rate limits that upstreams name in their responses."""

from __future__ import annotations

from collections.abc import Collection
from math import isfinite

from loguru import logger

from balsamlift.metrics import Metrics

log = logger.bind(part="upstreams")


class NamedLimits:
    """Hold the latest rate limit of each upstream that names one.

    A limit holds until a response of the same upstream names none.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Start with no limit."""
        self._metrics = metrics
        self._limits_per_s: dict[str, float] = {}

    def record_response(self, upstream: str, named: str | None) -> None:
        """Record the limit that a response names, or None if it names none.

        A value that is no rate changes nothing.
        """
        if named is None:
            self._remove(upstream)
            return
        limit_per_s = parse_rate(named)
        if limit_per_s is None:
            self._metrics.count("relay.rate_limits_invalid")
            return
        if self._limits_per_s.get(upstream) == limit_per_s:
            return
        self._limits_per_s[upstream] = limit_per_s
        self._update_gauge()
        log.bind(upstream=upstream, limit_per_s=limit_per_s).info(
            "rate limit named"
        )

    def record_send(self, upstream: str) -> None:
        """Count a request that is sent to an upstream with a limit."""
        if upstream in self._limits_per_s:
            self._metrics.count("relay.sends_rate_limited")

    def prune(self, live: Collection[str]) -> None:
        """Discard the limits of upstreams that are not in `live`."""
        for upstream in self._limits_per_s.keys() - set(live):
            del self._limits_per_s[upstream]
        self._update_gauge()

    def _remove(self, upstream: str) -> None:
        if self._limits_per_s.pop(upstream, None) is None:
            return
        self._update_gauge()
        log.bind(upstream=upstream).info("rate limit ended")

    def _update_gauge(self) -> None:
        self._metrics.gauge("relay.rate_limits", len(self._limits_per_s))


def parse_rate(text: str) -> float | None:
    """Return the requests per second in `text`, or None if it is no rate."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if isfinite(rate) and rate >= 0 else None
