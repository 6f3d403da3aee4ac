"""Pace of each engine, measured by all hosts together."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream, Upstreams
from balsamlift.placement import (
    EnginePace,
    PaceRating,
    StreamDemand,
    compare_gaps,
    rate_paces,
)
from balsamlift.relay._balance import Balancer, prefill_key
from balsamlift.relay.generations._pace_measure import (
    PaceMeasure,
    PaceValues,
)

# Age after which a measured pace says nothing about an engine any more.
MAX_AGE_S = 5.0

_MS_PER_S = 1_000.0
_US_PER_MS = 1_000.0


def gap_key(upstream: str) -> str:
    """Return the key of gaps there, in microseconds, times their weight."""
    return f"{upstream}/pause_us"


def gap_weight_key(upstream: str) -> str:
    """Return the key of the weight of gaps there."""
    return f"{upstream}/pauses"


def long_pause_key(upstream: str) -> str:
    """Return the key of the length of long pauses, in milliseconds."""
    return f"{upstream}/long_pause_ms"


def long_pause_count_key(upstream: str) -> str:
    """Return the key of the number of long pauses."""
    return f"{upstream}/long_pauses"


@attrs.frozen(kw_only=True)
class EnginePaceRow:
    """Show the pace of one engine to an operator."""

    upstream: str
    gap_ms: float
    slowness: float  # compared with the engines of its pool; 1: not slow
    long_pause_ms: float  # mean of recent ones; 0: none
    pause_share: float  # of recent gaps that were long pauses
    own_age_ms: int | None  # of this host's measure; None: it has none


class EnginePaces:
    """Measure engines, and share what was measured with the other hosts."""

    def __init__(
        self,
        balancer: Balancer,
        upstreams: Upstreams,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Publish through `balancer`; forget engines that are gone."""
        self._balancer = balancer
        self._upstreams = upstreams
        self._clock = clock
        self._metrics = metrics
        self._measures: dict[str, PaceMeasure] = {}
        upstreams.on_change(self.discard_expired)

    def observe(
        self, upstream: str, gap_ms: float, gaps: int, max_gap_ms: float
    ) -> None:
        """Record equal gaps between events of one stream.

        The route of the stream bears gaps up to `max_gap_ms`.
        """
        now_ms = self._now_ms()
        measure = self._measures.get(upstream)
        if measure is None:
            measure = self._start_measure(upstream, now_ms)
        is_reading = self._balancer.load(prefill_key(upstream)) > 0
        measure.observe(
            gap_ms, gaps, max_gap_ms, now_ms, is_reading=is_reading
        )
        self._publish(upstream, measure, now_ms)

    def find(self, upstream: str) -> EnginePace | None:
        """Return the pace as all hosts measured it, None if none did."""
        own = self._own_values(upstream)
        weight = own.weight + self._others(gap_weight_key(upstream))
        gap_us = own.weighted_us + self._others(gap_key(upstream))
        pauses = own.pauses + self._others(long_pause_count_key(upstream))
        pause_ms = own.pause_ms + self._others(long_pause_key(upstream))
        if weight <= 0 or gap_us <= 0:
            return None
        return EnginePace(
            gap_ms=gap_us / weight / _US_PER_MS,
            long_pause_ms=pause_ms / pauses if pauses > 0 else 0.0,
            pause_share=min(max(pauses / weight, 0.0), 1.0),
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
        by_pool: dict[str, dict[str, EnginePace]] = {}
        for upstream in self._upstreams.all():
            pace = self.find(upstream.name)
            if pace is not None:
                by_pool.setdefault(upstream.pool, {})[upstream.name] = pace
        rows = [row for paces in by_pool.values() for row in self._rows(paces)]
        return sorted(rows, key=lambda row: (-row.slowness, -row.gap_ms))

    def describe(self, upstream: str) -> dict[str, float | None]:
        """Return the pace of an engine as fields for the log."""
        pace = self.find(upstream)
        if pace is None:
            return {}
        return {
            "pace_ms": round(pace.gap_ms, 1),
            "long_pause_ms": round(pace.long_pause_ms),
            "pause_share": round(pace.pause_share, 4),
            "pace_age_ms": self._own_age_ms(upstream),
        }

    def discard_expired(self) -> None:
        """Discard old values and those of engines that are gone."""
        now_ms = self._now_ms()
        live = {upstream.name for upstream in self._upstreams.all()}
        for name, measure in list(self._measures.items()):
            if name not in live or self._is_old(measure):
                del self._measures[name]
                self._share(name, PaceValues())
            else:
                self._publish(name, measure, now_ms)
        rows = self.snapshot()
        self._metrics.gauge("generations.engines_paced", len(rows))
        self._metrics.gauge(
            "generations.engines_slow", sum(row.slowness > 1 for row in rows)
        )

    def _start_measure(self, upstream: str, now_ms: float) -> PaceMeasure:
        """Start from what the other hosts have measured, if anything."""
        known = self.find(upstream)
        measure = PaceMeasure(known.gap_ms if known else 0.0, now_ms)
        self._measures[upstream] = measure
        return measure

    def _own_values(self, upstream: str) -> PaceValues:
        measure = self._find_recent(upstream)
        return measure.values(self._now_ms()) if measure else PaceValues()

    def _find_recent(self, upstream: str) -> PaceMeasure | None:
        measure = self._measures.get(upstream)
        if measure is None or self._is_old(measure):
            return None
        return measure

    def _is_old(self, measure: PaceMeasure) -> bool:
        return measure.age_ms(self._now_ms()) > MAX_AGE_S * _MS_PER_S

    def _own_age_ms(self, upstream: str) -> int | None:
        measure = self._find_recent(upstream)
        return round(measure.age_ms(self._now_ms())) if measure else None

    def _rows(self, paces: dict[str, EnginePace]) -> list[EnginePaceRow]:
        """Return the rows of the known engines of one pool."""
        pool = compare_gaps([pace.gap_ms for pace in paces.values()])
        return [
            EnginePaceRow(
                upstream=upstream,
                gap_ms=pace.gap_ms,
                slowness=pool.slowness(pace.gap_ms) if pool else 1.0,
                long_pause_ms=pace.long_pause_ms,
                pause_share=pace.pause_share,
                own_age_ms=self._own_age_ms(upstream),
            )
            for upstream, pace in paces.items()
        ]

    def _others(self, key: str) -> int:
        return self._balancer.load(key) - self._balancer.own_load(key)

    def _publish(
        self, upstream: str, measure: PaceMeasure, now_ms: float
    ) -> None:
        values = measure.take_to_publish(now_ms)
        if values is not None:
            self._share(upstream, values)

    def _share(self, upstream: str, values: PaceValues) -> None:
        share = self._balancer.share_value
        share(gap_key(upstream), values.weighted_us)
        share(gap_weight_key(upstream), values.weight)
        share(long_pause_key(upstream), values.pause_ms)
        share(long_pause_count_key(upstream), values.pauses)

    def _now_ms(self) -> float:
        return self._clock.monotonic() * _MS_PER_S
