"""Reconcile the engines of a pool with the preset in force."""

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
    is_in_desired_state,
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
class DesiredState:
    """Hold the desired state of a pool and the generation that sets it."""

    generation: int
    pool: PoolPreset


@attrs.frozen(kw_only=True)
class ReconcilerContext:
    """Hold the dependencies of the reconcilers.

    `fence(generation)` returns the fencing number if this host may send
    orders for that generation for at least as long as one order takes,
    else None.
    """

    clock: Clock
    http: HttpClient
    timeline: Timeline
    upstreams: Upstreams
    settings: OrderSettings
    fence: Callable[[int], int | None]
    holds_lease: Callable[[], bool]


class PoolReconciler:
    """Reconcile the engines of one pool, a limited number at a time."""

    def __init__(
        self,
        pool: str,
        get_desired: Callable[[], DesiredState | None],
        context: ReconcilerContext,
    ) -> None:
        """Start idle; `get_desired()` returns the state to reach now."""
        self._pool = pool
        self._get_desired = get_desired
        self._context = context
        self._checked_loading = False  # on all engines, under this lease
        self._unconfirmed: set[str] = set()  # ordered, not converged since
        self._converged: set[str] = set()  # seen in the desired state
        self._converged_generation = 0  # of `_converged`

    async def run(self) -> None:
        """Reconcile all engines periodically until cancelled."""
        while True:
            desired = self._get_desired()
            if desired and self._context.fence(desired.generation) is not None:
                await self._sweep(desired)
            elif not self._context.holds_lease():
                self._checked_loading = False
            await self._sleep(self._context.settings.sweep_ms)

    async def _sweep(self, desired: DesiredState) -> None:
        if desired.generation != self._converged_generation:
            self._converged.clear()
            self._converged_generation = desired.generation
        engines = [
            upstream
            for upstream in self._context.upstreams.in_pool(self._pool)
            if upstream.kind == "engine"
        ]
        if not self._checked_loading:
            await self._find_loading(engines)
        # Engines that may still be loading for another generation or lease
        # holder come first.
        engines.sort(
            key=lambda upstream: upstream.name not in self._unconfirmed
        )
        remaining = iter(engines)
        # Never load on all engines at once: a switch leaves some capacity.
        worker_count = min(
            self._context.settings.loads_at_once, len(engines) - 1
        )
        async with asyncio.TaskGroup() as group:
            for _ in range(max(1, worker_count)):
                group.create_task(
                    self._reconcile_remaining(remaining, desired)
                )

    async def _find_loading(self, engines: list[Upstream]) -> None:
        """Find the engines that may load due to orders of another holder."""
        for upstream in engines:
            state = await self._read(upstream)
            if state is None or state.loading:
                self._unconfirmed.add(upstream.name)
            await self._sleep(self._context.settings.read_ms)
        self._checked_loading = True

    async def _reconcile_remaining(
        self, remaining: Iterator[Upstream], desired: DesiredState
    ) -> None:
        while self._is_current(desired):
            upstream = next(remaining, None)
            if upstream is None:
                return
            await self._reconcile(upstream, desired)
            await self._sleep(self._context.settings.read_ms)

    def _is_current(self, desired: DesiredState) -> bool:
        if self._get_desired() != desired:
            return False
        return self._context.fence(desired.generation) is not None

    async def _reconcile(
        self, upstream: Upstream, desired: DesiredState
    ) -> None:
        """Bring an engine to the desired state, repeating the order if needed.

        Gives up after `load_ms`; the next sweep tries again.
        """
        settings = self._context.settings
        clock = self._context.clock
        give_up_s = clock.monotonic() + settings.load_ms / MS_PER_S
        order_at_s = clock.monotonic()
        differed = False
        while self._is_current(desired) and clock.monotonic() < give_up_s:
            state = await self._read(upstream)
            if state is None and self._may_load(upstream):
                await self._sleep(settings.poll_ms)
                continue
            if state is None or state.draining:
                return
            if is_in_desired_state(state, desired.pool):
                self._record_converged(upstream, desired, differed)
                return
            differed = True
            if clock.monotonic() >= order_at_s:
                await self._send_order(upstream, desired)
                order_at_s = clock.monotonic() + settings.repeat_ms / MS_PER_S
            await self._sleep(settings.poll_ms)

    def _may_load(self, upstream: Upstream) -> bool:
        """Return whether an engine that was not read may be loading."""
        if upstream.name not in self._unconfirmed:
            return False
        usable = self._context.upstreams.in_pool(self._pool)
        return any(each.name == upstream.name for each in usable)

    async def _read(self, upstream: Upstream) -> EngineState | None:
        settings = self._context.settings
        return await read_state(self._context.http, upstream, settings.send_ms)

    async def _send_order(
        self, upstream: Upstream, desired: DesiredState
    ) -> None:
        context = self._context
        fence = context.fence(desired.generation)
        if fence is None:
            return
        self._unconfirmed.add(upstream.name)
        order = make_order(desired.pool, desired.generation, fence)
        context.timeline.record(
            "order_sent",
            upstream=upstream.name,
            generation=desired.generation,
            fence=fence,
            model=desired.pool.model,
            version=desired.pool.version,
        )
        try:
            await send_order(
                context.http, upstream, order, context.settings.send_ms
            )
        except OrderRefusedError as error:
            log.warning("{}.", error)
            context.timeline.record(
                "order_refused",
                upstream=upstream.name,
                generation=desired.generation,
                fence=fence,
            )
        except OrderLostError as error:
            log.warning("{}.", error)

    def _record_converged(
        self, upstream: Upstream, desired: DesiredState, differed: bool
    ) -> None:
        if differed and upstream.name in self._converged:
            log.warning("{} had left its desired state.", upstream.name)
            self._context.timeline.record(
                "order_repaired",
                upstream=upstream.name,
                generation=desired.generation,
            )
        self._converged.add(upstream.name)
        self._unconfirmed.discard(upstream.name)

    async def _sleep(self, delay_ms: int) -> None:
        await self._context.clock.sleep(delay_ms / MS_PER_S)
