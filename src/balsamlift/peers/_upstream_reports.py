"""Reports of upstream states, forwarded between hosts until they expire."""

from __future__ import annotations

from collections.abc import Callable

from balsamlift.peers._messages import UpstreamReport
from balsamlift.peers._report_table import ReportTable
from balsamlift.peers._upstream import Upstream

UPSTREAM_REPORT_TTL_MS = 30_000  # longer than the platform's list lags
# A copy that expires this much later is a new report. States on the list are
# reported after each read, which must not create a new report each time.
RENEWAL_S = {"dead": 5.0, "leaving": 15.0}
MAX_REPORTS = 5_000

_MS_PER_S = 1_000


def create_report(upstream: Upstream) -> UpstreamReport:
    """Return a report of the present state of an upstream."""
    return UpstreamReport(
        name=upstream.name,
        address=upstream.address,
        state=upstream.state,
        ttl_ms=UPSTREAM_REPORT_TTL_MS,
    )


class UpstreamReports:
    """Hold the unexpired reports in the order in which they arrived."""

    def __init__(self) -> None:
        """Start with no report."""
        self._table: ReportTable[UpstreamReport] = ReportTable(MAX_REPORTS)

    @property
    def change(self) -> int:
        """Return the number of the latest change."""
        return self._table.change

    def add(
        self, report: UpstreamReport, now_s: float, *, is_own: bool = False
    ) -> bool:
        """Add a report and return whether it was new."""
        if report.state not in RENEWAL_S:
            return False
        key = report.name, report.address, report.state
        expires_s = (
            now_s + min(report.ttl_ms, UPSTREAM_REPORT_TTL_MS) / _MS_PER_S
        )
        known = self._table.find(key)
        if expires_s <= now_s or (
            known is not None
            and expires_s < known.expires_s + RENEWAL_S[report.state]
        ):
            return False
        self._table.put(key, report, expires_s, is_applied=is_own)
        return True

    def to_apply(
        self, find_address: Callable[[str], str]
    ) -> list[UpstreamReport]:
        """Return, once each, the peers' reports on known incarnations.

        `find_address` returns the address of an upstream; "": unknown.
        """
        found = []
        for entry in self._table:
            report = entry.report
            if (
                not entry.is_applied
                and find_address(report.name) == report.address
            ):
                entry.is_applied = True
                found.append(report)
        return found

    def changed_since(self, change: int, now_s: float) -> list[UpstreamReport]:
        """Return the reports after that change, with their remaining TTL."""
        return self._table.changed_since(change, now_s)

    def expire(self, now_s: float) -> None:
        """Drop the expired reports."""
        self._table.expire(now_s)
