"""The relay service, which handles every request of a caller."""

from __future__ import annotations

import asyncio
import math
import random

import attrs
from loguru import logger

from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.peers import Peers, Upstreams
from balsamlift.relay._admission import Admission
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._balance import Balancer
from balsamlift.relay._catch_up import CatchUp
from balsamlift.relay._cold_starts import ColdStartLimiter
from balsamlift.relay._directory import Caller, Directory
from balsamlift.relay._exchange import Exchange
from balsamlift.relay._frontend import FORWARDING_FRONTEND, Frontend
from balsamlift.relay._memory_poll import MemoryPoll
from balsamlift.relay._pool import ConnectionPool
from balsamlift.relay._request import (
    Call,
    CallerRequest,
    Outcome,
    Refusal,
    Responder,
)
from balsamlift.relay._request_log import RequestLog
from balsamlift.relay._retry_budget import RetryBudget
from balsamlift.relay._routing import Routing, RoutingTable
from balsamlift.relay._settings import RelaySettings
from balsamlift.relay._unary import UnaryCalls
from balsamlift.relay._upstream_chooser import UpstreamChooser
from balsamlift.relay._upstream_links import UpstreamLinks
from balsamlift.relay._views import serve_views
from balsamlift.relay.crashes import CrashGuard, PartGuard
from balsamlift.relay.forwarding import (
    FORWARDED_HEAD_BYTES,
    Forwarder,
    PeerChoice,
    unwrap_request,
)
from balsamlift.relay.generations import (
    EngineClient,
    EnginePaces,
    GenerationContext,
    Generations,
    LeavingDetector,
    MemoryAllocator,
    QuietEngines,
)
from balsamlift.relay.shutdown import (
    CallDurations,
    DrainLimits,
    Phase,
    Shutdown,
    observe_call,
    shut_down,
)
from balsamlift.relay.statements import (
    BrittlePools,
    Restrictions,
    RetryAfterTracker,
    SendAudit,
    StatementReader,
)

log = logger.bind(part="relay")

# Part of the time for which a leaving upstream still works in which calls that
# no other upstream can take are sent there. The rest is for their responses.
LAST_RESORT_FRACTION = 0.5
# Other hosts that a refusal names.
MAX_ALTERNATIVES = 3
# Interval between removals of stale connections and records.
SWEEP_INTERVAL_S = 1.0


