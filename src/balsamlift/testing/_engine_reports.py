"""Delayed reports of an engine: its load and its cache events."""

from __future__ import annotations

import random
from collections import deque

import attrs

from balsamlift.clock import Clock
from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._lagged import Lagged
from balsamlift.testing._prefix_cache import CacheEvent
from balsamlift.testing._settings import EngineSettings

_LOAD_INTERVAL_S = 0.02
_MAX_EVENTS = 10_000


@attrs.frozen(kw_only=True)
class LoadReport:
    """Answer `GET /v1/load`; `at_ms` is the wall time of the values."""

    at_ms: int
    running: int
    queued: int
    memory_used: int
    memory_total: int
    preemptions: int


@attrs.frozen(kw_only=True)
class CachePage:
    """Answer `GET /v1/cache`; a gap in the numbering is a lost event."""

    next: int
    events: list[CacheEvent]


class EngineReports:
    """Keep the reports of an engine until their lag has passed."""

    def __init__(
        self, settings: EngineSettings, clock: Clock, model: EngineModel
    ) -> None:
        """Start with the load of an idle engine."""
        self._settings = settings
        self._clock = clock
        self._model = model
        self._loads = Lagged(clock, self._load_now())
        self._load_recorded_at = 0.0
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=_MAX_EVENTS
        )
        self._loss_random = random.Random(settings.seed)

    def load(self) -> LoadReport:
        """Return the load of `load_lag_ms` ago."""
        return self._loads.get(self._settings.load_lag_ms)

    def cache_page(self, seq: int) -> CachePage:
        """Return the events from `seq` on that are older than the lag."""
        until = self._clock.monotonic() - self._settings.cache_lag_ms / 1_000
        events = [
            event
            for at, event in self._events
            if event.seq >= seq and at <= until
        ]
        next_seq = events[-1].seq + 1 if events else seq
        return CachePage(next=next_seq, events=events)

    def record_load(self) -> None:
        """Record the present load, at most once per interval while busy."""
        now = self._clock.monotonic()
        if (
            self._model.idle
            or now - self._load_recorded_at >= _LOAD_INTERVAL_S
        ):
            self._load_recorded_at = now
            self._loads.set(self._load_now())

    def record_events(self) -> None:
        """Take the model's cache events and drop a random part of them."""
        now = self._clock.monotonic()
        for event in self._model.take_events():
            if self._loss_random.random() >= self._settings.cache_gap_ratio:
                self._events.append((now, event))

    def _load_now(self) -> LoadReport:
        load = self._model.load()
        at_ms = int(self._clock.now().timestamp() * 1_000)
        return LoadReport(at_ms=at_ms, **attrs.asdict(load))
