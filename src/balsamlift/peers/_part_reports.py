"""Reports about parts of prompts, to find those that crash upstreams.

Hosts forward them to each other: requests with such a part come at any host.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum

import attrs

from balsamlift.clock import Clock
from balsamlift.peers._messages import PartReport
from balsamlift.peers._report_exchange import ReportExchange

MAX_REPORTS = 2_000  # of about 45 bytes on the wire and 300 in memory
_MS_PER_S = 1_000
# A report that is repeated counts only if it extends the time by this much.
MIN_EXTENSION_S = 30.0


class PartState(IntEnum):
    """What a report says of a part; of one upstream, the greatest counts."""

    CRASHED_AFTER_OUTPUT = 0  # the upstream crashed while it ran the part
    CRASHED_BEFORE_HEAD = 1  # the same, before the head of a response
    CRASHED_AFTER_HEAD = 2  # the same, between the head and any output
    SURVIVED = 3  # since that crash, an upstream has run the part
    KNOWN = 10  # an upstream had run the part before
    TRIED = 20  # a request with the part is being tried
    BLOCKED = 30  # the part is not run again
    UNBLOCKED = 31  # it is after all

    @property
    def ttl_ms(self) -> int:
        """Return for how long a new report holds."""
        return _TTLS_MS.get(self, CRASH_TTL_MS)


CRASH_TTL_MS = 600_000
_TTLS_MS = {
    PartState.KNOWN: 60_000,
    PartState.TRIED: 3_000,
    PartState.UNBLOCKED: 60_000,
}
# The states of each range replace each other.
_RANGE = 10
_STATES = frozenset(PartState)


def new_report(part: str, state: PartState, upstream: str = "") -> PartReport:
    """Return a report of a state, at an upstream that crashed if named."""
    return PartReport(part, upstream, state, state.ttl_ms)


@attrs.frozen
class PartEntry:
    """A report with the times at which it was made and expires."""

    part: str
    upstream: str
    state: PartState
    made_s: float  # monotonic
    expires_s: float


class PartReports(ReportExchange[PartReport]):
    """Hold the reports about parts of prompts."""

    def __init__(self, clock: Clock) -> None:
        """Start with no report."""
        super().__init__(clock, MAX_REPORTS)

    def report(self, part: str, state: PartState, upstream: str = "") -> None:
        """Report a state of a part, at an upstream that crashed if named."""
        self.add([new_report(part, state, upstream)])

    def entries(self) -> Iterator[PartEntry]:
        """Return the reports that have not expired."""
        self._table.expire(self._clock.monotonic())
        for entry in self._table:
            report = entry.report
            state = PartState(report.state)
            yield PartEntry(
                report.part,
                report.upstream,
                state,
                entry.expires_s - state.ttl_ms / _MS_PER_S,
                entry.expires_s,
            )

    def _add_one(self, report: PartReport) -> bool:
        if report.state not in _STATES or report.ttl_ms <= 0:
            return False  # newer versions may have more states
        state = PartState(report.state)
        key = report.part, report.upstream, state // _RANGE
        ttl_s = min(report.ttl_ms, state.ttl_ms) / _MS_PER_S
        expires_s = self._clock.monotonic() + ttl_s
        known = self._table.find(key)
        if known is not None:
            if state < known.report.state:
                return False
            extension_s = expires_s - known.expires_s
            if state == known.report.state and extension_s < MIN_EXTENSION_S:
                return False
        self._table.put(key, report, expires_s)
        return True
