"""Notices of upstreams that are leaving, as given in their own responses."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers._messages import LeavingReport

log = logger.bind(part="upstreams")

MAX_NOTICES = 5_000
# An entry that comes back after this long, and counts from the start again, is
# of another incarnation. Before, it may come from an older list.
UNLISTED_TTL_S = 60.0
# An upstream that is gone for so long does not come back.
FORGOTTEN_S = 3_600.0
_MS_PER_S = 1_000


@attrs.define
class _Notice:
    """A notice, with monotonic times."""

    given_s: float
    change: int
    unlisted_s: float | None = None  # since when the list lacks its upstream
    written: int | None = None  # update of its entry that was listed last

    def is_outdated(self, written: int | None, now_s: float) -> bool:
        """Return whether its incarnation is gone for good.

        `written` is the update that is listed now, or None.
        """
        if self.unlisted_s is None:
            return False
        away_s = now_s - self.unlisted_s
        if written is None:
            return away_s > FORGOTTEN_S
        has_restarted = self.written is not None and written < self.written
        return away_s > UNLISTED_TTL_S and has_restarted


class LeavingNotices:
    """Keep the upstreams that have said that they are leaving.

    A notice holds for one incarnation of an upstream. Neither the list nor a
    later answer lifts it: either may be older, or from a part of the upstream
    that does not know of it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a notice."""
        self.change = 0
        self._clock = clock
        self._metrics = Metrics()
        self._notices: dict[str, _Notice] = {}  # oldest first
        self._on_notice: list[Callable[[str], None]] = []
        self._on_discard: list[Callable[[str], None]] = []
        self._wake: Callable[[], None] = _do_nothing

    def start(self, metrics: Metrics) -> None:
        """Publish the number of notices in `metrics`."""
        self._metrics = metrics

    def share(self, wake: Callable[[], None]) -> None:
        """Call `wake` after each notice, to send it to peers at once."""
        self._wake = wake

    def on_notice(self, callback: Callable[[str], None]) -> None:
        """Call `callback` with the name of each upstream that gives notice."""
        self._on_notice.append(callback)

    def on_discard(self, callback: Callable[[str], None]) -> None:
        """Call `callback` for each upstream whose notice does not bind."""
        self._on_discard.append(callback)

    def has(self, upstream: str) -> bool:
        """Return whether an upstream has given notice."""
        return upstream in self._notices

    def age_s(self, upstream: str) -> float | None:
        """Return the time since an upstream gave notice, or None."""
        notice = self._notices.get(upstream)
        if notice is None:
            return None
        return self._clock.monotonic() - notice.given_s

    def record(self, upstream: str, source: str) -> None:
        """Record that an upstream says that it is leaving.

        `source` is "answer", or "report" for its status report.
        """
        self._add(upstream, 0.0, source)

    def add(self, reports: Iterable[LeavingReport]) -> None:
        """Apply what a peer reports."""
        for report in reports:
            if report.upstream and report.age_ms >= 0:
                age_s = report.age_ms / _MS_PER_S
                self._add(report.upstream, age_s, "peer")

    def changed_since(self, change: int) -> list[LeavingReport]:
        """Return the notices after that change number, with their ages."""
        now_s = self._clock.monotonic()
        found = []
        for upstream, notice in reversed(self._notices.items()):
            if notice.change <= change:
                break
            age_ms = round((now_s - notice.given_s) * _MS_PER_S)
            found.append(LeavingReport(upstream, age_ms))
        return found

    def _add(self, upstream: str, age_s: float, source: str) -> None:
        if upstream in self._notices:
            return
        if len(self._notices) >= MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
        now_s = self._clock.monotonic()
        self.change += 1
        self._notices[upstream] = _Notice(now_s - age_s, self.change)
        self._update_gauge()
        log.bind(
            upstream=upstream,
            source=source,
            age_ms=round(age_s * _MS_PER_S),
        ).info("upstream gave notice that it is leaving")
        for callback in self._on_notice:
            callback(upstream)
        self._wake()

    def prune(self, find_written: Callable[[str], int | None]) -> None:
        """Discard notices of incarnations that are gone.

        `find_written` returns the update of an upstream's entry, or None if
        it is not listed. The list has to be complete: an outage drops entries
        that come back.
        """
        now_s = self._clock.monotonic()
        for upstream, notice in list(self._notices.items()):
            written = find_written(upstream)
            if notice.is_outdated(written, now_s):
                self._discard(upstream, notice, now_s)
            elif written is not None:
                notice.written = max(written, notice.written or 0)
                notice.unlisted_s = None
            elif notice.unlisted_s is None:
                notice.unlisted_s = now_s
        self._update_gauge()

    def _discard(self, upstream: str, notice: _Notice, now_s: float) -> None:
        del self._notices[upstream]
        log.bind(
            upstream=upstream,
            age_ms=round((now_s - notice.given_s) * _MS_PER_S),
        ).info("leaving notice discarded")
        for callback in self._on_discard:
            callback(upstream)

    def _update_gauge(self) -> None:
        self._metrics.gauge("upstreams.leaving_notices", len(self._notices))


def _do_nothing() -> None:
    pass
