"""Pace of engines, and what it costs a generation to run on a slow one.

Answers a load of long and short streams on engines that differ in speed: long
ones go to fast engines, and no prompt to a slow one where it would make other
streams pause for too long. Costs are fractions of an engine's memory. They
are 0 for engines that are not slow.
"""

from __future__ import annotations

import bisect
import functools
import math
from collections.abc import Callable, Collection, Mapping, Sequence
from statistics import fmean, median

import attrs

GAP_WINDOW_MS = 500.0  # over which gaps between events are averaged
GAP_SMOOTHING = 0.5  # weight of the newest window
MIN_GAPS = 8  # in a window, to tell gaps with a prompt in them from others
# Multiples of the usual gap by which longer gaps are counted.
RATIOS = (1.5, 2.0, 2.5, 3.0, 3.5, 4.0, 5.0, 7.0, 10.0, 14.0)
RATIO_WINDOW_MS = 60_000.0  # for which they are counted
MIN_RATIO_GAPS = 200  # fewer say nothing about long ones
# Pauses for prompts are at least this share of all gaps: about one in a few
# long streams. What is rarer has other causes.
RARE_SHARE = 1 / 1_000
# Engines whose gaps are longer than the typical one by at most this share are
# not slow: their gaps differ as much by what they run.
EVEN_RANGE = 0.25
NEAR_SHARE = 0.75  # of a limit; less is no risk of exceeding it
# Cost of a generation that will certainly be late, and of making another one
# late. All costs together are no higher, as an engine that fails all requests
# costs 1.
LATE_COST = 1.0
MIN_MEMORY_SHARE = 0.01  # that a stream is taken to need
# A slow engine is preferred to a fast one with this much less free memory.
MAX_HOLDING_COST = 0.5

