"""Rate limits that upstreams name, as all hosts know them.

A limit is for the requests of all hosts together. The host that is told one
tells it to the others at once, because an upstream in need must not have to
tell each host by itself.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from math import isfinite

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers._messages import RateLimitReport

log = logger.bind(part="upstreams")

# Upstreams whose limit, or its end, is kept.
MAX_LIMITS = 1_000
# The end of a limit is kept for this long, so that a late report of the limit
# does not bring it back. Longer than any report takes to reach all hosts.
ENDED_TTL_S = 60.0
_MS_PER_S = 1_000


@attrs.frozen
class NamedLimit:
    """What an upstream names: a limit, or None for none."""

    limit_per_s: float | None
    evidence_s: float  # monotonic time from which it certainly holds
    source: str  # "answer" to this host, or "peer"


@attrs.define
class _Entry:
    named: NamedLimit
    change: int


class RateLimits:
    """Hold the latest limit of each upstream that names one."""

    def __init__(self, clock: Clock) -> None:
        """Start with no limit."""
        self.change = 0
        self._clock = clock
        self._entries: dict[str, _Entry] = {}  # oldest change first
        self._metrics = Metrics()
        self._wake: Callable[[], None] = _do_nothing

    def start(self, wake: Callable[[], None], metrics: Metrics) -> None:
        """Call `wake` after each change, to send it to peers at once."""
        self._wake = wake
        self._metrics = metrics

    def find(self, upstream: str) -> NamedLimit | None:
        """Return the limit in force of an upstream, or None if it has none."""
        entry = self._entries.get(upstream)
        if entry is None or entry.named.limit_per_s is None:
            return None
        return entry.named

    def limited(self) -> frozenset[str]:
        """Return the upstreams with a limit in force."""
        return frozenset(
            upstream
            for upstream, entry in self._entries.items()
            if entry.named.limit_per_s is not None
        )

    def record(
        self, upstream: str, limit_per_s: float | None, sent_s: float
    ) -> None:
        """Record what an answer names to a request that was sent at `sent_s`.

        An answer that ends or raises a limit may have been overtaken by one
        that names it. So it counts from the time at which its request was
        sent: what was received before that is certainly older.
        """
        entry = self._entries.get(upstream)
        if entry is None and limit_per_s is None:
            return
        now_s = self._clock.monotonic()
        before = entry.named.limit_per_s if entry is not None else None
        evidence_s = now_s if _is_restricting(limit_per_s, before) else sent_s
        self._offer(upstream, NamedLimit(limit_per_s, evidence_s, "answer"))

    def add(self, reports: Iterable[RateLimitReport]) -> None:
        """Apply what a peer reports."""
        now_s = self._clock.monotonic()
        for report in reports:
            if not _is_valid(report):
                self._metrics.count("peers.rate_limits_invalid")
                continue
            evidence_s = now_s - report.age_ms / _MS_PER_S
            named = NamedLimit(report.limit_per_s, evidence_s, "peer")
            self._offer(report.upstream, named)

    def changed_since(self, change: int) -> list[RateLimitReport]:
        """Return what changed after that change number, with its age."""
        found = []
        for upstream, entry in reversed(self._entries.items()):
            if entry.change <= change:
                break
            found.append(self._report(upstream, entry.named))
        return found

    def report(self, upstream: str) -> RateLimitReport | None:
        """Return what is known of one upstream."""
        entry = self._entries.get(upstream)
        return self._report(upstream, entry.named) if entry else None

    def prune(self, live: Collection[str]) -> None:
        """Discard upstreams not in `live` and limits that ended long ago."""
        oldest_s = self._clock.monotonic() - ENDED_TTL_S
        for upstream, entry in list(self._entries.items()):
            named = entry.named
            is_kept = upstream in live and named.limit_per_s is not None
            if not is_kept and named.evidence_s < oldest_s:
                del self._entries[upstream]
        self._update_gauge()

    def _offer(self, upstream: str, named: NamedLimit) -> None:
        """Apply `named` if it is newer than what is known."""
        entry = self._entries.get(upstream)
        if entry is not None and named.evidence_s <= entry.named.evidence_s:
            return
        limit_per_s = named.limit_per_s
        if entry is not None and entry.named.limit_per_s == limit_per_s:
            entry.named = named
            return
        self._entries.pop(upstream, None)
        if len(self._entries) >= MAX_LIMITS:
            del self._entries[next(iter(self._entries))]
        self.change += 1
        self._entries[upstream] = _Entry(named, self.change)
        self._update_gauge()
        log.bind(
            upstream=upstream,
            limit_per_s=limit_per_s,
            source=named.source,
            age_ms=self._age_ms(named),
        ).info(
            "rate limit ended" if limit_per_s is None else "rate limit named"
        )
        self._wake()

    def _report(self, upstream: str, named: NamedLimit) -> RateLimitReport:
        return RateLimitReport(
            upstream, named.limit_per_s, self._age_ms(named)
        )

    def _age_ms(self, named: NamedLimit) -> int:
        age_s = self._clock.monotonic() - named.evidence_s
        return max(round(age_s * _MS_PER_S), 0)

    def _update_gauge(self) -> None:
        self._metrics.gauge("relay.rate_limits", len(self.limited()))


def _is_restricting(limit_per_s: float | None, before: float | None) -> bool:
    """Return whether a limit allows no more than the one before."""
    if limit_per_s is None:
        return False
    return before is None or limit_per_s <= before


def _is_valid(report: RateLimitReport) -> bool:
    limit_per_s = report.limit_per_s
    is_rate = limit_per_s is None or (
        isfinite(limit_per_s) and limit_per_s >= 0
    )
    return is_rate and report.age_ms >= 0 and bool(report.upstream)


def _do_nothing() -> None:
    pass
