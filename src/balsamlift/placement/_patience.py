"""How long callers of a stream wait for its next event."""

from __future__ import annotations

MIN_PATIENCE_MS = 2_000.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0


def patience_ms(target_ms: float, max_gap_ms: float) -> float:
    """Return the time without an event after which callers give up.

    `target_ms` and `max_gap_ms` are those of the route.
    """
    return max(
        MIN_PATIENCE_MS,
        target_ms * PATIENCE_TARGETS,
        max_gap_ms * PATIENCE_GAPS,
    )
