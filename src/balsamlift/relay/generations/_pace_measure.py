"""Pace of one engine as one host measures and publishes it."""

from __future__ import annotations

import attrs

from balsamlift.placement import (
    GapAverage,
    PauseCounts,
    RecentPauses,
    is_long,
    smooth_usual,
)

# The other hosts are told a value that moved by this share.
PUBLISH_CHANGE = 0.2
CHECK_INTERVAL_MS = 500.0  # between two checks whether to publish

_US_PER_MS = 1_000.0


@attrs.frozen(kw_only=True)
class PaceValues:
    """Hold the pace of an engine in whole numbers that add up over hosts."""

    gap_us: int = 0  # usual time between events
    weight: int = 0  # of this measure: recent gaps, in powers of 4
    pauses: int = 0  # recent long pauses
    pause_ms: int = 0  # sum over them

    @property
    def weighted_us(self) -> int:
        """Return the gap times its weight."""
        return self.gap_us * self.weight

    def is_close_to(self, published: PaceValues) -> bool:
        """Return whether the other hosts need not know the difference."""
        return (
            self.weight == published.weight
            and _is_close(self.gap_us, published.gap_us)
            and _is_close(self.pauses, published.pauses)
            and _is_close(self.pause_ms, published.pause_ms)
        )


class PaceMeasure:
    """Measure one engine by the events of the streams of one host."""

    def __init__(self, known_gap_ms: float, now_ms: float) -> None:
        """Start from a gap that others have measured; 0 if unknown."""
        self._gaps = GapAverage(
            gap_ms=known_gap_ms, window_start_ms=now_ms, update=smooth_usual
        )
        self._pauses = RecentPauses()
        self._seen_ms = now_ms
        self._published = PaceValues()
        self._checked_ms = now_ms

    def observe(
        self,
        gap_ms: float,
        gaps: int,
        max_gap_ms: float,
        now_ms: float,
        *,
        is_reading: bool,
    ) -> None:
        """Record equal gaps of a stream that bears up to `max_gap_ms`.

        While the engine `is_reading` prompts, gaps change no usual gap that
        is known.
        """
        self._seen_ms = now_ms
        if not is_reading or not self._gaps.gap_ms:
            self._gaps.observe(gap_ms, now_ms, gaps)
        pauses = gaps if is_long(gap_ms, max_gap_ms) else 0
        counts = PauseCounts(
            gaps=gaps, pauses=pauses, pause_ms=pauses * gap_ms
        )
        self._pauses.add(counts, now_ms)

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the last gap."""
        return now_ms - self._seen_ms

    def values(self, now_ms: float) -> PaceValues:
        """Return the present values."""
        gap_us = round(self._gaps.estimate_ms() * _US_PER_MS)
        counts = self._pauses.counts(now_ms)
        if not gap_us:
            return PaceValues()
        return PaceValues(
            gap_us=gap_us,
            weight=_round_to_power_of_4(counts.gaps),
            pauses=counts.pauses,
            pause_ms=round(counts.pause_ms),
        )

    def take_to_publish(self, now_ms: float) -> PaceValues | None:
        """Return the values if it is time to publish them, else None."""
        if now_ms - self._checked_ms < CHECK_INTERVAL_MS:
            return None
        self._checked_ms = now_ms
        values = self.values(now_ms)
        if values.is_close_to(self._published):
            return None
        self._published = values
        return values


def _round_to_power_of_4(gaps: int) -> int:
    """Return the highest power of 4 up to `gaps`, but at least 1."""
    exponent = (max(gaps, 1).bit_length() - 1) // 2
    return 1 << (2 * exponent)


def _is_close(value: int, published: int) -> bool:
    return abs(value - published) <= PUBLISH_CHANGE * published
