"""Daemon of one host on the platform, with all of its services."""

from __future__ import annotations

import asyncio
import faulthandler
import os
import random
import signal
import sys

from loguru import logger

from balsamlift import logs
from balsamlift._allocator import exempt_loaded_code, return_freed_memory
from balsamlift._http import HttpClient
from balsamlift._incarnation import new_incarnation
from balsamlift._log_sink import LogSink
from balsamlift._stop_signal import StopSignal
from balsamlift._tasks import end_other_tasks, end_task
from balsamlift.clients import ClientMemory
from balsamlift.clock import Clock, SystemClock
from balsamlift.exceptions import AddressUnavailableError
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import OperatorsServer
from balsamlift.peers import (
    FallbackReads,
    Peers,
    Record,
    RecordSources,
    Upstreams,
)
from balsamlift.platform._blocked_parts import BlockedParts
from balsamlift.platform._decode import HostRecord, encode_operator_records
from balsamlift.platform._engines import PlatformEngines
from balsamlift.platform._settings import NodeSettings, load_node_settings
from balsamlift.platform._store import Store
from balsamlift.platform._watch import (
    ConfigurationWatch,
    HostRegistration,
    UpstreamsSource,
    offer_configuration,
)
from balsamlift.platform._web import PlatformServer
from balsamlift.relay import (
    FORWARDING_FRONTEND,
    Directory,
    DrainLimits,
    Frontend,
    Relay,
    Routing,
    UpstreamHttp,
)
from balsamlift.timeline import Timeline

log = logger.bind(part="daemon")

# Callers may cache addresses for three times as long as told. With this value,
# the address of a leaving host expires before its grace period ends.
ADDRESS_TTL_MS = 2_000
# Part of the grace period reserved for ending the remaining requests and the
# process.
GRACE_MARGIN_S = 0.5
# Part of it for sending the last responses.
SEND_TIMEOUT_S = 0.15
# For which a leaving host starts requests by estimates. The platform excuses
# what it cuts only if that was sent within 3 s of the signal.
ESTIMATES_S = 2.5
# Longest time for ending all tasks, some of which lose a cancellation.
END_TIMEOUT_S = 0.3
EXIT_NOT_STARTED, EXIT_UNFINISHED = 1, 2
MAX_STORE_CALLS = 16  # concurrent; each preallocated handle takes 4.3 KB


