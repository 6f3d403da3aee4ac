"""Statistics of one generation."""

from __future__ import annotations

import attrs

_MS_PER_S = 1_000


@attrs.define
class StreamStats:
    """Statistics of a generation as its caller saw it, for the log."""

    last_event_s: float  # monotonic; when it started, before the first one
    first_ms: int | None = None  # from arrival to the first forwarded event
    gap_ms: int = 0  # longest pause between events
    events: int = 0  # forwarded
    moves: int = 0

    def record(self, events: int, now_s: float, arrived_s: float) -> None:
        """Record that the caller has so many events now."""
        gap_ms = round((now_s - self.last_event_s) * _MS_PER_S)
        self.events = events
        self.last_event_s = now_s
        if self.first_ms is None:
            self.first_ms = round((now_s - arrived_s) * _MS_PER_S)
        else:
            self.gap_ms = max(self.gap_ms, gap_ms)
