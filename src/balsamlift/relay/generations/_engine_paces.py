"""Pace of each engine, measured by all hosts together."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from balsamlift.clock import Clock
from balsamlift.peers import Upstream, Upstreams
from balsamlift.placement import (
    EnginePace,
    GapAverage,
    LongestPause,
    PaceRating,
    StreamDemand,
    rate_paces,
)
from balsamlift.relay._balance import Balancer

# Age after which a measured pace says nothing about an engine any more.
MAX_AGE_S = 5.0
# The other hosts are told a value that moved by this share since the last
# time, at most this often.
PUBLISH_CHANGE = 0.2
PUBLISH_INTERVAL_S = 0.5
# Share of the longest pause that a route bears from which pauses are kept.
KEPT_PAUSE_SHARE = 0.5

_MS_PER_S = 1_000.0
_US_PER_MS = 1_000.0


def gap_key(upstream: str) -> str:
    """Return the key of the time between events there, in microseconds."""
    return f"{upstream}/pause_us"


def gap_hosts_key(upstream: str) -> str:
    """Return the key that counts the hosts that measured that time."""
    return f"{upstream}/pauses"


def long_pause_key(upstream: str) -> str:
    """Return the key of the longest pause there, in milliseconds."""
    return f"{upstream}/long_pause_ms"


def long_pause_hosts_key(upstream: str) -> str:
    """Return the key that counts the hosts that saw a long pause."""
    return f"{upstream}/long_pauses"


@attrs.define
class _Measured:
    """Hold what this host measured of one engine, and what it published."""

    gaps: GapAverage
    pauses: LongestPause = attrs.field(factory=LongestPause)
    published_s: float = float("-inf")
    published_gap_us: int = 0
    published_pause_ms: int = 0


@attrs.frozen(kw_only=True)
class EnginePaceRow:
    """Show the pace of one engine to an operator."""

    upstream: str
    gap_ms: float
    long_pause_ms: float
    hosts: int  # that measured it, including this one
    own_age_ms: int | None  # of this host's measure; None: it has none


class EnginePaces:
    """Measure engines, and share what was measured with the other hosts."""

    def __init__(
        self, balancer: Balancer, upstreams: Upstreams, clock: Clock
    ) -> None:
        """Publish through `balancer`; forget engines that are gone."""
        self._balancer = balancer
        self._upstreams = upstreams
        self._clock = clock
        self._measured: dict[str, _Measured] = {}
        upstreams.on_change(self.discard_expired)

    def observe(
        self, upstream: str, gap_ms: float, gaps: int, max_gap_ms: float
    ) -> None:
        """Record equal gaps between events of one stream.

        The route of the stream bears pauses up to `max_gap_ms`.
        """
        now_ms = self._now_ms()
        measured = self._measured.get(upstream)
        if measured is None:
            measured = _Measured(GapAverage(window_start_ms=now_ms))
            self._measured[upstream] = measured
        measured.gaps.observe(gap_ms, now_ms, gaps)
        if gap_ms >= max_gap_ms * KEPT_PAUSE_SHARE:
            measured.pauses.observe(gap_ms, now_ms)
        self._publish(upstream, measured, now_ms)

    def find(self, upstream: str) -> EnginePace | None:
        """Return the pace as all hosts measured it, None if none did."""
        measured = self._find_recent(upstream)
        gap_us = self._others(gap_key(upstream))
        hosts = self._others(gap_hosts_key(upstream))
        pause_ms = float(self._others(long_pause_key(upstream)))
        pause_hosts = self._others(long_pause_hosts_key(upstream))
        if measured is not None:
            gap_us += round(measured.gaps.estimate_ms() * _US_PER_MS)
            hosts += 1
            own_pause_ms = measured.pauses.longest_ms(self._now_ms())
            pause_ms += own_pause_ms
            pause_hosts += own_pause_ms > 0
        if hosts <= 0 or gap_us <= 0:
            return None
        return EnginePace(
            gap_ms=gap_us / hosts / _US_PER_MS,
            long_pause_ms=pause_ms / pause_hosts if pause_hosts > 0 else 0.0,
            hosts=hosts,
        )

    def rate(
        self, upstreams: Iterable[Upstream], demand: StreamDemand
    ) -> PaceRating | None:
        """Return how to rate these engines, None if no pace is known."""
        paces = {u.name: self.find(u.name) for u in upstreams}
        known = {name: pace for name, pace in paces.items() if pace}
        return rate_paces(demand, known, self._now_ms())

    def snapshot(self) -> list[EnginePaceRow]:
        """Return the known engines, the slowest first."""
        rows = [self._row(upstream.name) for upstream in self._upstreams.all()]
        known = [row for row in rows if row is not None]
        return sorted(known, key=lambda row: -row.gap_ms)

    def describe(self, upstream: str) -> dict[str, float | None]:
        """Return the pace of an engine as fields for the log."""
        row = self._row(upstream)
        if row is None:
            return {}
        return {
            "pace_ms": round(row.gap_ms, 1),
            "long_pause_ms": round(row.long_pause_ms),
            "pace_hosts": row.hosts,
            "pace_age_ms": row.own_age_ms,
        }

    def discard_expired(self) -> None:
        """Discard old values and those of engines that are gone."""
        live = {upstream.name for upstream in self._upstreams.all()}
        for name, measured in list(self._measured.items()):
            if name not in live or self._is_old(measured):
                del self._measured[name]
                self._share(name, 0, 0)
            else:
                self._publish(name, measured, self._now_ms())

    def _find_recent(self, upstream: str) -> _Measured | None:
        measured = self._measured.get(upstream)
        if measured is None or self._is_old(measured):
            return None
        return measured

    def _is_old(self, measured: _Measured) -> bool:
        return self._age_ms(measured) > MAX_AGE_S * _MS_PER_S

    def _age_ms(self, measured: _Measured) -> float:
        return self._now_ms() - measured.gaps.seen_ms

    def _row(self, upstream: str) -> EnginePaceRow | None:
        pace = self.find(upstream)
        if pace is None:
            return None
        measured = self._find_recent(upstream)
        return EnginePaceRow(
            upstream=upstream,
            gap_ms=pace.gap_ms,
            long_pause_ms=pace.long_pause_ms,
            hosts=pace.hosts,
            own_age_ms=round(self._age_ms(measured)) if measured else None,
        )

    def _others(self, key: str) -> int:
        return self._balancer.load(key) - self._balancer.own_load(key)

    def _publish(
        self, upstream: str, measured: _Measured, now_ms: float
    ) -> None:
        now_s = now_ms / _MS_PER_S
        if now_s - measured.published_s < PUBLISH_INTERVAL_S:
            return
        gap_us = max(round(measured.gaps.estimate_ms() * _US_PER_MS), 1)
        pause_ms = round(measured.pauses.longest_ms(now_ms))
        if _is_close(gap_us, measured.published_gap_us) and _is_close(
            pause_ms, measured.published_pause_ms
        ):
            return
        measured.published_s = now_s
        measured.published_gap_us = gap_us
        measured.published_pause_ms = pause_ms
        self._share(upstream, gap_us, pause_ms)

    def _share(self, upstream: str, gap_us: int, pause_ms: int) -> None:
        share = self._balancer.share_value
        share(gap_key(upstream), gap_us)
        share(gap_hosts_key(upstream), int(gap_us > 0))
        share(long_pause_key(upstream), pause_ms)
        share(long_pause_hosts_key(upstream), int(pause_ms > 0))

    def _now_ms(self) -> float:
        return self._clock.monotonic() * _MS_PER_S


def _is_close(value: int, published: int) -> bool:
    return abs(value - published) <= PUBLISH_CHANGE * published
