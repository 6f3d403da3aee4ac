"""A bounded table of reports that hosts forward until they expire."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

import attrs
import msgspec

from balsamlift.peers._messages import (
    CrashReport,
    PartReport,
    SilenceReport,
    UpstreamReport,
)

_MS_PER_S = 1_000

R = TypeVar("R", CrashReport, PartReport, SilenceReport, UpstreamReport)


@attrs.define
class Entry(Generic[R]):
    """Hold a report with the change that added it."""

    report: R
    expires_s: float
    change: int
    is_applied: bool = False


class ReportTable(Generic[R]):
    """Hold unexpired reports in the order in which they arrived.

    A report is forwarded with its remaining TTL, so it expires at about the
    same time on every host and cannot circulate for ever. When the table is
    full, the oldest report makes room.
    """

    def __init__(self, max_reports: int) -> None:
        """Start with no report."""
        self.change = 0  # number of the latest addition
        self._max_reports = max_reports
        self._entries: dict[Hashable, Entry[R]] = {}  # oldest first

    def __iter__(self) -> Iterator[Entry[R]]:
        """Return an iterator over the entries, the oldest first."""
        return iter(self._entries.values())

    def find(self, key: Hashable) -> Entry[R] | None:
        """Return the entry with that key."""
        return self._entries.get(key)

    def put(
        self,
        key: Hashable,
        report: R,
        expires_s: float,
        *,
        is_applied: bool = False,
    ) -> None:
        """Add a report as the newest, in place of one with the same key."""
        self._entries.pop(key, None)
        if len(self._entries) >= self._max_reports:
            del self._entries[next(iter(self._entries))]
        self.change += 1
        entry = Entry(report, expires_s, self.change, is_applied)
        self._entries[key] = entry

    def changed_since(self, change: int, now_s: float) -> list[R]:
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
