"""Reports of requests that were running on an upstream when it crashed.

Hosts forward them to each other, because a request can be repeated at any
host and a restarted host has no reports. A report expires after its TTL.
"""

from __future__ import annotations

from balsamlift.clock import Clock
from balsamlift.peers._messages import CrashReport
from balsamlift.peers._report_exchange import ReportExchange

REPORT_TTL_MS = 600_000
# Each report takes about 60 bytes on the wire and 300 in memory.
MAX_REPORTS = 1_000
_MS_PER_S = 1_000


class CrashReports(ReportExchange[CrashReport]):
    """Hold reports of requests that ran as an upstream crashed.

    A report without an upstream states that the request completed, so it
    does not crash the upstreams that run it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no report."""
        super().__init__(clock, MAX_REPORTS)

    def report_crash(
        self, fingerprint: str, upstream: str, *, had_output: bool
    ) -> None:
        """Report that an upstream crashed while it ran a request."""
        self.add(
            [CrashReport(fingerprint, upstream, REPORT_TTL_MS, had_output)]
        )

    def report_completed(self, fingerprint: str) -> None:
        """Report that an upstream completed a request."""
        self.add([CrashReport(fingerprint, "", REPORT_TTL_MS)])

    def _add_one(self, report: CrashReport) -> bool:
        key = report.fingerprint, report.upstream
        ttl_ms = min(report.ttl_ms, REPORT_TTL_MS)
        if self._table.find(key) is not None or ttl_ms <= 0:
            return False
        expires_s = self._clock.monotonic() + ttl_ms / _MS_PER_S
        self._table.put(key, report, expires_s)
        return True