class Relay:
    """Forwards requests to upstreams with at-most-once execution.

    Only requests of idempotent routes may run more than once. A refusal that
    says that a request did not run is always true.
    """

    name = "relay"

    def __init__(
        self,
        settings: RelaySettings,
        engines: EngineClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a relay; `start` looks up the other services."""
        self._settings = settings
        self._engines = engines
        self._clock = clock
        self._random = rng
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, kernel: Kernel) -> None:
        """Look up the other services and start serving callers."""
        self._metrics = kernel.find("metrics", Metrics)
        self._upstreams = kernel.find("upstreams", Upstreams)
        peers = self._peers = kernel.find("peers", Peers)
        routing = self._routing = kernel.find("routing", Routing)
        frontend = self._frontend = kernel.find("frontend", Frontend)
        forwarding_frontend = kernel.find(FORWARDING_FRONTEND, Frontend)
        self._log = RequestLog(
            routing, self._settings.names, self._clock, self._metrics
        )
        self._directory = kernel.find("directory", Directory)
        self._shutdown = Shutdown(
            self._clock, self._metrics, self._find_alternatives
        )
        names = self._settings.names
        self._pool = ConnectionPool(self._clock, self._metrics)
        self._retry_after = RetryAfterTracker(
            self._clock, self._metrics, self._random
        )
        restrictions = Restrictions(
            self._upstreams.leaving_notices,
            self._upstreams.evacuations,
            self._retry_after,
            self._settings.drain_s * LAST_RESORT_FRACTION,
        )
        brittle_pools = BrittlePools(
            self._clock, peers.rank_for, peers.hosts_for
        )
        balancer = self._balancer = Balancer(
            self._upstreams,
            peers,
            self._clock,
            self._random,
            self._settings.failure_domain,
            ColdStartLimiter(
                self._settings.cold_limits,
                routing.cold_requests_per_s,
                peers.known_rank_for,
                self._clock,
            ),
            self._settings.regions,
            restrictions,
            self._retry_after,
            brittle_pools,
            peers.silence_reports,
            self._metrics,
        )
        durations = self._durations = CallDurations(balancer, self._clock)
        paces = self._paces = EnginePaces(
            balancer, self._upstreams, self._clock, self._metrics
        )
        self._allocator = MemoryAllocator(
            balancer,
            metrics=self._metrics,
            weight_of=routing.weight_of,
            paces=paces,
        )
        self._retries = RetryBudget(
            self._settings.retries,
            lambda: len(peers.live()) + 1,
            self._clock,
        )
        notices = self._upstreams.leaving_notices
        audit = SendAudit(
            notices,
            self._retry_after,
            self._metrics,
            self._clock,
            self._settings.drain_s,
        )
        statements = StatementReader(
            names,
            self._settings.decoders,
            peers.rate_limits,
            notices,
            self._retry_after,
            brittle_pools,
            audit,
            self._metrics,
        )
        links = self._links = UpstreamLinks(
            self._pool,
            self._upstreams,
            peers,
            balancer,
            self._clock,
            self._metrics,
        )
        self._catch_up = CatchUp(
            balancer.stalls,
            self._upstreams,
            routing,
            self._clock,
            self._metrics,
            lambda: self._shutdown.phase is not Phase.CLOSING,
        )
        exchange = Exchange(
            self._pool,
            names,
            self._clock,
            statements,
            restrictions,
            links.reachability,
            balancer.unanswered,
            self._metrics,
            self._shutdown,
            self._catch_up,
            self._upstreams.is_leaving,
        )
        forwarder = self._forwarder = Forwarder(
            peers,
            self._upstreams,
            PeerChoice(
                peers,
                self._clock,
                self._settings.regions,
                self._settings.failure_domain,
                lambda pool: brittle_pools.holders(
                    self._upstreams.in_pool(pool)
                ),
            ),
            links.reachability,
            self._pool,
            names,
            self._clock,
            self._metrics,
            self._shutdown,
        )
        self._admission = Admission(
            routing, names, self._random, self._settings.decode_prompt_parts
        )
        self._part_guard = PartGuard(
            peers.part_reports, peers.rank_for, self._clock, self._metrics
        )
        self._crash_guard = CrashGuard(
            peers.crash_reports,
            self._upstreams,
            self._clock,
            self._part_guard,
        )
        self._unary_calls = UnaryCalls(
            exchange,
            balancer,
            UpstreamChooser(balancer, peers.permits),
            self._admission,
            self._retries,
            self._crash_guard,
            forwarder,
            self._shutdown,
            durations,
        )
        engines = QuietEngines(self._engines, self._retry_after)
        context = GenerationContext(
            exchange=exchange,
            balancer=balancer,
            allocator=self._allocator,
            engines=engines,
            paces=paces,
            names=names,
            metrics=self._metrics,
            upstreams=self._upstreams,
            rng=self._random,
            crash_guard=self._crash_guard,
            permits=peers.permits,
            retry_after=self._retry_after,
            forwarder=forwarder,
            shutdown=self._shutdown,
            durations=durations,
        )
        self._generations = Generations(
            context,
            self._admission,
            self._retries,
            self._upstreams,
        )
        self._leaving_detector = LeavingDetector(
            self._upstreams,
            engines,
            self._clock,
            self._generations.engines_in_use,
        )
        self._leaving_detector.start()
        links.start(exchange.probe)
        self._forwarding_frontend = forwarding_frontend
        self._frontends = (frontend, forwarding_frontend)
        serve_views(kernel, self._allocator, balancer, paces)
        routing.on_change(self._apply_limits)
        frontend.serve(self.handle)
        forwarding_frontend.serve(self.handle_forwarded)
        memory_poll = MemoryPoll(self._allocator, balancer, peers, self._clock)
        self._tasks = [
            start_task("stall watch", balancer.stalls.run, self._clock),
            start_task("memory poll", memory_poll.run, self._clock),
            start_task("sweep", self._sweep_periodically, self._clock),
        ]

    def leave(self, within_s: float, estimates_s: float = math.inf) -> None:
        """Start only requests that are expected to end in `within_s`.

        After `estimates_s`, they must be sure to.
        """
        self._shutdown.begin(within_s, estimates_s)
        for frontend in self._frontends:
            frontend.drain()

    def _find_alternatives(self, call: Call) -> list[str]:
        """Return the addresses of some other hosts that may take a call."""
        caller = Caller(
            self._settings.failure_domain, host_name=call.route.host
        )
        own = self._peers.own.callers_address
        found = self._directory.find(caller).addresses
        others = [address for address in found if address != own]
        number = min(len(others), MAX_ALTERNATIVES)
        return self._random.sample(others, number)

    async def shut_down(self, limits: DrainLimits) -> None:
        """Serve what ends in time, and respond to everything else."""
        await shut_down(self._shutdown, self._frontends, limits, self._clock)

    async def stop(self) -> None:
        """Close the connections to upstreams."""
        await self._links.stop()
        await self._leaving_detector.stop()
        await self._crash_guard.stop()
        for task in self._tasks:
            await end_task(task)
        self._pool.close()
        self._forwarder.close()

    async def handle_forwarded(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Handle a request that another host has forwarded."""
        self._metrics.count("relay.carried")
        await self.handle(unwrap_request(request), responder)

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Handle one request, and log how it ended."""
        await self._catch_up.wait()
        admitted = self._admission.admit(request)
        if isinstance(admitted, Refusal):
            responder.refuse(admitted)
            self._log.record_refused(request, admitted)
            return
        attempt = Attempt(admitted.is_idempotent)
        outcome = Outcome("caller gone")
        try:
            outcome = await self._run(admitted, attempt, responder)
        finally:
            self._log.record_outcome(admitted, outcome)
            observe_call(
                self._durations,
                admitted,
                attempt,
                outcome,
                self._clock.monotonic(),
            )

    async def _run(
        self, call: Call, attempt: Attempt, responder: Responder
    ) -> Outcome:
        if call.request.origin is None:  # else its host has recorded it
            self._retries.record_request(call.service)
        if call.route.kind == "stream":
            return await self._generations.serve(call, attempt, responder)
        return await self._unary_calls.run(call, attempt, responder)

    def _apply_limits(self, table: RoutingTable) -> None:
        limits = table.configuration.limits
        self._frontend.limits = limits
        self._forwarding_frontend.limits = attrs.evolve(
            limits, head_bytes=limits.head_bytes + FORWARDED_HEAD_BYTES
        )

    async def _sweep_periodically(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_S)
            live = {u.name for u in self._upstreams.all()}
            self._pool.sweep(live)
            self._forwarder.sweep()
            self._links.sweep()
            self._peers.permits.prune(live)
            self._retry_after.discard_expired()
            self._balancer.discard_expired()
            self._paces.discard_expired()
            self._durations.discard_expired()
            self._crash_guard.discard_expired()
