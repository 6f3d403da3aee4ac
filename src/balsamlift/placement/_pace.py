"""Pace of engines, and what it costs a generation to run on a slow one.

Answers a load of long and short streams on engines that differ in speed: long
ones go to fast engines, short ones to the memory that this leaves free on slow
ones. Costs are fractions of an engine's memory. They are 0 where engines are
about equally fast and none pauses for nearly too long.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from statistics import median

import attrs

GAP_WINDOW_MS = 500.0  # over which gaps between events are averaged
GAP_SMOOTHING = 0.5  # weight of the newest window
# The longest pause is that of the current half of this time and of the half
# before it.
LONG_PAUSE_WINDOW_MS = 4_000.0
# Engines whose gaps are longer than the typical one by at most this share are
# not slow: their gaps differ as much by what they run.
EVEN_RANGE = 0.25
NEAR_SHARE = 0.75  # of a limit; less is no risk of exceeding it
# Cost of a generation that will certainly be late. One that fails costs 1,
# and a late one is of some use to its caller.
LATE_COST = 0.5
# A slow engine is preferred to a fast one with this much less free memory.
MAX_HOLDING_COST = 0.5


@attrs.define
class GapAverage:
    """Average the gaps between events over windows, and smooth the means."""

    gap_ms: float = 0.0  # smoothed; 0 until the first window has ended
    seen_ms: float = -1e9  # when the last gap was observed
    window_start_ms: float = 0.0
    _window_sum_ms: float = 0.0
    _window_count: int = 0

    def observe(self, gap_ms: float, now_ms: float, gaps: int = 1) -> None:
        """Record a number of equal gaps."""
        self.seen_ms = now_ms
        self._window_sum_ms += gap_ms * gaps
        self._window_count += gaps
        if now_ms - self.window_start_ms < GAP_WINDOW_MS:
            return
        mean_ms = self._window_sum_ms / self._window_count
        if self.gap_ms:
            self.gap_ms += GAP_SMOOTHING * (mean_ms - self.gap_ms)
        else:
            self.gap_ms = mean_ms
        self.window_start_ms = now_ms
        self._window_sum_ms = 0.0
        self._window_count = 0

    def estimate_ms(self) -> float:
        """Return the smoothed gap, or the mean until the first window ends."""
        if self.gap_ms or not self._window_count:
            return self.gap_ms
        return self._window_sum_ms / self._window_count


@attrs.define
class LongestPause:
    """Hold the longest pause of the last `LONG_PAUSE_WINDOW_MS`."""

    _half_start_ms: float = -1e9
    _current_ms: float = 0.0
    _previous_ms: float = 0.0

    def observe(self, pause_ms: float, now_ms: float) -> None:
        """Record a pause."""
        self._advance(now_ms)
        self._current_ms = max(self._current_ms, pause_ms)

    def longest_ms(self, now_ms: float) -> float:
        """Return the longest pause, or 0 if there was none."""
        self._advance(now_ms)
        return max(self._current_ms, self._previous_ms)

    def _advance(self, now_ms: float) -> None:
        half_ms = LONG_PAUSE_WINDOW_MS / 2
        halves = (now_ms - self._half_start_ms) // half_ms
        if halves < 1:
            return
        self._previous_ms = self._current_ms if halves == 1 else 0.0
        self._current_ms = 0.0
        self._half_start_ms += halves * half_ms


@attrs.frozen(kw_only=True)
class EnginePace:
    """Hold how fast an engine sends events, as measured by some hosts."""

    gap_ms: float  # mean time between events
    long_pause_ms: float = 0.0  # longest of the last seconds; 0: none
    hosts: int = 1  # that measured the gap


@attrs.frozen(kw_only=True)
class PoolPace:
    """Hold what the engines of a pool are compared with."""

    median_gap_ms: float  # assumed for engines that are not known
    even_gap_ms: float  # longest gap of an engine that is not slow


@attrs.frozen(kw_only=True)
class StreamDemand:
    """Describe the stream that an engine is looked for."""

    memory_share: float  # of an engine, that it needs in the end
    events: int  # expected
    target_ms: float  # from its arrival to its first event
    max_gap_ms: float  # longest pause between events
    deadline_ms: float  # monotonic


@attrs.frozen(kw_only=True)
class PaceRating:
    """Rate engines for one stream by how fast they are."""

    demand: StreamDemand
    paces: Mapping[str, EnginePace]  # of the known engines, by name
    pool: PoolPace
    now_ms: float

    def cost(self, engine: str) -> float:
        """Return the cost of running the stream at the engine's pace."""
        return pace_cost(
            self.demand, self._pace(engine), self.pool, self.now_ms
        )

    def slowness(self, engine: str) -> float:
        """Return how many times as long it takes; 1 if it is not slow."""
        return max(self._pace(engine).gap_ms / self.pool.even_gap_ms, 1.0)

    def _pace(self, engine: str) -> EnginePace:
        pace = self.paces.get(engine)
        if pace is None:
            return EnginePace(gap_ms=self.pool.median_gap_ms, hosts=0)
        return pace


