"""Pace of each engine, measured by all hosts together."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream, Upstreams
from balsamlift.placement import (
    RATIOS,
    GapRatios,
    PaceRating,
    StreamDemand,
    compare_gaps,
    rate_paces,
)
from balsamlift.relay._balance import Balancer
from balsamlift.relay._count_keys import prefill_key
from balsamlift.relay.generations._pace_measure import (
    PaceMeasure,
    PaceValues,
    RatioMeasure,
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


def ratio_keys(pool: str) -> list[str]:
    """Return the keys of gaps in a pool: of all, and from each ratio on."""
    return [f"{pool}/gaps", *(f"{pool}/gaps/{ratio:g}" for ratio in RATIOS)]


@attrs.define
class _Lengths:
    """Sum up whole streams."""

    events: int = 0
    tokens: int = 0  # as expected when they started

    @property
    def events_per_token(self) -> float:
        return self.events / self.tokens if self.tokens else 1.0


@attrs.frozen(kw_only=True)
class EnginePaceRow:
    """Show the pace of one engine to an operator."""

    upstream: str
    gap_ms: float
    slowness: float  # compared with the engines of its pool; 1: not slow
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
        self._ratios: dict[str, RatioMeasure] = {}  # by pool
        self._lengths: dict[str, _Lengths] = {}  # by pool
        upstreams.on_change(self.discard_expired)

    def observe(self, upstream: Upstream, gap_ms: float, gaps: int) -> None:
        """Record equal gaps between events of one stream."""
        now_ms = self._now_ms()
        measure = self._measures.get(upstream.name)
        if measure is None:
            measure = self._start_measure(upstream.name, now_ms)
        is_reading = self._balancer.load(prefill_key(upstream.name)) > 0
        ratios = measure.observe(gap_ms, gaps, now_ms, is_reading=is_reading)
        self._publish(upstream.name, measure, now_ms)
        if ratios.gaps:
            self._add_ratios(upstream.pool, ratios, now_ms)

    def record_length(
        self, pool: str, events: int, expected_tokens: int
    ) -> None:
        """Record the events of a whole stream, to expect those of others."""
        lengths = self._lengths.setdefault(pool, _Lengths())
        lengths.events += events
        lengths.tokens += expected_tokens

    def find_gap_ms(self, upstream: str) -> float | None:
        """Return the usual gap as all hosts measured it, None if unknown."""
        own = self._own_values(upstream)
        weight = own.weight + self._others(gap_weight_key(upstream))
        gap_us = own.weighted_us + self._others(gap_key(upstream))
        if weight <= 0 or gap_us <= 0:
            return None
        return gap_us / weight / _US_PER_MS

    def find_ratios(self, pool: str) -> GapRatios:
        """Return the ratios of the gaps that all hosts saw in a pool."""
        counts = [self._others(key) for key in ratio_keys(pool)]
        others = GapRatios(gaps=counts[0], at_least=tuple(counts[1:]))
        own = self._ratios.get(pool)
        return others + own.values(self._now_ms()) if own else others

    def rate(
        self, pool: str, upstreams: Iterable[Upstream], demand: StreamDemand
    ) -> PaceRating | None:
        """Return how to rate these engines, None if no pace is known."""
        gaps_ms = {u.name: self.find_gap_ms(u.name) for u in upstreams}
        known = {name: gap_ms for name, gap_ms in gaps_ms.items() if gap_ms}
        lengths = self._lengths.get(pool, _Lengths())
        demand = attrs.evolve(
            demand, events=demand.events * lengths.events_per_token
        )
        ratios = self.find_ratios(pool)
        return rate_paces(demand, known, ratios, self._now_ms())

    def snapshot(self) -> list[EnginePaceRow]:
        """Return the known engines, the slowest first."""
        by_pool: dict[str, dict[str, float]] = {}
        for upstream in self._upstreams.all():
            gap_ms = self.find_gap_ms(upstream.name)
            if gap_ms is not None:
                by_pool.setdefault(upstream.pool, {})[upstream.name] = gap_ms
        rows = [row for gaps in by_pool.values() for row in self._rows(gaps)]
        return sorted(rows, key=lambda row: (-row.slowness, -row.gap_ms))

    def describe(self, upstream: Upstream) -> dict[str, float | None]:
        """Return the pace of an engine as fields for the log."""
        gap_ms = self.find_gap_ms(upstream.name)
        if gap_ms is None:
            return {}
        pause_ms = gap_ms * self.find_ratios(upstream.pool).rare_ratio()
        return {
            "gap_ms": round(gap_ms, 1),
            "expected_pause_ms": round(pause_ms),
            "gap_age_ms": self._own_age_ms(upstream.name),
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
        for pool, ratios in self._ratios.items():
            self._publish_ratios(pool, ratios, now_ms)
        rows = self.snapshot()
        self._metrics.gauge("generations.engines_paced", len(rows))
        self._metrics.gauge(
            "generations.engines_slow", sum(row.slowness > 1 for row in rows)
        )

    def _start_measure(self, upstream: str, now_ms: float) -> PaceMeasure:
        """Start from what the other hosts have measured, if anything."""
        measure = PaceMeasure(self.find_gap_ms(upstream) or 0.0, now_ms)
        self._measures[upstream] = measure
        return measure

    def _own_values(self, upstream: str) -> PaceValues:
        measure = self._find_recent(upstream)
        return measure.values() if measure else PaceValues()

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

    def _rows(self, gaps_ms: dict[str, float]) -> list[EnginePaceRow]:
        """Return the rows of the known engines of one pool."""
        pool = compare_gaps(gaps_ms.values())
        return [
            EnginePaceRow(
                upstream=upstream,
                gap_ms=gap_ms,
                slowness=pool.slowness(gap_ms) if pool else 1.0,
                own_age_ms=self._own_age_ms(upstream),
            )
            for upstream, gap_ms in gaps_ms.items()
        ]

    def _add_ratios(self, pool: str, ratios: GapRatios, now_ms: float) -> None:
        measure = self._ratios.setdefault(pool, RatioMeasure(now_ms))
        measure.add(ratios, now_ms)
        self._publish_ratios(pool, measure, now_ms)

    def _publish_ratios(
        self, pool: str, measure: RatioMeasure, now_ms: float
    ) -> None:
        values = measure.take_to_publish(now_ms)
        if values is None:
            return
        counts = (values.gaps, *values.at_least)
        for key, n in zip(ratio_keys(pool), counts, strict=True):
            self._balancer.share_value(key, n)

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

    def _now_ms(self) -> float:
        return self._clock.monotonic() * _MS_PER_S
