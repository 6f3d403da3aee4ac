"""Take slow engines out and let them return step by step."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import median

from balsamlift.placement._engine import Engine
from balsamlift.placement._policy import Policy

FRESH_MS = 2_000.0  # gaps older than this say nothing
LEAST_ENGINES = 3  # with fresh gaps, to tell which one is slow
FORGIVEN_AFTER = 4  # return times without trouble


def eject_slow(
    engines: Sequence[Engine], policy: Policy, now_ms: float
) -> None:
    """Eject engines far slower than the median, at most half of them."""
    fresh = [e for e in engines if now_ms - e.gap_seen_ms < FRESH_MS]
    if len(fresh) < LEAST_ENGINES:
        return
    usual_ms = median(e.gap_ms for e in fresh)
    closed = sum(e.is_closed(now_ms) for e in engines)
    for engine in fresh:
        if engine.is_closed(now_ms):
            continue
        if engine.gap_ms > usual_ms * policy.eject_ratio:
            if 2 * (closed + 1) <= len(engines):
                engine.eject(policy, now_ms)
                closed += 1
        elif now_ms - engine.returned_ms > FORGIVEN_AFTER * policy.return_ms:
            engine.ejections = 0
