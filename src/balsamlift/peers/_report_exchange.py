"""Reports that hosts forward to each other until they expire."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic

from balsamlift.clock import Clock
from balsamlift.peers._report_table import R, ReportTable


class ReportExchange(Generic[R]):
    """Hold the unexpired reports in the order in which they arrived.

    A subclass decides in `_add_one` which reports are new.
    """

    def __init__(self, clock: Clock, max_reports: int) -> None:
        """Start with no report."""
        self._clock = clock
        self._table: ReportTable[R] = ReportTable(max_reports)
        self._on_new_reports: list[Callable[[list[R]], None]] = []
        self._wake: Callable[[], None] = _do_nothing

    def start(self, wake: Callable[[], None]) -> None:
        """Call `wake` after new reports, to send them to peers at once."""
        self._wake = wake

    def on_new_reports(self, callback: Callable[[list[R]], None]) -> None:
        """Call back with reports that this host did not hold before."""
        self._on_new_reports.append(callback)

    @property
    def change(self) -> int:
        """Return the number of the latest change."""
        return self._table.change

    def all(self) -> list[R]:
        """Return every report that has not expired."""
        self._table.expire(self._clock.monotonic())
        return [entry.report for entry in self._table]

    def add(self, reports: Iterable[R]) -> None:
        """Add reports of this host or a peer, and forward the new ones."""
        self._table.expire(self._clock.monotonic())
        new = [report for report in reports if self._add_one(report)]
        if not new:
            return
        for callback in self._on_new_reports:
            callback(new)
        self._wake()

    def changed_since(self, change: int) -> list[R]:
        """Return the reports after that change, with their remaining TTL."""
        return self._table.changed_since(change, self._clock.monotonic())

    def _add_one(self, report: R) -> bool:
        """Add a report unless it tells nothing new; return whether it did."""
        raise NotImplementedError


def _do_nothing() -> None:
    pass
