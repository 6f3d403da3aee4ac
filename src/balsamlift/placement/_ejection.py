"""Detect and eject slow engines (outlier detection)."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import median

from balsamlift.placement._engine import Engine
from balsamlift.placement._policy import Policy

MAX_GAP_AGE_MS = 2_000.0  # older gap measurements are ignored
MIN_ENGINES = 3  # with recent gaps, to tell which one is slow
EJECTIONS_RESET_AFTER = 4  # multiples of `return_ms` without an ejection


def eject_slow(
    engines: Sequence[Engine], policy: Policy, now_ms: float
) -> None:
    """Eject engines far slower than the median.

    At most half of the engines are closed at the same time.
    """
    measured = [e for e in engines if now_ms - e.gap_seen_ms < MAX_GAP_AGE_MS]
    if len(measured) < MIN_ENGINES:
        return
    median_ms = median(e.gap_ms for e in measured)
    closed = sum(e.is_closed(now_ms) for e in engines)
    for engine in measured:
        if engine.is_closed(now_ms):
            continue
        if engine.gap_ms > median_ms * policy.eject_ratio:
            if 2 * (closed + 1) <= len(engines):
                engine.eject(policy, now_ms)
                closed += 1
        elif (
            now_ms - engine.ramp_up_start_ms
            > EJECTIONS_RESET_AFTER * policy.return_ms
        ):
            engine.ejections = 0