def rate_paces(
    demand: StreamDemand, paces: Mapping[str, EnginePace], now_ms: float
) -> PaceRating | None:
    """Return how to rate the engines of a pool, None if none is known."""
    pool = compare_gaps([pace.gap_ms for pace in paces.values()])
    if pool is None:
        return None
    return PaceRating(demand=demand, paces=paces, pool=pool, now_ms=now_ms)


def compare_gaps(gaps_ms: Collection[float]) -> PoolPace | None:
    """Return what to compare engines with, or None if no gap is known.

    The typical gap is the median, unless the lowest quartile shows that more
    than half of the engines may be slow.
    """
    if not gaps_ms:
        return None
    ordered = sorted(gaps_ms)
    median_ms = median(ordered)
    quartile_ms = ordered[len(ordered) // 4]
    typical_ms = min(median_ms, quartile_ms / (1 - EVEN_RANGE))
    return PoolPace(
        median_gap_ms=median_ms, even_gap_ms=typical_ms * (1 + EVEN_RANGE)
    )


def pace_cost(
    demand: StreamDemand, pace: EnginePace, pool: PoolPace, now_ms: float
) -> float:
    """Return the cost of running a stream at this pace."""
    late_probability = max(
        _pause_probability(demand, pace),
        _deadline_probability(demand, pace, pool, now_ms),
    )
    return _holding_cost(demand, pace, pool) + LATE_COST * late_probability


def _holding_cost(
    demand: StreamDemand, pace: EnginePace, pool: PoolPace
) -> float:
    """Return the cost of the time for which memory is held longer.

    Requests that need it meanwhile wait for their target at most, so that
    time is counted in targets.
    """
    extra_ms = max(pace.gap_ms - pool.even_gap_ms, 0.0) * demand.events
    targets = extra_ms / max(demand.target_ms, 1.0)
    return min(demand.memory_share * targets, MAX_HOLDING_COST)


def _pause_probability(demand: StreamDemand, pace: EnginePace) -> float:
    """Return the probability of a pause that is too long."""
    if not demand.max_gap_ms:
        return 0.0
    run_ms = demand.events * pace.gap_ms
    met_probability = 1 - math.exp(-run_ms / LONG_PAUSE_WINDOW_MS)
    return met_probability * _risk(pace.long_pause_ms, demand.max_gap_ms)


def _deadline_probability(
    demand: StreamDemand, pace: EnginePace, pool: PoolPace, now_ms: float
) -> float:
    """Return by how much a slow engine makes a missed deadline likelier."""
    if pace.gap_ms <= pool.even_gap_ms:
        return 0.0
    left_ms = max(demand.deadline_ms - now_ms, 1.0)
    here = _risk(demand.events * pace.gap_ms, left_ms)
    elsewhere = _risk(demand.events * pool.even_gap_ms, left_ms)
    return here - elsewhere


def _risk(value: float, limit: float) -> float:
    """Return the probability, 0 to 1, that a value exceeds its limit."""
    share = value / limit
    return min(max((share - NEAR_SHARE) / (1 - NEAR_SHARE), 0.0), 1.0)
