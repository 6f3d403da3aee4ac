"""Exchange of leaving and dead states of upstreams between hosts."""

from __future__ import annotations

from collections.abc import Callable

from balsamlift.clock import Clock
from balsamlift.peers._messages import UpstreamReport
from balsamlift.peers._upstream import Upstream
from balsamlift.peers._upstream_reports import UpstreamReports, create_report
from balsamlift.peers._upstreams import PEER_SOURCE, Upstreams


class UpstreamGossip:
    """Report observed states of upstreams to peers, and apply theirs."""

    def __init__(self, reports: UpstreamReports, clock: Clock) -> None:
        """Keep the exchanged reports in `reports`."""
        self._reports = reports
        self._clock = clock

    def start(self, upstreams: Upstreams, wake: Callable[[], None]) -> None:
        """Watch `upstreams`; `wake` sends on every link at once."""
        self._upstreams = upstreams
        self._wake = wake
        upstreams.on_mark(self.publish)
        upstreams.on_change(self._apply)

    def publish(self, upstream: Upstream) -> None:
        """Report the state of an upstream to peers at once."""
        now_s = self._clock.monotonic()
        if self._reports.add(create_report(upstream), now_s, is_own=True):
            self._wake()

    def receive(self, reports: list[UpstreamReport]) -> None:
        """Apply the reports of a peer and forward the new ones."""
        now_s = self._clock.monotonic()
        new = [
            report for report in reports if self._reports.add(report, now_s)
        ]
        if new:
            self._apply()
            self._wake()

    def _apply(self) -> None:
        for report in self._reports.to_apply(self._find_address):
            self._upstreams.mark(report.name, report.state, PEER_SOURCE)

    def _find_address(self, name: str) -> str:
        upstream = self._upstreams.find(name)
        return upstream.address if upstream else ""
