"""Pace of engines, and what it costs a generation to run on a slow one.

Answers a load of long and short streams on engines that differ in speed: long
ones go to fast engines, short ones to the memory that this leaves free on slow
ones. Costs are fractions of an engine's memory. They are 0 where engines are
about equally fast and none pauses for nearly too long.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from statistics import fmean, median

import attrs

GAP_WINDOW_MS = 500.0  # over which gaps between events are averaged
GAP_SMOOTHING = 0.5  # weight of the newest window
MIN_GAPS = 8  # in a window, to tell gaps with a prompt in them from others
PAUSE_WINDOW_MS = 4_000.0  # for which long pauses tell of further ones
# Engines whose gaps are longer than the typical one by at most this share are
# not slow: their gaps differ as much by what they run.
EVEN_RANGE = 0.25
NEAR_SHARE = 0.75  # of a limit; less is no risk of exceeding it
# Cost of a generation that will certainly be late. One that fails costs 1,
# and a late one is of some use to its caller.
LATE_COST = 0.5
# A slow engine is preferred to a fast one with this much less free memory.
MAX_HOLDING_COST = 0.5


Update = Callable[[Sequence[float], float], float]


def smooth_mean(gaps_ms: Sequence[float], known_ms: float) -> float:
    """Return the smoothed mean; `known_ms` is 0 for the first window."""
    return _smooth(fmean(gaps_ms), known_ms)


def smooth_usual(gaps_ms: Sequence[float], known_ms: float) -> float:
    """Return the smoothed gap between events while no prompt is computed.

    Prompts lengthen single gaps, up to most of them on a crowded engine, so
    the lower quartile counts. A few gaps can only show that an engine is
    faster than known. Returns 0 if they show nothing.
    """
    if len(gaps_ms) >= MIN_GAPS:
        return _smooth(_lower_quartile(gaps_ms), known_ms)
    return min(known_ms, *gaps_ms)


@attrs.define
class GapAverage:
    """Average the gaps between events over windows of time."""

    gap_ms: float = 0.0  # as of the last window that has ended; 0: unknown
    seen_ms: float = -1e9  # when the last gap was observed
    window_start_ms: float = 0.0
    update: Update = smooth_mean
    _window: list[float] = attrs.field(factory=list)

    def observe(self, gap_ms: float, now_ms: float, gaps: int = 1) -> None:
        """Record a number of equal gaps."""
        self.seen_ms = now_ms
        self._window += [gap_ms] * gaps
        if now_ms - self.window_start_ms < GAP_WINDOW_MS:
            return
        self.gap_ms = self.estimate_ms()
        self.window_start_ms = now_ms
        self._window.clear()

    def estimate_ms(self) -> float:
        """Return what it would be if the current window ended now."""
        if not self._window:
            return self.gap_ms
        return self.update(self._window, self.gap_ms)


@attrs.frozen(kw_only=True)
class PauseCounts:
    """Count gaps between events, and the long ones among them."""

    gaps: int = 0
    pauses: int = 0
    pause_ms: float = 0.0  # sum over the pauses

    def __add__(self, other: PauseCounts) -> PauseCounts:
        """Return the sum."""
        return PauseCounts(
            gaps=self.gaps + other.gaps,
            pauses=self.pauses + other.pauses,
            pause_ms=self.pause_ms + other.pause_ms,
        )


@attrs.define
class RecentPauses:
    """Hold the counts of the last `PAUSE_WINDOW_MS`, at least half of it."""

    _half_start_ms: float = -1e9
    _current: PauseCounts = PauseCounts()
    _previous: PauseCounts = PauseCounts()

    def add(self, counts: PauseCounts, now_ms: float) -> None:
        """Add new counts."""
        self._advance(now_ms)
        self._current += counts

    def counts(self, now_ms: float) -> PauseCounts:
        """Return the recent counts."""
        self._advance(now_ms)
        return self._current + self._previous

    def _advance(self, now_ms: float) -> None:
        half_ms = PAUSE_WINDOW_MS / 2
        halves = (now_ms - self._half_start_ms) // half_ms
        if halves < 1:
            return
        self._previous = self._current if halves == 1 else PauseCounts()
        self._current = PauseCounts()
        self._half_start_ms += halves * half_ms


def is_long(gap_ms: float, max_gap_ms: float) -> bool:
    """Return whether a gap is a pause that is nearly too long, or longer."""
    return gap_ms >= max_gap_ms * NEAR_SHARE


@attrs.frozen(kw_only=True)
class EnginePace:
    """Hold how fast an engine sends events, as measured by some hosts."""

    gap_ms: float  # mean time between events
    long_pause_ms: float = 0.0  # mean length of recent long pauses
    pause_share: float = 0.0  # of recent gaps that were long pauses


@attrs.frozen(kw_only=True)
class PoolPace:
    """Hold what the engines of a pool are compared with."""

    median_gap_ms: float  # assumed for engines that are not known
    even_gap_ms: float  # longest gap of an engine that is not slow

    def slowness(self, gap_ms: float) -> float:
        """Return how many times as long it takes; 1 if it is not slow."""
        return max(gap_ms / self.even_gap_ms, 1.0)


@attrs.frozen(kw_only=True)
class StreamDemand:
    """Describe the stream that an engine is looked for."""

    memory_share: float  # of an engine, that it needs in the end
    prompt_share: float  # of an engine's memory, that its prompt needs
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
        return self.pool.slowness(self._pace(engine).gap_ms)

    def pausing_prompt_share(self, engine: str) -> float:
        """Return the share of its prompt that makes other streams late."""
        pace = self._pace(engine)
        if not pace.pause_share:
            return 0.0
        too_long = _risk(pace.long_pause_ms, self.demand.max_gap_ms)
        return self.demand.prompt_share * too_long

    def _pace(self, engine: str) -> EnginePace:
        pace = self.paces.get(engine)
        if pace is None:
            return EnginePace(gap_ms=self.pool.median_gap_ms)
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
    median_ms = median(gaps_ms)
    lowest_ms = _lower_quartile(gaps_ms) / (1 - EVEN_RANGE)
    typical_ms = min(median_ms, lowest_ms)
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
    """Return the probability of at least one pause that is too long."""
    if not pace.pause_share:
        return 0.0
    too_long = _risk(pace.long_pause_ms, demand.max_gap_ms)
    return 1 - math.exp(-demand.events * pace.pause_share * too_long)


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


def _smooth(value: float, known: float) -> float:
    return known + GAP_SMOOTHING * (value - known) if known else value


def _lower_quartile(values: Collection[float]) -> float:
    return sorted(values)[len(values) // 4]


def _risk(value: float, limit: float) -> float:
    """Return the probability, 0 to 1, that a value exceeds its limit."""
    share = value / limit
    return min(max((share - NEAR_SHARE) / (1 - NEAR_SHARE), 0.0), 1.0)
