"""The service `orders`: takes the lease and sends orders under it."""

from __future__ import annotations

import asyncio
import random
from functools import partial

from loguru import logger

from balsamlift._http import HttpClient
from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.exceptions import LogUnavailableError
from balsamlift.kernel import Kernel
from balsamlift.orders._lease import LeaseView
from balsamlift.orders._reconciler import (
    DesiredState,
    PoolReconciler,
    ReconcilerContext,
)
from balsamlift.peers import Peers, Upstreams
from balsamlift.presets import Lease, PresetInForce, Presets, new_operation_id
from balsamlift.settings import OrderSettings
from balsamlift.timeline import Timeline

log = logger.bind(part="orders")

MS_PER_S = 1_000
FOLD_WAIT_S = 2.0


class Orders:
    """Reconcile engines with the preset while this host holds the lease."""

    name = "orders"

    def __init__(
        self,
        holder: str,
        clock: Clock,
        http: HttpClient,
        *,
        settings: OrderSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Start without the lease; `holder` names this host's incarnation."""
        self._clock = clock
        self._http = http
        self._settings = settings or OrderSettings()
        self._rng = rng or random.Random()
        self._lease = LeaseView(holder, clock)
        self._was_holder = False
        self._try_at_s: float | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._append_task: asyncio.Task[None] | None = None
        self._reconcilers: dict[str, asyncio.Task[None]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Look up the services needed and start to follow the lease."""
        self._presets = kernel.find("presets", Presets)
        self._peers = kernel.find("peers", Peers)
        self._timeline = kernel.find("timeline", Timeline)
        self._context = ReconcilerContext(
            clock=self._clock,
            http=self._http,
            timeline=self._timeline,
            upstreams=kernel.find("upstreams", Upstreams),
            settings=self._settings,
            fence=self.fence,
            holds_lease=lambda: self.holds_lease,
        )
        self._tasks.append(
            start_task("lease on orders", self._follow_lease, self._clock)
        )

    async def stop(self) -> None:
        """Stop all tasks; the lease expires on its own."""
        for task in (
            *self._reconcilers.values(),
            self._append_task,
            *self._tasks,
        ):
            await end_task(task)

    @property
    def holds_lease(self) -> bool:
        """Return whether this host holds the lease now."""
        return self._lease.remaining_s > 0

    def fence(self, generation: int) -> int | None:
        """Return the fencing number for orders of a generation.

        None unless the lease is held for longer than one order may take and
        was appended after the switch to that generation. So each fencing
        number stands for one desired state, and reordered orders do no harm
        on an engine that checks it.
        """
        in_force = self._presets.in_force()
        needs_ms = self._settings.send_ms + self._settings.margin_ms
        if self._lease.remaining_s * MS_PER_S <= needs_ms:
            return None
        if in_force is None or in_force.generation != generation:
            return None
        if self._lease.offset <= in_force.offset:
            return None
        return self._lease.offset

    async def _follow_lease(self) -> None:
        while True:
            self._lease.observe(self._presets.lease())
            self._record_holding()
            in_force = self._presets.in_force()
            if in_force is not None:
                self._start_reconcilers(in_force)
                self._start_append_if_due(in_force)
            await self._clock.sleep(self._settings.look_ms / MS_PER_S)

    def _record_holding(self) -> None:
        holds = self.holds_lease
        if holds == self._was_holder:
            return
        self._was_holder = holds
        kind = "lease_taken" if holds else "lease_lost"
        log.info("The lease on orders is {}.", "ours" if holds else "lost")
        self._timeline.record(kind, fence=self._lease.offset)

    def _start_reconcilers(self, in_force: PresetInForce) -> None:
        for pool in in_force.preset.pools:
            running = self._reconcilers.get(pool)
            if running is None or running.done():
                get_desired = partial(self._get_desired, pool)
                reconciler = PoolReconciler(pool, get_desired, self._context)
                self._reconcilers[pool] = asyncio.create_task(reconciler.run())

    def _get_desired(self, pool: str) -> DesiredState | None:
        in_force = self._presets.in_force()
        if in_force is None or pool not in in_force.preset.pools:
            return None
        return DesiredState(
            generation=in_force.generation, pool=in_force.preset.pools[pool]
        )

    def _start_append_if_due(self, in_force: PresetInForce) -> None:
        if self._append_task is not None and not self._append_task.done():
            return
        if self._peers.leaving or not self._presets.log_is_up:
            return
        if self._needs_renewal(in_force) or self._should_take():
            self._append_task = asyncio.create_task(self._append())

    def _needs_renewal(self, in_force: PresetInForce) -> bool:
        if not self.holds_lease:
            return False
        expires_soon = (
            self._lease.remaining_s * MS_PER_S < self._settings.renew_ms
        )
        return expires_soon or self._lease.offset < in_force.offset

    def _should_take(self) -> bool:
        """Return whether to try to take an expired lease now.

        Each host draws a random time to try, from an interval that grows
        with the number of hosts, so that most of them see in the log that
        another host has taken it.
        """
        if self.holds_lease or self._lease.free_in_s > 0:
            self._try_at_s = None
            return False
        now_s = self._clock.monotonic()
        if self._try_at_s is None:
            hosts = len(self._peers.live()) + 1
            spread_s = hosts * self._settings.spread_ms / MS_PER_S
            self._try_at_s = now_s + self._rng.uniform(0, spread_s)
        if now_s < self._try_at_s:
            return False
        self._try_at_s = None
        return True

    async def _append(self) -> None:
        record = Lease(
            op=new_operation_id(),
            holder=self._lease.holder,
            previous_offset=self._lease.begin_append(),
            term_ms=self._settings.term_ms,
        )
        try:
            offset = await self._presets.append(record)
        except LogUnavailableError as error:
            log.info("Could not append the lease: {}.", error)
            await self._clock.sleep(self._rng.uniform(0.5, 1.0))
            return
        await self._presets.wait_until_folded(offset, FOLD_WAIT_S)
