"""Reports of requests that were running on an upstream when it crashed.

Hosts forward them to each other, because a request can be repeated at any
host and a restarted host has no reports. A report expires after its TTL.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from balsamlift.clock import Clock
from balsamlift.peers._messages import CrashReport
from balsamlift.peers._report_table import ReportTable

REPORT_TTL_MS = 600_000
# Each report takes about 60 bytes on the wire and 300 in memory.
MAX_REPORTS = 1_000
_MS_PER_S = 1_000


class CrashReports:
    """Hold the unexpired reports in the order in which they arrived.

    A report without an upstream states that the request completed, so it
    does not crash the upstreams that run it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no report."""
        self._clock = clock
        self._table: ReportTable[CrashReport] = ReportTable(MAX_REPORTS)
        self._on_new_reports: list[Callable[[list[CrashReport]], None]] = []
        self._wake: Callable[[], None] = _do_nothing

    def start(self, wake: Callable[[], None]) -> None:
        """Call `wake` after new reports, to send them to peers at once."""
        self._wake = wake

    def on_new_reports(
        self, callback: Callable[[list[CrashReport]], None]
    ) -> None:
        """Call back with reports that this host did not hold before."""
        self._on_new_reports.append(callback)

    @property
    def change(self) -> int:
        """Return the number of the latest change."""
        return self._table.change

    def all(self) -> list[CrashReport]:
        """Return every report that has not expired."""
        self._table.expire(self._clock.monotonic())
        return [entry.report for entry in self._table]

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

    def add(self, reports: Iterable[CrashReport]) -> None:
        """Add reports of this host or a peer, and forward the new ones."""
        self._table.expire(self._clock.monotonic())
        new = [report for report in reports if self._add_one(report)]
        if not new:
            return
        for callback in self._on_new_reports:
            callback(new)
        self._wake()

    def changed_since(self, change: int) -> list[CrashReport]:
        """Return the reports after that change, with their remaining TTL."""
        return self._table.changed_since(change, self._clock.monotonic())

    def _add_one(self, report: CrashReport) -> bool:
        key = report.fingerprint, report.upstream
        ttl_ms = min(report.ttl_ms, REPORT_TTL_MS)
        if self._table.find(key) is not None or ttl_ms <= 0:
            return False
        expires_s = self._clock.monotonic() + ttl_ms / _MS_PER_S
        self._table.put(key, report, expires_s)
        return True


def _do_nothing() -> None:
    pass
