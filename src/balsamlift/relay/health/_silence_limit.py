"""Limit what silent upstreams are sent, by all hosts together.

What an upstream is sent after it has stopped lies unread. It runs once the
upstream goes on: perhaps after it has left the list, or after callers have
been told that their time is over.
"""

from __future__ import annotations

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import SilenceReports, Upstream
from balsamlift.relay.health._unanswered import UnansweredRequests

# An upstream that owes answers and has sent nothing for so long may have
# stopped.
SILENT_AFTER_S = 0.1
# Requests that an upstream may have in silence beside those that it can run.
REQUESTS_BESIDE_SLOTS = 2


class SilenceLimit:
    """Decide whether an upstream may have one more request.

    A host that has heard nothing of an upstream for a while goes by what the
    others report.
    """

    def __init__(
        self,
        unanswered: UnansweredRequests,
        reports: SilenceReports,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Exchange `reports` with the other hosts."""
        self._unanswered = unanswered
        self._reports = reports
        self._clock = clock
        self._metrics = metrics

    def allows(self, upstream: Upstream, load: int) -> bool:
        """Return whether an upstream with `load` requests may have another."""
        if not upstream.slots:  # the list does not tell
            return True
        if load < upstream.slots:
            return True
        self._report(upstream.name)
        if load < upstream.slots + REQUESTS_BESIDE_SLOTS:
            return True
        return not self.is_silent(upstream.name)

    def is_answering(self, name: str) -> bool:
        """Return whether an upstream owes this host nothing for long."""
        return self._unanswered.silent_s(name) < SILENT_AFTER_S

    def is_silent(self, name: str) -> bool:
        """Return whether an upstream is silent, to this host or another."""
        if not self.is_answering(name):
            return True
        since_s = self._clock.monotonic() - SILENT_AFTER_S
        if self._unanswered.was_heard_since(name, since_s):
            return False
        return self._reports.has(name)

    def _report(self, name: str) -> None:
        if self.is_answering(name):
            return
        if not self._reports.has(name):
            self._metrics.count("upstreams.silent")
        self._reports.report(name)