# Turns the gaps of a window and what is known into what is known next.
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
        return _smooth(sorted(gaps_ms)[len(gaps_ms) // 4], known_ms)
    return min(known_ms, _smooth(min(gaps_ms), known_ms))


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
class GapRatios:
    """Count gaps by how many times as long as the usual gap they were.

    The ratio does not depend on how fast the engine was.
    """

    gaps: int = 0
    at_least: tuple[int, ...] = (0,) * len(RATIOS)  # for each of `RATIOS`

    def __add__(self, other: GapRatios) -> GapRatios:
        """Return the sum."""
        pairs = zip(self.at_least, other.at_least, strict=True)
        return GapRatios(
            gaps=self.gaps + other.gaps,
            at_least=tuple(a + b for a, b in pairs),
        )

    def share_beyond(self, ratio: float) -> float:
        """Return the share of gaps that are longer than that; 1 below 1."""
        if self.gaps < MIN_RATIO_GAPS:
            return 0.0
        shares = [1.0, *(n / self.gaps for n in self.at_least), 0.0]
        edges = [1.0, *RATIOS, RATIOS[-1] * 2]
        above = bisect.bisect_left(edges, ratio)
        if above in (0, len(edges)):
            return float(above == 0)
        low, high = edges[above - 1 : above + 1]
        part = (ratio - low) / (high - low)
        return shares[above - 1] + part * (shares[above] - shares[above - 1])

    def rare_ratio(self) -> float:
        """Return the highest ratio that more than rare gaps reach, or 1."""
        limit = max(self.gaps * RARE_SHARE, 1.0)
        if self.gaps < MIN_RATIO_GAPS:
            return 1.0
        counts = zip(RATIOS, self.at_least, strict=True)
        return max((r for r, n in counts if n >= limit), default=1.0)


def ratio_of(gap_ms: float, usual_ms: float, gaps: int = 1) -> GapRatios:
    """Return the counts of a number of equal gaps."""
    at_least = (gaps * (gap_ms >= r * usual_ms) for r in RATIOS)
    return GapRatios(gaps=gaps, at_least=tuple(at_least))


@attrs.define
class RecentRatios:
    """Hold the ratios of the last `RATIO_WINDOW_MS`, at least half of it."""

    _half_start_ms: float = -1e9
    _current: GapRatios = GapRatios()
    _previous: GapRatios = GapRatios()

    def add(self, ratios: GapRatios, now_ms: float) -> None:
        """Add new counts."""
        self._advance(now_ms)
        self._current += ratios

    def sum(self, now_ms: float) -> GapRatios:
        """Return the recent counts."""
        self._advance(now_ms)
        return self._current + self._previous

    def _advance(self, now_ms: float) -> None:
        half_ms = RATIO_WINDOW_MS / 2
        halves = (now_ms - self._half_start_ms) // half_ms
        if halves < 1:
            return
        self._previous = self._current if halves == 1 else GapRatios()
        self._current = GapRatios()
        self._half_start_ms += halves * half_ms


@attrs.frozen(kw_only=True)
class PoolPace:
    """Hold what the engines of a pool are compared with."""

    median_gap_ms: float
    even_gap_ms: float  # longest usual gap of an engine that is not slow

    def slowness(self, gap_ms: float) -> float:
        """Return how many times as long it takes; 1 if it is not slow."""
        return max(gap_ms / self.even_gap_ms, 1.0)


@attrs.frozen(kw_only=True)
class StreamDemand:
    """Describe the stream that an engine is looked for."""

    memory_share: float  # of an engine, that it needs in the end
    events: float  # expected
    target_ms: float  # from its arrival to its first event
    max_gap_ms: float  # longest pause between events
    deadline_ms: float  # monotonic


@attrs.frozen(kw_only=True)
class PaceRating:
    """Rate engines for one stream by how fast they are.

    All that is not slow costs nothing, so that memory in use decides.
    """

    demand: StreamDemand
    gaps_ms: Mapping[str, float]  # usual ones, by engine; known ones only
    ratios: GapRatios  # of the pool
    pool: PoolPace
    now_ms: float

    def cost(self, engine: str, used_share: float) -> float:
        """Return the cost of running the stream at the engine's pace.

        `used_share` of the engine's memory is in use. An engine that nobody
        has measured costs what the others cost on average.
        """
        gap_ms = self.gaps_ms.get(engine)
        own, per_stream = (
            self._mean_costs if gap_ms is None else self._costs_at(gap_ms)
        )
        streams = used_share / max(self.demand.memory_share, MIN_MEMORY_SHARE)
        return min(own + per_stream * min(streams, 1.0), LATE_COST)

    def slowness(self, engine: str) -> float:
        """Return how many times as long it takes; 1 if it is not slow."""
        gap_ms = self.gaps_ms.get(engine, self.pool.median_gap_ms)
        return self.pool.slowness(gap_ms)

    @functools.cached_property
    def _mean_costs(self) -> tuple[float, float]:
        costs = [self._costs_at(gap_ms) for gap_ms in self.gaps_ms.values()]
        own, per_stream = zip(*costs, strict=True)
        return fmean(own), fmean(per_stream)

    def _costs_at(self, gap_ms: float) -> tuple[float, float]:
        """Return its own cost, and that to a stream on the engine."""
        even_ms = self.pool.even_gap_ms
        if gap_ms <= even_ms:
            return 0.0, 0.0
        late = self._late_probability(gap_ms) - self._late_probability(even_ms)
        delays = self._pausing_risk(gap_ms) - self._pausing_risk(even_ms)
        holding = _holding_cost(self.demand, gap_ms - even_ms)
        return holding + LATE_COST * late, LATE_COST * delays

    def _late_probability(self, gap_ms: float) -> float:
        """Return the probability of a pause or an end that is too late."""
        demand = self.demand
        left_ms = max(demand.deadline_ms - self.now_ms, 1.0)
        share = self.ratios.share_beyond(demand.max_gap_ms / gap_ms)
        pause_probability = 1 - math.pow(1 - share, demand.events)
        end_risk = _risk(demand.events * gap_ms, left_ms)
        return max(pause_probability, end_risk)

    def _pausing_risk(self, gap_ms: float) -> float:
        """Return the risk that its prompt makes another stream late.

        While the engine reads a prompt, streams have the longest pauses that
        are usual in the pool.
        """
        pause_ms = gap_ms * self.ratios.rare_ratio()
        return _risk(pause_ms, self.demand.max_gap_ms)


def rate_paces(
    demand: StreamDemand,
    gaps_ms: Mapping[str, float],
    ratios: GapRatios,
    now_ms: float,
) -> PaceRating | None:
    """Return how to rate the engines of a pool, None if none is known."""
    pool = compare_gaps(gaps_ms.values())
    if pool is None:
        return None
    return PaceRating(
        demand=demand, gaps_ms=gaps_ms, ratios=ratios, pool=pool, now_ms=now_ms
    )


def compare_gaps(gaps_ms: Collection[float]) -> PoolPace | None:
    """Return what to compare engines with, or None if no gap is known.

    The typical gap is the median, unless the fastest tenth shows that most
    engines are slow.
    """
    if not gaps_ms:
        return None
    median_ms = median(gaps_ms)
    fast_ms = sorted(gaps_ms)[len(gaps_ms) // 10]
    typical_ms = min(median_ms, fast_ms / (1 - EVEN_RANGE))
    return PoolPace(
        median_gap_ms=median_ms, even_gap_ms=typical_ms * (1 + EVEN_RANGE)
    )


def _holding_cost(demand: StreamDemand, longer_gap_ms: float) -> float:
    """Return the cost of the time for which memory is held longer.

    Requests that need it meanwhile wait for their target at most, so that
    time is counted in targets.
    """
    targets = longer_gap_ms * demand.events / max(demand.target_ms, 1.0)
    return min(demand.memory_share * targets, MAX_HOLDING_COST)


def _smooth(value: float, known: float) -> float:
    return known + GAP_SMOOTHING * (value - known) if known else value


def _risk(value: float, limit: float) -> float:
    """Return the probability, 0 to 1, that a value exceeds its limit."""
    share = value / limit
    return min(max((share - NEAR_SHARE) / (1 - NEAR_SHARE), 0.0), 1.0)