class PlatformDaemon:
    """Run the services of one host on the platform."""

    def __init__(self, node: NodeSettings, clock: Clock) -> None:
        """Create every service; the frontend and peers begin to listen."""
        self._node = node
        self.clock = clock
        self._address_ttl_ms = min(
            ADDRESS_TTL_MS, int(node.max_address_ttl_s * 1_000)
        )
        settings = node.core_settings()
        rng = random.Random()
        self.kernel = Kernel()
        timeline = Timeline(
            settings.host, clock, settings.limits.timeline_events
        )
        http = HttpClient(max_calls=MAX_STORE_CALLS, clock=clock)
        store = Store(node.store_address, http, clock)
        self._routing = routing = Routing(clock)
        memory = ClientMemory(node.client_limits(), clock)
        self.frontend = Frontend(node.callers_address, clock, memory=memory)
        self.forwarding_frontend = Frontend(
            node.forwarding_address, clock, FORWARDING_FRONTEND, memory
        )
        self._upstreams_source = UpstreamsSource(store, clock, node.list_pace)
        self.upstreams = Upstreams(
            settings, clock, http, self._upstreams_source
        )
        self._configuration_watch = ConfigurationWatch(
            store,
            clock,
            node.configuration_pace,
            self.upstreams.evacuations,
        )
        self.peers = Peers(
            settings,
            new_incarnation(),
            self.frontend.address,
            clock,
            rng,
            self.forwarding_frontend.address,
            memory,
        )
        metrics = Metrics()
        engine_http = UpstreamHttp(clock, metrics)
        self.relay = Relay(
            node.relay_settings(), PlatformEngines(engine_http), clock, rng
        )
        record = HostRecord(
            callers_address=self.frontend.address,
            operators_address=settings.operators_address,
            peers_address=self.peers.address,
            failure_domain=settings.failure_domain,
            written_s=0.0,
        )
        registration = HostRegistration(store, clock, settings.host, record)
        self._configuration_watch.follower.on_restored(registration.renew)
        blocked_parts = BlockedParts(
            store, clock, is_first_start=node.is_first_start
        )
        self._configuration_watch.follower.on_restored(blocked_parts.rewrite)
        self._upstreams_source.upstreams_follower.on_restored(
            self.upstreams.suspend_removals
        )
        services = (
            OperatorsServer(settings.operators_address, memory),
            timeline,
            metrics,
            routing,
            self.frontend,
            self.forwarding_frontend,
            self._configuration_watch,
            registration,
            self.upstreams,
            self.peers,
            Directory(
                settings.failure_domain,
                self._address_ttl_ms,
                rng,
                node.regions,
            ),
            blocked_parts,
            self.relay,
            PlatformServer(
                node.directory_address, node.readiness_address, memory
            ),
        )
        for service in services:
            self.kernel.register(service)
        routing.set_age_source(
            lambda: self._configuration_watch.follower.age_s,
            node.apply_ms / 1_000,
        )
        follower = self._upstreams_source.upstreams_follower
        self.upstreams.set_age_source(
            lambda: follower.followed_age_s, node.list_pace.max_age_s
        )
        self.peers.on_version(routing.record_version)
        self.peers.sharing.connect(
            lambda: routing.encoded,
            lambda data: offer_configuration(routing, data, "peer"),
        )

    def _share_reading(self) -> None:
        """Let a few hosts read the store for all if there are many hosts."""
        sources = RecordSources(
            configuration=self._configuration_watch.follower,
            listed=self._upstreams_source.upstreams_follower,
            copy=self._routing,
            offer=lambda data: offer_configuration(
                self._routing, data, "peer"
            ),
            is_list_complete=lambda: self.upstreams.is_list_complete,
            evacuations=self.upstreams.evacuations,
            record_version=lambda version: self._routing.record_version(
                version, "peer"
            ),
            snapshot_records=self._snapshot_records,
        )
        fallback_reads = FallbackReads(self.clock)
        for follower in (sources.configuration, sources.listed):
            follower.share(lambda: self.peers.reads_records, fallback_reads)
        self.peers.records.connect(sources)

    def _snapshot_records(self, end: int) -> list[Record]:
        """Return the known state as operators' records before `end`."""
        evacuated = self.upstreams.evacuations.domains
        return encode_operator_records(self._routing.encoded, evacuated, end)

    async def start(self) -> None:
        """Start every service."""
        await self.kernel.start()
        if self._node.can_share_reading:
            self._share_reading()
        log.bind(
            callers_address=self._node.callers_address,
            first_port=self._node.first_port,
            store_address=self._node.store_address,
        ).info("started")

    async def start_unless(self, stop: StopSignal) -> bool:
        """Start; return False if the start was given up for a signal to stop.

        A start that waits for the store is given up at once: no host gives
        out this one's address yet, so that there is nothing to drain.
        """
        starting = asyncio.create_task(self.start())
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait(
            [starting, stopping], return_when=asyncio.FIRST_COMPLETED
        )
        await end_task(stopping)
        if not self.peers.is_started:
            await end_task(starting)
        if starting.cancelled():
            return False
        await starting  # raises the error of a start that failed
        return True

    async def leave(self, stop: StopSignal) -> None:
        """Announce that this host leaves, and respond to all requests.

        Callers with cached addresses may send requests meanwhile. Returns
        before the grace period ends, which began with the signal.
        """
        log.bind(running=len(self.frontend.tasks)).info("leaving")
        self.peers.announce_leaving()
        limits = DrainLimits(
            listed_s=3 * self._address_ttl_ms / 1_000,
            estimates_s=stop.left_s(ESTIMATES_S),
            responses_s=stop.left_s(self._node.grace_s - GRACE_MARGIN_S),
            send_s=SEND_TIMEOUT_S,
        )
        await self.relay.shut_down(limits)
        log.info("stopped")


def run(file: str | None = None) -> None:
    """Run one daemon until SIGTERM, then stop within the grace period.

    `file` is the path of the settings file; see `load_node_settings`.
    """
    # A crash in a library leaves the stacks of all threads on standard error.
    faulthandler.enable()
    return_freed_memory()
    exempt_loaded_code()
    node = load_node_settings(file)
    sink = LogSink(sys.stdout.fileno())
    logs.configure(json=True, host=node.host, sink=sink)
    log.info("starting")
    try:
        asyncio.run(_run(node))
    except AddressUnavailableError as error:
        log.bind(address=error.address).error("not started: {}", error)
        sys.exit(EXIT_NOT_STARTED)


async def _run(node: NodeSettings) -> None:
    daemon = PlatformDaemon(node, SystemClock())
    stop = StopSignal(daemon.clock)
    stop.install((signal.SIGTERM, signal.SIGINT))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _log_ignored_reload)
    if await daemon.start_unless(stop):
        await stop.wait()
        await daemon.leave(stop)
    else:
        log.info("stopped before it had started")
    unfinished = await end_other_tasks(END_TIMEOUT_S)
    if unfinished:
        log.bind(tasks=unfinished).error("tasks did not end")
    # asyncio would wait for those tasks, and the interpreter takes long to
    # finalize itself on a busy machine.
    os._exit(EXIT_UNFINISHED if unfinished else 0)


def _log_ignored_reload() -> None:
    # Addresses cannot change while the process runs; all other changes come
    # through the store.
    log.info("settings file not reloaded, it is read at the next start")
