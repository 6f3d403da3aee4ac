"""Estimate the lengths of answers from those observed."""

from __future__ import annotations

from bisect import bisect_right
from collections import OrderedDict

from hdrh.histogram import HdrHistogram

MAX_LENGTH_TOKENS = 262_144
POINTS = 64
ROTATE_EVERY = 1_000  # observations; the previous histogram is merged in
REFRESH_EVERY = 16  # observations between two updates of `points`
MIN_OBSERVATIONS = 24  # before a distribution is used
MAX_ESTIMATES = 512  # kept; the least recently used is evicted
TAIL_GROWTH = 0.5  # of the tokens produced, past the longest answer seen

_PERCENTILES = [100.0 * (i + 0.5) / POINTS for i in range(POINTS)]


class LengthDistribution:
    """Track the distribution of observed answer lengths.

    `points` are equally likely lengths in ascending order.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.points: list[int] = []
        self.count = 0
        self._recent = _histogram()
        self._previous = _histogram()

    def observe(self, tokens: int) -> None:
        """Record the length of a complete answer."""
        self._recent.record_value(min(max(tokens, 1), MAX_LENGTH_TOKENS))
        self.count += 1
        if self.count % REFRESH_EVERY == 0 or self.count < REFRESH_EVERY:
            self._refresh()
        if self._recent.total_count >= ROTATE_EVERY:
            self._previous = self._recent
            self._recent = _histogram()

    def _refresh(self) -> None:
        merged = _histogram()
        merged.add(self._recent)
        merged.add(self._previous)
        values = merged.get_percentile_to_value_dict(_PERCENTILES)
        self.points = sorted(int(value) for value in values.values())


class LengthEstimates:
    """Keep a length distribution per (workspace, kind) and per kind."""

    def __init__(self) -> None:
        """Start without observations."""
        self._pairs: OrderedDict[tuple[str, str], LengthDistribution] = (
            OrderedDict()
        )
        self._kinds: OrderedDict[str, LengthDistribution] = OrderedDict()

    def observe(self, workspace: str, kind: str, tokens: int) -> None:
        """Record the length of a complete answer."""
        pair = (workspace, kind)
        if pair not in self._pairs:
            self._pairs[pair] = LengthDistribution()
        if kind not in self._kinds:
            self._kinds[kind] = LengthDistribution()
        self._pairs.move_to_end(pair)
        self._kinds.move_to_end(kind)
        self._pairs[pair].observe(tokens)
        self._kinds[kind].observe(tokens)
        while len(self._pairs) > MAX_ESTIMATES:
            self._pairs.popitem(last=False)
        while len(self._kinds) > MAX_ESTIMATES:
            self._kinds.popitem(last=False)

    def points(self, workspace: str, kind: str, limit: int) -> list[int]:
        """Return equally likely lengths, in ascending order.

        Falls back to the kind, then to default lengths up to half of
        `limit`.
        """
        lengths = self._pairs.get((workspace, kind))
        if lengths is None or lengths.count < MIN_OBSERVATIONS:
            lengths = self._kinds.get(kind)
        if lengths is None or lengths.count < MIN_OBSERVATIONS:
            return _default_points(limit)
        return lengths.points


def survival(points: list[int], produced: int, ahead: int) -> float:
    """Return the probability that an answer exceeds `produced + ahead`.

    The answer has `produced` tokens already. Past the longest length seen,
    the distribution is assumed to have a heavy tail.
    """
    longer = len(points) - bisect_right(points, produced)
    if longer == 0:
        return 1.0 if ahead <= produced * TAIL_GROWTH else 0.0
    return (len(points) - bisect_right(points, produced + ahead)) / longer


def expected_remaining(points: list[int], produced: int) -> float:
    """Return the expected number of tokens still to be produced."""
    first = bisect_right(points, produced)
    longer = points[first:]
    if not longer:
        return max(produced * TAIL_GROWTH, 1.0)
    return sum(longer) / len(longer) - produced


def _default_points(limit: int) -> list[int]:
    steps = range(1, 9)
    return [max(limit * step // 16, 1) for step in steps]


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LENGTH_TOKENS, 2)
