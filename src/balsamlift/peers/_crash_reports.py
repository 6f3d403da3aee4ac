"""Reports of requests that were running on an upstream when it crashed.

Hosts forward them to each other, because a request can be repeated at any
host and a restarted host has no reports. A report expires after its TTL.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
import msgspec

from balsamlift.clock import Clock
from balsamlift.peers._messages import CrashReport

REPORT_TTL_MS = 600_000
# Each report takes about 60 bytes on the wire and 300 in memory.
MAX_REPORTS = 1_000
_MS_PER_S = 1_000
_ReportKey = tuple[str, str]


@attrs.define
class _Entry:
    report: CrashReport
    expires_s: float
    change: int


class CrashReports:
    """Hold the unexpired reports in the order in which they arrived.

    A report without an upstream states that the request completed, so it
    does not crash the upstreams that run it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no report."""
        self.change = 0
        self._clock = clock
        self._entries: dict[_ReportKey, _Entry] = {}  # oldest first
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

    def all(self) -> list[CrashReport]:
        """Return every report that has not expired."""
        self._expire()
        return [entry.report for entry in self._entries.values()]

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
        self._expire()
        new = [report for report in reports if self._add_one(report)]
        if not new:
            return
        for callback in self._on_new_reports:
            callback(new)
        self._wake()

    def changed_since(self, change: int) -> list[CrashReport]:
        """Return the reports after that change, with their remaining TTL."""
        now_s = self._clock.monotonic()
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

    def _add_one(self, report: CrashReport) -> bool:
        key = report.fingerprint, report.upstream
        ttl_ms = min(report.ttl_ms, REPORT_TTL_MS)
        if key in self._entries or ttl_ms <= 0:
            return False
        if len(self._entries) >= MAX_REPORTS:
            del self._entries[next(iter(self._entries))]
        self.change += 1
        expires_s = self._clock.monotonic() + ttl_ms / _MS_PER_S
        self._entries[key] = _Entry(report, expires_s, self.change)
        return True

    def _expire(self) -> None:
        now_s = self._clock.monotonic()
        for key, entry in list(self._entries.items()):
            if entry.expires_s <= now_s:
                del self._entries[key]


def _do_nothing() -> None:
    pass
