"""Measures of gaps between events as one host takes and publishes them."""

from __future__ import annotations

import attrs

from balsamlift.placement import (
    GapAverage,
    GapRatios,
    RecentRatios,
    ratio_of,
    smooth_usual,
)

# The other hosts are told a value that moved by this share.
PUBLISH_CHANGE = 0.2
CHECK_INTERVAL_MS = 500.0  # between two checks whether to publish a pace
RATIO_CHECK_INTERVAL_MS = 2_000.0  # the same for the ratios of a pool

_US_PER_MS = 1_000.0


@attrs.frozen(kw_only=True)
class PaceValues:
    """Hold the pace of an engine in whole numbers that add up over hosts."""

    gap_us: int = 0  # usual time between events
    weight: int = 0  # of this measure: gaps of its windows, in powers of 4

    @property
    def weighted_us(self) -> int:
        """Return the gap times its weight."""
        return self.gap_us * self.weight

    def is_close_to(self, published: PaceValues) -> bool:
        """Return whether the other hosts need not know the difference."""
        return self.weight == published.weight and _is_close(
            self.gap_us, published.gap_us
        )


class PaceMeasure:
    """Measure one engine by the events of the streams of one host."""

    def __init__(self, known_gap_ms: float, now_ms: float) -> None:
        """Start from a gap that others have measured; 0 if unknown."""
        self._gaps = GapAverage(
            gap_ms=known_gap_ms, window_start_ms=now_ms, update=smooth_usual
        )
        self._published = PaceValues()
        self._checked_ms = now_ms
        self._seen_ms = now_ms
        self._count = 0  # of gaps; halved at each check

    def observe(
        self, gap_ms: float, gaps: int, now_ms: float, *, is_reading: bool
    ) -> GapRatios:
        """Record equal gaps of a stream; return their ratios to the usual.

        While the engine `is_reading` prompts, gaps change no usual gap that
        is known.
        """
        self._seen_ms = now_ms
        self._count += gaps
        if not is_reading or not self._gaps.gap_ms:
            self._gaps.observe(gap_ms, now_ms, gaps)
        usual_ms = self._gaps.gap_ms
        return ratio_of(gap_ms, usual_ms, gaps) if usual_ms else GapRatios()

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the last gap."""
        return now_ms - self._seen_ms

    def values(self) -> PaceValues:
        """Return the present values."""
        gap_us = round(self._gaps.estimate_ms() * _US_PER_MS)
        if not gap_us:
            return PaceValues()
        weight = _round_to_power_of_4(self._count)
        return PaceValues(gap_us=gap_us, weight=weight)

    def take_to_publish(self, now_ms: float) -> PaceValues | None:
        """Return the values if it is time to publish them, else None."""
        if now_ms - self._checked_ms < CHECK_INTERVAL_MS:
            return None
        self._checked_ms = now_ms
        values = self.values()
        self._count //= 2
        if values.is_close_to(self._published):
            return None
        self._published = values
        return values


class RatioMeasure:
    """Count the ratios of all gaps that one host saw in one pool."""

    def __init__(self, now_ms: float) -> None:
        """Start without any."""
        self._recent = RecentRatios()
        self._published = GapRatios()
        self._checked_ms = now_ms

    def add(self, ratios: GapRatios, now_ms: float) -> None:
        """Add new counts."""
        self._recent.add(ratios, now_ms)

    def values(self, now_ms: float) -> GapRatios:
        """Return the present counts."""
        return self._recent.sum(now_ms)

    def take_to_publish(self, now_ms: float) -> GapRatios | None:
        """Return the counts if it is time to publish them, else None."""
        if now_ms - self._checked_ms < RATIO_CHECK_INTERVAL_MS:
            return None
        self._checked_ms = now_ms
        values = self.values(now_ms)
        if _is_close(values.gaps, self._published.gaps):
            return None
        self._published = values
        return values


def _round_to_power_of_4(gaps: int) -> int:
    """Return the power of 4 that is nearest to `gaps`."""
    return 1 << (gaps.bit_length() // 2 * 2)


def _is_close(value: int, published: int) -> bool:
    return abs(value - published) <= PUBLISH_CHANGE * published
