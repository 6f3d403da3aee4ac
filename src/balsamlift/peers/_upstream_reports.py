"""Reports of upstream states, forwarded between hosts until they expire."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import msgspec

from balsamlift.peers._messages import UpstreamReport
from balsamlift.peers._upstream import Upstream

UPSTREAM_REPORT_TTL_MS = 30_000  # longer than the platform's list lags
# A copy that expires this much later is a new report. States on the list are
# reported after each read, which must not create a new report each time.
RENEWAL_S = {"dead": 5.0, "leaving": 15.0}
MAX_REPORTS = 5_000

_MS_PER_S = 1_000
_ReportKey = tuple[str, str, str]


def create_report(upstream: Upstream) -> UpstreamReport:
    """Return a report of the present state of an upstream."""
    return UpstreamReport(
        name=upstream.name,
        address=upstream.address,
        state=upstream.state,
        ttl_ms=UPSTREAM_REPORT_TTL_MS,
    )


@attrs.define
class _Entry:
    report: UpstreamReport
    expires_s: float
    change: int
    is_applied: bool = False


class UpstreamReports:
    """Hold the unexpired reports in the order in which they arrived.

    A report is forwarded with its remaining TTL, so it expires at about the
    same time on every host and cannot circulate for ever.
    """

    def __init__(self) -> None:
        """Start with no report."""
        self.change = 0
        self._entries: dict[_ReportKey, _Entry] = {}  # oldest first

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
        known = self._entries.get(key)
        if expires_s <= now_s or (
            known is not None
            and expires_s < known.expires_s + RENEWAL_S[report.state]
        ):
            return False
        self._entries.pop(key, None)
        if len(self._entries) >= MAX_REPORTS:
            del self._entries[next(iter(self._entries))]
        self.change += 1
        self._entries[key] = _Entry(report, expires_s, self.change, is_own)
        return True

    def to_apply(
        self, find_address: Callable[[str], str]
    ) -> list[UpstreamReport]:
        """Return, once each, the peers' reports on known incarnations.

        `find_address` returns the address of an upstream; "": unknown.
        """
        found = []
        for entry in self._entries.values():
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
        found = []
        for entry in reversed(self._entries.values()):
            if entry.change <= change:
                break
            ttl_ms = int((entry.expires_s - now_s) * _MS_PER_S)
            if ttl_ms > 0:
                found.append(
                    msgspec.structs.replace(entry.report, ttl_ms=ttl_ms)
                )
        return found

    def expire(self, now_s: float) -> None:
        """Drop the expired reports."""
        for key, entry in list(self._entries.items()):
            if entry.expires_s <= now_s:
                del self._entries[key]
