"""Limit what silent upstreams are sent, by all hosts together.

What an upstream is sent after it has stopped lies unread. It runs once the
upstream goes on: perhaps after it has left the list, or after callers have
been told that their time is over.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.relay.health._unanswered import UnansweredRequests

# An upstream that owes answers and has sent nothing for so long may have
# stopped.
SILENT_AFTER_S = 0.1
# Requests that an upstream may have in silence beside those that it can run.
REQUESTS_BESIDE_SLOTS = 2


def silent_key(upstream: str) -> str:
    """Return the key that counts hosts to which an upstream is silent."""
    return f"{upstream}/silent"


class SilenceLimit:
    """Decide whether an upstream may have one more request.

    A host that has heard nothing of an upstream for a while goes by what the
    others report.
    """

    def __init__(
        self,
        unanswered: UnansweredRequests,
        share: Callable[[str, int], None],
        others_count: Callable[[str], int],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Share counts of this host by `share`, with its next heartbeat."""
        self._unanswered = unanswered
        self._share = share
        self._others_count = others_count
        self._clock = clock
        self._metrics = metrics
        self._reported: set[str] = set()

    def allows(self, upstream: Upstream, load: int) -> bool:
        """Return whether an upstream with `load` requests may have another."""
        if not upstream.slots:  # the list does not tell
            return True
        if load < upstream.slots + REQUESTS_BESIDE_SLOTS:
            return True
        return not self._is_silent(upstream.name)

    def is_answering(self, name: str) -> bool:
        """Return whether an upstream owes this host nothing for long."""
        return not self._is_silent_here(name)

    def expire(self, live: Collection[str]) -> None:
        """Withdraw reports that no longer hold; called every second."""
        for name in list(self._reported):
            if name not in live or not self._is_silent_here(name):
                self._withdraw(name)

    def _is_silent(self, name: str) -> bool:
        if self._is_silent_here(name):
            self._report(name)
            return True
        self._withdraw(name)
        since_s = self._clock.monotonic() - SILENT_AFTER_S
        if self._unanswered.was_heard_since(name, since_s):
            return False
        return self._others_count(silent_key(name)) > 0

    def _is_silent_here(self, name: str) -> bool:
        return self._unanswered.silent_s(name) >= SILENT_AFTER_S

    def _report(self, name: str) -> None:
        if name not in self._reported:
            self._reported.add(name)
            self._share(silent_key(name), 1)
            self._metrics.count("upstreams.silent")

    def _withdraw(self, name: str) -> None:
        if name in self._reported:
            self._reported.remove(name)
            self._share(silent_key(name), 0)
