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
from balsamlift.placement._protocols import Upstream
from balsamlift.placement._scheduler import Scheduler

log = logger.bind(part="placement")

POLL_INTERVAL_MS = 1_000.0  # of one engine
MAX_POLLS_PER_S = 16.0  # by one host, over all engines
TIMEOUT_MS = 1_000


@attrs.frozen
class CacheEvent:
    """Hold an event of `GET /v1/cache`: a prefix was stored or evicted."""

    kind: str
    prefix: str


@attrs.frozen
class CacheAnswer:
    """Hold the response body of `GET /v1/cache`."""

    next: int
    events: list[CacheEvent]


class LoadPoller:
    """Poll engines and pass the results to the scheduler.

    At most one poll per engine runs at a time.
    """

    def __init__(self, clock: Clock, scheduler: Scheduler) -> None:
        """Start without polls."""
        self._clock = clock
        self._scheduler = scheduler
        self._http = HttpClient()
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._due_ms: dict[str, float] = {}
        self._cache_next: dict[str, int] = {}

    def start_due_polls(self, upstreams: Mapping[str, Upstream]) -> None:
        """Start the polls that are due."""
        now_ms = self._clock.monotonic() * 1_000
        engines = [u for u in upstreams.values() if u.kind == "engine"]
        interval_ms = max(
            POLL_INTERVAL_MS, 1_000 * len(engines) / MAX_POLLS_PER_S
        )
        self._forget_removed(upstreams)
        for engine in engines:
            running = self._polls.get(engine.name)
            if running is not None and not running.done():
                continue
            if now_ms >= self._due_ms.get(engine.name, 0.0):
                self._due_ms[engine.name] = now_ms + interval_ms
                poll = asyncio.create_task(self._poll(engine))
                self._polls[engine.name] = poll

    async def stop(self) -> None:
        """Cancel all polls and close the HTTP client."""
        for poll in self._polls.values():
            poll.cancel()
        await asyncio.gather(*self._polls.values(), return_exceptions=True)
        self._http.close()

    def _forget_removed(self, upstreams: Mapping[str, Upstream]) -> None:
        for name in self._due_ms.keys() - upstreams.keys():
            del self._due_ms[name]
            self._cache_next.pop(name, None)
            self._polls.pop(name, None)

    async def _poll(self, engine: Upstream) -> None:
        try:
            await self._poll_load(engine)
            await self._poll_cache(engine)
        except (CallError, msgspec.MsgspecError) as error:
            log.debug("Could not poll the load of {}: {}.", engine.name, error)

    async def _poll_load(self, engine: Upstream) -> None:
        url = f"http://{engine.address}/v1/load"
        answer = await self._http.call("GET", url, timeout_ms=TIMEOUT_MS)
        if answer.status != 200:
            return
        report = answer.decode(LoadReport)
        now_ms = self._clock.monotonic() * 1_000
        self._scheduler.apply_report(engine.pool, engine.name, report, now_ms)

    async def _poll_cache(self, engine: Upstream) -> None:
        start = self._cache_next.get(engine.name, 0)
        url = f"http://{engine.address}/v1/cache?from={start}"
        answer = await self._http.call("GET", url, timeout_ms=TIMEOUT_MS)
        if answer.status != 200:
            return
        cache = answer.decode(CacheAnswer)
        self._cache_next[engine.name] = cache.next
        for event in cache.events:
            self._scheduler.apply_cache_event(
                engine.pool,
                engine.name,
                event.prefix,
                stored=event.kind == "stored",
            )
