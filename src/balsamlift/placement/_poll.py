"""Poll the engines for their load and cache events, at a low rate."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import attrs
import msgspec
from loguru import logger

from balsamlift._http import CallError, HttpClient
from balsamlift.clock import Clock
from balsamlift.placement._engine import LoadReport
from balsamlift.placement._needs import Upstream
from balsamlift.placement._scheduler import Scheduler

log = logger.bind(part="placement")

POLL_MS = 1_000.0  # between two polls of one engine
POLLS_PER_S = 16.0  # of one host at most, over all engines
TIMEOUT_MS = 1_000


@attrs.frozen
class CacheEvent:
    """Hold one event of `GET /v1/cache`."""

    kind: str
    prefix: str


@attrs.frozen
class CacheAnswer:
    """Hold the answer of `GET /v1/cache`."""

    next: int
    events: list[CacheEvent]


class LoadPoll:
    """Run one poll per engine at a time and tell the scheduler."""

    def __init__(self, clock: Clock, scheduler: Scheduler) -> None:
        """Begin with no polls."""
        self._clock = clock
        self._scheduler = scheduler
        self._http = HttpClient()
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._due_ms: dict[str, float] = {}
        self._cache_next: dict[str, int] = {}

    def look(self, upstreams: Mapping[str, Upstream]) -> None:
        """Begin the polls that are due."""
        now_ms = self._clock.monotonic() * 1_000
        engines = [u for u in upstreams.values() if u.kind == "engine"]
        every_ms = max(POLL_MS, 1_000 * len(engines) / POLLS_PER_S)
        self._forget(upstreams)
        for engine in engines:
            running = self._polls.get(engine.name)
            if running is not None and not running.done():
                continue
            if now_ms >= self._due_ms.get(engine.name, 0.0):
                self._due_ms[engine.name] = now_ms + every_ms
                poll = asyncio.create_task(self._poll(engine))
                self._polls[engine.name] = poll

    async def stop(self) -> None:
        """End all polls."""
        for poll in self._polls.values():
            poll.cancel()
        await asyncio.gather(*self._polls.values(), return_exceptions=True)
        self._http.close()

    def _forget(self, upstreams: Mapping[str, Upstream]) -> None:
        for name in self._due_ms.keys() - upstreams.keys():
            del self._due_ms[name]
            self._cache_next.pop(name, None)
            self._polls.pop(name, None)

    async def _poll(self, engine: Upstream) -> None:
        try:
            await self._poll_load(engine)
            await self._poll_cache(engine)
        except (CallError, msgspec.MsgspecError) as error:
            log.debug("No load from {}: {}.", engine.name, error)

    async def _poll_load(self, engine: Upstream) -> None:
        url = f"http://{engine.address}/v1/load"
        answer = await self._http.call("GET", url, timeout_ms=TIMEOUT_MS)
        if answer.status != 200:
            return
        report = answer.decode(LoadReport)
        now_ms = self._clock.monotonic() * 1_000
        self._scheduler.report(engine.pool, engine.name, report, now_ms)

    async def _poll_cache(self, engine: Upstream) -> None:
        start = self._cache_next.get(engine.name, 0)
        url = f"http://{engine.address}/v1/cache?from={start}"
        answer = await self._http.call("GET", url, timeout_ms=TIMEOUT_MS)
        if answer.status != 200:
            return
        cache = answer.decode(CacheAnswer)
        self._cache_next[engine.name] = cache.next
        for event in cache.events:
            self._scheduler.cache_event(
                engine.pool,
                engine.name,
                event.prefix,
                stored=event.kind == "stored",
            )
