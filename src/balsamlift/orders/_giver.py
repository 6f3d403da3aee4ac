"""Bring the engines of one pool to what the preset in force says."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

import attrs
from loguru import logger

from balsamlift._http import HttpClient
from balsamlift.clock import Clock
from balsamlift.exceptions import OrderLostError, OrderRefusedError
from balsamlift.orders._engine import (
    EngineState,
    is_as_wanted,
    make_order,
    read_state,
    send_order,
)
from balsamlift.peers import Upstream, Upstreams
from balsamlift.presets import PoolPreset
from balsamlift.settings import OrderSettings
from balsamlift.timeline import Timeline

log = logger.bind(part="orders")

MS_PER_S = 1_000


@attrs.frozen(kw_only=True)
class Wanted:
    """Hold what one pool shall be, and by which generation."""

    generation: int
    pool: PoolPreset


@attrs.frozen(kw_only=True)
class Means:
    """Hold what giving orders needs.

    `fence(generation)` returns the fencing number as long as this host may
    order for that generation for the time that one order takes, else None.
    """

    clock: Clock
    http: HttpClient
    timeline: Timeline
    upstreams: Upstreams
    settings: OrderSettings
    fence: Callable[[int], int | None]
    holds_lease: Callable[[], bool]


class PoolGiver:
    """Sweep over the engines of one pool, a bounded number at a time."""

    def __init__(
        self, pool: str, wanted: Callable[[], Wanted | None], means: Means
    ) -> None:
        """`wanted()` returns what the preset in force says now."""
        self._pool = pool
        self._wanted = wanted
        self._means = means
        self._looked = False  # at every engine, under this lease
        self._ordered: set[str] = set()  # and not seen as wanted since
        self._brought: set[str] = set()  # engines seen as wanted
        self._brought_for = 0  # generation

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            wanted = self._wanted()
            if wanted and self._means.fence(wanted.generation) is not None:
                await self._sweep(wanted)
            elif not self._means.holds_lease():
                self._looked = False
            await self._sleep(self._means.settings.sweep_ms)

    async def _sweep(self, wanted: Wanted) -> None:
        if wanted.generation != self._brought_for:
            self._brought.clear()
            self._brought_for = wanted.generation
        engines = [
            upstream
            for upstream in self._means.upstreams.in_pool(self._pool)
            if upstream.kind == "engine"
        ]
        if not self._looked:
            await self._look(engines)
        # First what may be loading yet for another generation or holder.
        engines.sort(key=lambda upstream: upstream.name not in self._ordered)
        rest = iter(engines)
        # Never all engines at once: some capacity is left on a switch.
        at_once = min(self._means.settings.loads_at_once, len(engines) - 1)
        async with asyncio.TaskGroup() as group:
            for _ in range(max(1, at_once)):
                group.create_task(self._bring_all(rest, wanted))

    async def _look(self, engines: list[Upstream]) -> None:
        """Find what is loading by orders of the holder before."""
        for upstream in engines:
            state = await self._read(upstream)
            if state is not None and state.loading:
                self._ordered.add(upstream.name)
            await self._sleep(self._means.settings.read_ms)
        self._looked = True

    async def _bring_all(
        self, rest: Iterator[Upstream], wanted: Wanted
    ) -> None:
        while self._still(wanted):
            upstream = next(rest, None)
            if upstream is None:
                return
            await self._bring(upstream, wanted)
            await self._sleep(self._means.settings.read_ms)

    def _still(self, wanted: Wanted) -> bool:
        if self._wanted() != wanted:
            return False
        return self._means.fence(wanted.generation) is not None

    async def _bring(self, upstream: Upstream, wanted: Wanted) -> None:
        """Bring one engine to the wanted state, however often it takes."""
        settings = self._means.settings
        clock = self._means.clock
        give_up_s = clock.monotonic() + settings.load_ms / MS_PER_S
        order_at_s = clock.monotonic()
        differed = False
        while self._still(wanted) and clock.monotonic() < give_up_s:
            state = await self._read(upstream)
            if state is None or state.draining:
                return
            if is_as_wanted(state, wanted.pool):
                self._note_brought(upstream, wanted, differed)
                return
            differed = True
            if clock.monotonic() >= order_at_s:
                await self._order(upstream, wanted)
                order_at_s = clock.monotonic() + settings.repeat_ms / MS_PER_S
            await self._sleep(settings.poll_ms)

    async def _read(self, upstream: Upstream) -> EngineState | None:
        settings = self._means.settings
        return await read_state(self._means.http, upstream, settings.send_ms)

    async def _order(self, upstream: Upstream, wanted: Wanted) -> None:
        means = self._means
        fence = means.fence(wanted.generation)
        if fence is None:
            return
        self._ordered.add(upstream.name)
        order = make_order(wanted.pool, wanted.generation, fence)
        means.timeline.record(
            "order_sent",
            upstream=upstream.name,
            generation=wanted.generation,
            fence=fence,
            model=wanted.pool.model,
            version=wanted.pool.version,
        )
        try:
            await send_order(
                means.http, upstream, order, means.settings.send_ms
            )
        except OrderRefusedError as error:
            log.warning("{}.", error)
            means.timeline.record(
                "order_refused",
                upstream=upstream.name,
                generation=wanted.generation,
                fence=fence,
            )
        except OrderLostError as error:
            log.warning("{}.", error)

    def _note_brought(
        self, upstream: Upstream, wanted: Wanted, differed: bool
    ) -> None:
        if differed and upstream.name in self._brought:
            log.warning("{} had left its wanted state.", upstream.name)
            self._means.timeline.record(
                "order_repaired",
                upstream=upstream.name,
                generation=wanted.generation,
            )
        self._brought.add(upstream.name)
        self._ordered.discard(upstream.name)

    async def _sleep(self, delay_ms: int) -> None:
        await self._means.clock.sleep(delay_ms / MS_PER_S)
