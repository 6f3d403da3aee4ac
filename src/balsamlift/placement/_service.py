"""The service `placement`: runs the scheduler of a host in its daemon."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.exceptions import RefusedError
from balsamlift.kernel import Kernel
from balsamlift.placement._engine import Engine
from balsamlift.placement._load_poller import LoadPoller
from balsamlift.placement._policy import Policy
from balsamlift.placement._pool import Refusal
from balsamlift.placement._protocols import (
    MetricsService,
    PeersService,
    PresetsService,
    TimelineService,
    Upstream,
    UpstreamsService,
)
from balsamlift.placement._request import PlacementRequest, Ticket
from balsamlift.placement._scheduler import Scheduler

log = logger.bind(part="placement")

UPDATE_INTERVAL_S = 0.05  # between two passes of the scheduler
UPSTREAMS_REFRESH_MS = 1_000.0  # also without a change notification
STOPPING_RETRY_AFTER_MS = 1_000  # sent to callers while the daemon stops


class Placement:
    """Admit requests and choose their upstreams.

    Requests wait in the scheduler's queue until a place is reserved.
    """

    name = "placement"

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        """Start with the default policy; `start` looks up the services."""
        self._clock = clock
        self._scheduler = Scheduler(Policy(), seed)
        self._waiters: dict[Ticket, asyncio.Future[None]] = {}
        self._upstreams: dict[str, Upstream] = {}
        self._pools: set[str] = set()
        self._current_pools: set[str] = set()  # with current upstreams
        self._announced: set[str] = set()
        self._refresh_at_ms = 0.0
        self._update_task: asyncio.Task[None] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Look up the other services; start scheduling and polling."""
        self._upstreams_service = kernel.find("upstreams", UpstreamsService)  # type: ignore[type-abstract]
        self._peers = kernel.find("peers", PeersService)  # type: ignore[type-abstract]
        self._presets = kernel.find("presets", PresetsService)  # type: ignore[type-abstract]
        self._metrics = kernel.find("metrics", MetricsService)  # type: ignore[type-abstract]
        self._timeline = kernel.find("timeline", TimelineService)  # type: ignore[type-abstract]
        self._upstreams_service.on_change(self._current_pools.clear)
        self._load_poller = LoadPoller(self._clock, self._scheduler)
        self._update_task = asyncio.create_task(self._update_loop())

    async def stop(self) -> None:
        """Stop scheduling and polling; refuse the requests still queued."""
        if self._update_task is not None:
            self._update_task.cancel()
            with suppress(asyncio.CancelledError):
                await self._update_task
            await self._load_poller.stop()
        error = RefusedError("stopping", STOPPING_RETRY_AFTER_MS)
        for ticket in list(self._waiters):
            self._resolve(ticket, error)

    async def admit(self, request: PlacementRequest) -> Ticket:
        """Queue a request until it is placed; return its ticket.

        Raises `RefusedError` as soon as it is known that the request will
        miss its deadline, or that the queue is full.
        """
        self._pools.add(request.pool)
        now_ms = self._now_ms()
        self._refresh_pool(request.pool)
        try:
            ticket = self._scheduler.enqueue(request, now_ms)
        except RefusedError:
            self._metrics.count("placement.refused")
            raise
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = waiter
        self._decide()
        try:
            await waiter
        except asyncio.CancelledError:
            self._scheduler.withdraw(ticket)
            self._scheduler.release(ticket)
            raise
        finally:
            self._waiters.pop(ticket, None)
        waited_ms = self._now_ms() - now_ms
        self._metrics.observe_ms("placement.wait_ms", waited_ms)
        return ticket

    def choose(self, ticket: Ticket, exclude: frozenset[str]) -> Upstream:
        """Return the upstream to run a ticket on, none of those excluded.

        Raises `RefusedError` if there is none.
        """
        name = self._scheduler.choose(ticket, exclude, self._now_ms())
        self._timeline.record(
            "placed", request=ticket.request.key, upstream=name
        )
        return self._upstreams[name]

    def mark_started(self, ticket: Ticket, upstream: Upstream) -> None:
        """Record that the generation runs on an upstream."""
        if ticket.upstream == upstream.name:
            self._scheduler.mark_started(ticket)

    def record_progress(
        self, ticket: Ticket, upstream: Upstream, tokens: int, gap_ms: float
    ) -> None:
        """Record tokens that arrived, and the gap before them."""
        if ticket.upstream == upstream.name:
            now_ms = self._now_ms()
            self._scheduler.record_progress(ticket, tokens, gap_ms, now_ms)
            self._metrics.observe_ms("placement.gap_ms", gap_ms)

    def handle_refusal(
        self,
        ticket: Ticket,
        upstream: Upstream,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        """Release a ticket that its upstream refused without running it."""
        self._metrics.count("placement.upstream_refused")
        if ticket.upstream == upstream.name:
            now_ms = self._now_ms()
            self._scheduler.handle_refusal(
                ticket, reason, retry_after_ms, now_ms
            )

    def release(self, ticket: Ticket, upstream: Upstream) -> None:
        """Release the reservation of a ticket without a complete answer."""
        if ticket.upstream == upstream.name:
            self._scheduler.release(ticket)
        self._decide()

    def finish(self, ticket: Ticket, tokens: int) -> None:
        """Record the length of a complete answer and release its ticket."""
        self._scheduler.finish(ticket, tokens)
        self._decide()

    def may_retry(self) -> bool:
        """Take one retry from the budget; return whether one was left."""
        allowed = self._scheduler.may_retry()
        if not allowed:
            self._metrics.count("placement.retry_denied")
        return allowed

    def _now_ms(self) -> float:
        return self._clock.monotonic() * 1_000

    async def _update_loop(self) -> None:
        while True:
            try:
                self._update()
            except Exception:
                log.exception("The scheduling pass failed.")
            await self._clock.sleep(UPDATE_INTERVAL_S)

    def _update(self) -> None:
        now_ms = self._now_ms()
        in_force = self._presets.in_force()
        if in_force is not None:
            self._scheduler.policy = in_force.preset.policy
        wall_ms = self._clock.now().timestamp() * 1_000
        self._scheduler.wall_offset_ms = wall_ms - now_ms
        self._scheduler.hosts = len(self._peers.live()) + 1
        if now_ms >= self._refresh_at_ms:
            self._refresh_at_ms = now_ms + UPSTREAMS_REFRESH_MS
            self._current_pools.clear()
        for pool in self._pools:
            self._refresh_pool(pool)
            for engine in self._scheduler.engines(pool):
                engine.peers_tokens = self._peers.in_flight(engine.name)
        self._load_poller.start_due_polls(self._upstreams)
        self._scheduler.tick(now_ms)
        self._decide()
        self._announce(now_ms)

    def _refresh_pool(self, pool: str) -> None:
        if pool in self._current_pools:
            return
        self._current_pools.add(pool)
        upstreams = self._upstreams_service.in_pool(pool)
        for upstream in upstreams:
            self._upstreams[upstream.name] = upstream
        self._scheduler.set_engines(
            pool,
            [
                Engine(
                    u.name, u.failure_domain, tracks_memory=u.kind != "service"
                )
                for u in upstreams
            ],
        )

    def _announce(self, now_ms: float) -> None:
        announced = set()
        for pool in self._pools:
            for engine in self._scheduler.engines(pool):
                tokens = self._scheduler.expected_tokens(
                    pool, engine.name, now_ms
                )
                self._peers.set_in_flight(engine.name, tokens)
                announced.add(engine.name)
        for name in self._announced - announced:
            self._peers.set_in_flight(name, 0)
            self._upstreams.pop(name, None)
        self._announced = announced

    def _decide(self) -> None:
        decisions = self._scheduler.decide(self._now_ms())
        for ticket in decisions.placed:
            self._resolve(ticket, None)
        for refusal in decisions.refused:
            self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        self._metrics.count("placement.refused")
        self._resolve(refusal.ticket, refusal.error)

    def _resolve(self, ticket: Ticket, error: RefusedError | None) -> None:
        waiter = self._waiters.pop(ticket, None)
        if waiter is None or waiter.done():
            if error is None:
                self._scheduler.release(ticket)
        elif error is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(error)
