"""Time between the events of one stream, as its engine sends them."""

from __future__ import annotations

from balsamlift.peers import Upstream
from balsamlift.relay.generations._engine_paces import EnginePaces
from balsamlift.relay.generations._stream_stats import StreamStats

_MS_PER_S = 1_000.0


class StreamPace:
    """Measure the pace of the engines that run one generation, in turn."""

    def __init__(self, paces: EnginePaces, max_gap_ms: float) -> None:
        """Record in `paces` unless the route bears any pause (0)."""
        self._paces = paces
        self._is_measured = max_gap_ms > 0
        self._source: tuple[str, int] | None = None  # of the last event
        self._last_s = 0.0
        self._events = 0
        # Whether the next event has waited here for the caller to read: its
        # time does not tell when the engine sent it.
        self.is_delayed = False

    def record(self, upstream: Upstream | None, stats: StreamStats) -> None:
        """Record the time since the last event of the same engine.

        `upstream` is None while another host carries the generation.
        """
        events = stats.events - self._events
        elapsed_ms = (stats.last_event_s - self._last_s) * _MS_PER_S
        source = (upstream.name, stats.moves) if upstream else None
        if self.is_delayed or not self._is_measured:
            source = None
        if upstream and source and source == self._source and events > 0:
            gap_ms = elapsed_ms / events
            self._paces.observe(upstream, gap_ms, events)
        self._source = source
        self._last_s = stats.last_event_s
        self._events = stats.events
