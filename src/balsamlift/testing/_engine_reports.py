"""What an engine reports late: its load and its cache events."""

from __future__ import annotations

import random
from collections import deque

import attrs

from balsamlift.clock import Clock
from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._lagged import Lagged
from balsamlift.testing._prefix_cache import CacheEvent
from balsamlift.testing._settings import EngineSettings

_LOAD_EVERY_S = 0.02
_KEPT_EVENTS = 10_000


@attrs.frozen(kw_only=True)
class LoadReport:
    """Answer `GET /v1/load`; `at_ms` is the wall time it was true."""

    at_ms: int
    running: int
    queued: int
    memory_used: int
    memory_total: int
    preemptions: int


@attrs.frozen(kw_only=True)
class CachePage:
    """Answer `GET /v1/cache`; events missing between were lost."""

    next: int
    events: list[CacheEvent]


class EngineReports:
    """Keep what an engine reports until readers may see it."""

    def __init__(
        self, settings: EngineSettings, clock: Clock, model: EngineModel
    ) -> None:
        """Begin with the load of an idle engine."""
        self._settings = settings
        self._clock = clock
        self._model = model
        self._loads = Lagged(clock, self._load_now())
        self._load_at = 0.0
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=_KEPT_EVENTS
        )
        self._gaps = random.Random(settings.seed)

    def load(self) -> LoadReport:
        """Return the load as it was a while ago."""
        return self._loads.get(self._settings.load_lag_ms)

    def cache_page(self, seq: int) -> CachePage:
        """Return the late events from `seq` on, without those lost."""
        until = self._clock.monotonic() - self._settings.cache_lag_ms / 1_000
        events = [
            event
            for at, event in self._events
            if event.seq >= seq and at <= until
        ]
        following = events[-1].seq + 1 if events else seq
        return CachePage(next=following, events=events)

    def note_load(self) -> None:
        """Keep the present load, unless one was kept just now."""
        now = self._clock.monotonic()
        if self._model.idle or now - self._load_at >= _LOAD_EVERY_S:
            self._load_at = now
            self._loads.set(self._load_now())

    def note_events(self) -> None:
        """Take the model's cache events and lose some of them."""
        now = self._clock.monotonic()
        for event in self._model.take_events():
            if self._gaps.random() >= self._settings.cache_gap_ratio:
                self._events.append((now, event))

    def _load_now(self) -> LoadReport:
        load = self._model.load()
        at_ms = int(self._clock.now().timestamp() * 1_000)
        return LoadReport(at_ms=at_ms, **attrs.asdict(load))
