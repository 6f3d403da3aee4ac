"""Learn how long answers are, online."""

from __future__ import annotations

from bisect import bisect_right
from collections import OrderedDict

from hdrh.histogram import HdrHistogram

LONGEST_TOKENS = 262_144
POINTS = 64
ROTATE_EVERY = 1_000  # observations; the histogram before counts too
REFRESH_EVERY = 16  # observations between two tables
ENOUGH = 24  # observations before a pair is trusted over its kind
ESTIMATES = 512  # pairs kept; the least recently used goes first
TAIL_GROWTH = 0.5  # of the tokens produced, past the longest one seen

_PERCENTILES = [100.0 * (i + 0.5) / POINTS for i in range(POINTS)]


class Lengths:
    """Hold the lengths seen of one sort of answer.

    `points` are equally likely lengths in ascending order.
    """

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self.points: list[int] = []
        self.count = 0
        self._recent = _histogram()
        self._before = _histogram()

    def observe(self, tokens: int) -> None:
        """Record one whole answer."""
        self._recent.record_value(min(max(tokens, 1), LONGEST_TOKENS))
        self.count += 1
        if self.count % REFRESH_EVERY == 0 or self.count < REFRESH_EVERY:
            self._refresh()
        if self._recent.total_count >= ROTATE_EVERY:
            self._before = self._recent
            self._recent = _histogram()

    def _refresh(self) -> None:
        both = _histogram()
        both.add(self._recent)
        both.add(self._before)
        values = both.get_percentile_to_value_dict(_PERCENTILES)
        self.points = sorted(int(value) for value in values.values())


class LengthEstimates:
    """Find the lengths to expect of a (workspace, kind)."""

    def __init__(self) -> None:
        """Begin with nothing learned."""
        self._pairs: OrderedDict[tuple[str, str], Lengths] = OrderedDict()
        self._kinds: OrderedDict[str, Lengths] = OrderedDict()

    def observe(self, workspace: str, kind: str, tokens: int) -> None:
        """Learn from one whole answer."""
        pair = (workspace, kind)
        if pair not in self._pairs:
            self._pairs[pair] = Lengths()
        if kind not in self._kinds:
            self._kinds[kind] = Lengths()
        self._pairs.move_to_end(pair)
        self._kinds.move_to_end(kind)
        self._pairs[pair].observe(tokens)
        self._kinds[kind].observe(tokens)
        while len(self._pairs) > ESTIMATES:
            self._pairs.popitem(last=False)
        while len(self._kinds) > ESTIMATES:
            self._kinds.popitem(last=False)

    def points(self, workspace: str, kind: str, limit: int) -> list[int]:
        """Return equally likely lengths, ascending.

        Falls back to the kind, then to a guess below `limit`.
        """
        lengths = self._pairs.get((workspace, kind))
        if lengths is None or lengths.count < ENOUGH:
            lengths = self._kinds.get(kind)
        if lengths is None or lengths.count < ENOUGH:
            return _guess(limit)
        return lengths.points


def survival(points: list[int], produced: int, ahead: int) -> float:
    """Return the chance to run over `produced + ahead`, being at `produced`.

    Past the longest length seen, the tail is taken as heavy.
    """
    alive = len(points) - bisect_right(points, produced)
    if alive == 0:
        return 1.0 if ahead <= produced * TAIL_GROWTH else 0.0
    return (len(points) - bisect_right(points, produced + ahead)) / alive


def expected_rest(points: list[int], produced: int) -> float:
    """Return the mean of the tokens still to come."""
    first = bisect_right(points, produced)
    rest = points[first:]
    if not rest:
        return max(produced * TAIL_GROWTH, 1.0)
    return sum(rest) / len(rest) - produced


def _guess(limit: int) -> list[int]:
    steps = range(1, 9)
    return [max(limit * step // 16, 1) for step in steps]


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_TOKENS, 2)
