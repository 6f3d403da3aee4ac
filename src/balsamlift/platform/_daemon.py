"""The daemon on the platform: the product's services and the adapter."""

from __future__ import annotations

import asyncio
import random
import signal
import sys

from loguru import logger

from balsamlift import logs
from balsamlift._http import HttpClient
from balsamlift._incarnation import new_incarnation
from balsamlift._log_sink import LogSink
from balsamlift.clock import Clock, SystemClock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import OperatorsServer
from balsamlift.peers import LoneReads, Peers, Record, Sources, Upstreams
from balsamlift.platform._decode import HostRecord, encode_operator_records
from balsamlift.platform._engines import PlatformEngines
from balsamlift.platform._settings import NodeSettings, load_node_settings
from balsamlift.platform._store import Store
from balsamlift.platform._watch import (
    ConfigurationWatch,
    HostRegistration,
    UpstreamsSource,
    offer,
)
from balsamlift.platform._web import PlatformServer
from balsamlift.relay import Directory, Frontend, Relay, Routing
from balsamlift.timeline import Timeline

log = logger.bind(part="daemon")

# Callers may keep a list three times as long as told: a host that leaves is
# out of all lists before its grace is over.
KEEP_MS = 2_000
# Left of the grace for ending what still runs, and the process itself.
GRACE_MARGIN_S = 0.4
MOST_STORE_CALLS = 16  # at once; each handle takes 4.3 KB from the start


class PlatformDaemon:
    """Hold the services of one host on the platform."""

    def __init__(self, node: NodeSettings, clock: Clock) -> None:
        """Make every service; those with addresses listen from here on."""
        self._node = node
        self._clock = clock
        self._keep_ms = min(KEEP_MS, int(node.most_keep_s * 1_000))
        settings = node.product_settings()
        rng = random.Random()
        self.kernel = Kernel()
        timeline = Timeline(
            settings.host, clock, settings.limits.timeline_events
        )
        http = HttpClient(max_calls=MOST_STORE_CALLS, clock=clock)
        store = Store(node.store_address, http, clock)
        self._routing = routing = Routing(clock)
        self.frontend = Frontend(node.callers_address, clock)
        self._listed = UpstreamsSource(store, clock, node.list_pace)
        self.upstreams = Upstreams(settings, clock, http, self._listed)
        self._configuration = ConfigurationWatch(
            store, clock, node.configuration_pace, self.upstreams.evacuations
        )
        self.peers = Peers(
            settings, new_incarnation(), self.frontend.address, clock, rng
        )
        self.relay = Relay(
            node.relay_settings(), PlatformEngines(http), clock, rng
        )
        record = HostRecord(
            callers_address=self.frontend.address,
            operators_address=settings.operators_address,
            peers_address=self.peers.address,
            failure_domain=settings.failure_domain,
            written_s=0.0,
        )
        registration = HostRegistration(store, clock, settings.host, record)
        self._configuration.follower.on_restored(registration.renew)
        self._listed.upstreams.on_restored(self.upstreams.suspend_removals)
        services = (
            OperatorsServer(settings.operators_address),
            timeline,
            Metrics(),
            routing,
            self.frontend,
            self._configuration,
            registration,
            self.upstreams,
            self.peers,
            Directory(
                settings.failure_domain, self._keep_ms, rng, node.regions
            ),
            self.relay,
            PlatformServer(node.directory_address, node.readiness_address),
        )
        for service in services:
            self.kernel.register(service)
        routing.set_age_source(
            lambda: self._configuration.follower.age_s, node.apply_ms / 1_000
        )
        self.peers.on_version(routing.note_version)
        self.peers.sharing.connect(
            lambda: routing.encoded,
            lambda data: offer(routing, data, "peer"),
        )

    def _share_reading(self) -> None:
        """Have few hosts read the store for all, once there are many."""
        sources = Sources(
            configuration=self._configuration.follower,
            listed=self._listed.upstreams,
            copy=self._routing,
            offer=lambda data: offer(self._routing, data, "peer"),
            is_settled=lambda: self.upstreams.is_settled,
            evacuations=self.upstreams.evacuations,
            note_version=lambda version: self._routing.note_version(
                version, "peer"
            ),
            snapshot_records=self._snapshot_records,
        )
        lone_reads = LoneReads(self._clock)
        for follower in (sources.configuration, sources.listed):
            follower.share(lambda: self.peers.reads_records, lone_reads)
        self.peers.records.connect(sources)

    def _snapshot_records(self, end: int) -> list[Record]:
        """Return the known state as the operators' records before `end`."""
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

    async def leave(self) -> None:
        """Serve what runs, and callers with an older list, then stop."""
        log.bind(running=len(self.frontend.tasks)).info("leaving")
        self.peers.announce_leaving()
        bound_s = self._node.grace_s - GRACE_MARGIN_S
        self.relay.leave(bound_s)
        try:
            async with asyncio.timeout(bound_s):
                await asyncio.sleep(3 * self._keep_ms / 1_000)
                await self.frontend.wait_idle()
        except TimeoutError:
            log.bind(running=len(self.frontend.tasks)).warning(
                "requests still run at the end of the grace"
            )
        log.info("stopped")


def run(file: str | None = None) -> None:
    """Run one daemon until SIGTERM, then leave within the grace."""
    node = load_node_settings(file)
    sink = LogSink(sys.stdout.fileno())
    logs.configure(json=True, host=node.host, sink=sink)
    asyncio.run(_run(node))


async def _run(node: NodeSettings) -> None:
    daemon = PlatformDaemon(node, SystemClock())
    leave = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    await daemon.start()
    await leave.wait()
    await daemon.leave()


def _note_reload() -> None:
    # Addresses cannot change while a process runs; all else that changes
    # comes through the store.
    log.info("settings file changed; read at the next start")
