"""The service `orders`: take the lease, and under it give orders."""

from __future__ import annotations

import asyncio
import random
from functools import partial

from loguru import logger

from balsamlift._http import HttpClient
from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.exceptions import LogUnavailableError
from balsamlift.kernel import Kernel
from balsamlift.orders._giver import Means, PoolGiver, Wanted
from balsamlift.orders._lease import LeaseView
from balsamlift.peers import Peers, Upstreams
from balsamlift.presets import InForce, Lease, Presets, new_operation
from balsamlift.settings import OrderSettings
from balsamlift.timeline import Timeline

log = logger.bind(part="orders")

MS_PER_S = 1_000
FOLD_WAIT_S = 2.0


class Orders:
    """Give orders while this host holds the lease."""

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
        """`holder` names this incarnation of this host."""
        self._clock = clock
        self._http = http
        self._settings = settings or OrderSettings()
        self._rng = rng or random.Random()
        self._view = LeaseView(holder, clock)
        self._held = False
        self._try_at_s: float | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._appending: asyncio.Task[None] | None = None
        self._givers: dict[str, asyncio.Task[None]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Find the services needed and begin to follow the lease."""
        self._presets = kernel.find("presets", Presets)
        self._peers = kernel.find("peers", Peers)
        self._timeline = kernel.find("timeline", Timeline)
        self._means = Means(
            clock=self._clock,
            http=self._http,
            timeline=self._timeline,
            upstreams=kernel.find("upstreams", Upstreams),
            settings=self._settings,
            fence=self.fence,
            holds_lease=lambda: self.holds_lease,
        )
        self._tasks.append(asyncio.create_task(self._follow_lease()))

    async def stop(self) -> None:
        """End every task; the lease lapses by itself."""
        for task in (*self._givers.values(), self._appending, *self._tasks):
            await end_task(task)

    @property
    def holds_lease(self) -> bool:
        """Return whether this host holds the lease now."""
        return self._view.left_s > 0

    def fence(self, generation: int) -> int | None:
        """Return the fencing number for orders of that generation.

        None unless the lease holds for longer than one order may take, and
        was appended after the switch to that generation: so one number
        stands for one wanted state, and orders that cross do no harm on an
        engine that checks it.
        """
        in_force = self._presets.in_force()
        needs_ms = self._settings.send_ms + self._settings.margin_ms
        if self._view.left_s * MS_PER_S <= needs_ms:
            return None
        if in_force is None or in_force.generation != generation:
            return None
        if self._view.offset <= in_force.offset:
            return None
        return self._view.offset

    async def _follow_lease(self) -> None:
        while True:
            self._view.observe(self._presets.lease())
            self._note_holding()
            in_force = self._presets.in_force()
            if in_force is not None:
                self._start_givers(in_force)
                self._consider_append(in_force)
            await self._clock.sleep(self._settings.look_ms / MS_PER_S)

    def _note_holding(self) -> None:
        holds = self.holds_lease
        if holds == self._held:
            return
        self._held = holds
        kind = "lease_taken" if holds else "lease_lost"
        log.info("The lease on orders is {}.", "ours" if holds else "lost")
        self._timeline.record(kind, fence=self._view.offset)

    def _start_givers(self, in_force: InForce) -> None:
        for pool in in_force.preset.pools:
            running = self._givers.get(pool)
            if running is None or running.done():
                wanted = partial(self._wanted, pool)
                giver = PoolGiver(pool, wanted, self._means)
                self._givers[pool] = asyncio.create_task(giver.run())

    def _wanted(self, pool: str) -> Wanted | None:
        in_force = self._presets.in_force()
        if in_force is None or pool not in in_force.preset.pools:
            return None
        return Wanted(
            generation=in_force.generation, pool=in_force.preset.pools[pool]
        )

    def _consider_append(self, in_force: InForce) -> None:
        if self._appending is not None and not self._appending.done():
            return
        if self._peers.leaving or not self._presets.log_is_up:
            return
        if self._needs_renewal(in_force) or self._may_take():
            self._appending = asyncio.create_task(self._append())

    def _needs_renewal(self, in_force: InForce) -> bool:
        if not self.holds_lease:
            return False
        short = self._view.left_s * MS_PER_S < self._settings.renew_ms
        return short or self._view.offset < in_force.offset

    def _may_take(self) -> bool:
        """Return whether to try for a lapsed lease now.

        Each host draws when it will try, over a time that grows with the
        number of hosts: the first few tell the others by the log.
        """
        if self.holds_lease or self._view.free_in_s > 0:
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
            op=new_operation(),
            holder=self._view.holder,
            previous_offset=self._view.begin_append(),
            term_ms=self._settings.term_ms,
        )
        try:
            offset = await self._presets.append(record)
        except LogUnavailableError as error:
            log.info("The lease could not be asked for: {}.", error)
            await self._clock.sleep(self._rng.uniform(0.5, 1.0))
            return
        await self._presets.wait_offset(offset, FOLD_WAIT_S)
