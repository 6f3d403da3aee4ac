"""Reports of upstreams that owe answers and send nothing.

Hosts forward them to each other at once: what an upstream is sent after it has
stopped lies unread, and each host would send a few before it finds out.
"""

from __future__ import annotations

from balsamlift.clock import Clock
from balsamlift.peers._messages import SilenceReport
from balsamlift.peers._report_exchange import ReportExchange

# A report holds for this long, unless it is renewed.
REPORT_TTL_MS = 500
# A copy that expires this much later renews a report.
RENEWAL_S = 0.25
MAX_REPORTS = 1_000
_MS_PER_S = 1_000


class SilenceReports(ReportExchange[SilenceReport]):
    """Hold the upstreams that are silent to some host."""

    def __init__(self, clock: Clock) -> None:
        """Start with no report."""
        super().__init__(clock, MAX_REPORTS)

    def report(self, upstream: str) -> None:
        """Report that an upstream is silent to this host."""
        self.add([SilenceReport(upstream, REPORT_TTL_MS)])

    def has(self, upstream: str) -> bool:
        """Return whether some host has reported an upstream not long ago."""
        entry = self._table.find(upstream)
        return entry is not None and entry.expires_s > self._clock.monotonic()

    def _add_one(self, report: SilenceReport) -> bool:
        ttl_s = min(report.ttl_ms, REPORT_TTL_MS) / _MS_PER_S
        if ttl_s <= 0:
            return False
        expires_s = self._clock.monotonic() + ttl_s
        known = self._table.find(report.upstream)
        if known is not None and expires_s < known.expires_s + RENEWAL_S:
            return False
        self._table.put(report.upstream, report, expires_s)
        return True
