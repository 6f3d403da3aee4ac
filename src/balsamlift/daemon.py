"""The daemon: one kernel with all services, run until it is stopped."""

from __future__ import annotations

import asyncio
import random
import signal
import sys

import attrs
import msgspec
from loguru import logger

from balsamlift import logs
from balsamlift._allocator import exempt_loaded_code, return_freed_memory
from balsamlift._http import HttpClient
from balsamlift._incarnation import new_incarnation
from balsamlift.clients import ClientLimits, ClientMemory
from balsamlift.clock import Clock, SystemClock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import MAX_BODY_BYTES, OperatorsServer
from balsamlift.orders import Orders
from balsamlift.peers import Peers, Upstreams
from balsamlift.placement import Placement
from balsamlift.presets import LogClient, Presets
from balsamlift.requests import (
    CallersServer,
    Dependencies,
    Home,
    Requests,
)
from balsamlift.settings import Settings
from balsamlift.status import Status
from balsamlift.streams import StreamClient
from balsamlift.timeline import Timeline

log = logger.bind(part="daemon")


@attrs.frozen(kw_only=True)
class Ready:
    """Hold the line printed on standard output once a daemon listens."""

    host: str
    incarnation: str
    callers_address: str
    operators_address: str
    peers_address: str
    ready: bool = True


class Daemon:
    """Create, start and shut down the services of one host."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Create every service; servers bind their addresses here."""
        self.settings = settings
        self.clock = clock
        self.kernel = Kernel()
        self.home = Home(settings.host, new_incarnation())
        limits = settings.limits
        self.timeline = Timeline(settings.host, clock, limits.timeline_events)
        self.metrics = Metrics()
        memory = ClientMemory(
            ClientLimits(
                memory_bytes=limits.client_memory_bytes,
                connections=limits.client_connections,
            ),
            clock,
        )
        self.operators = OperatorsServer(
            settings.operators_address,
            memory,
            max(limits.body_bytes, MAX_BODY_BYTES),
        )
        http = HttpClient(self.timeline.stamp, self.timeline.observe)
        log_client = LogClient(
            settings.platform.log_address,
            settings.platform.log_silence_ms,
            clock,
            http,
        )
        self.presets = Presets(
            self.home.name,
            clock,
            http,
            retention_ms=settings.platform.log_retention_ms,
        )
        self.upstreams = Upstreams(settings, clock, http)
        self.callers = CallersServer(settings.callers_address, memory)
        self.peers = Peers(
            settings,
            self.home.incarnation,
            self.callers.address,
            clock,
            random.Random(settings.seed or None),
            memory=memory,
        )
        self.placement = Placement(clock, settings.seed)
        parts = Dependencies(
            settings=settings,
            clock=clock,
            http=http,
            streams=StreamClient(),
            timeline=self.timeline,
            metrics=self.metrics,
            presets=self.presets,
            upstreams=self.upstreams,
            peers=self.peers,
            placement=self.placement,
        )
        self.requests = Requests(parts, self.home)
        self.orders = Orders(
            self.home.name, clock, http, settings=settings.orders
        )
        self._register(log_client)

    def _register(self, log_client: LogClient) -> None:
        for service in (
            self.operators,
            self.timeline,
            self.metrics,
            log_client,
            self.upstreams,
            self.peers,
            self.presets,
            self.placement,
            self.requests,
            self.callers,
            self.orders,
            Status(self.settings, self.home),
        ):
            self.kernel.register(service)

    @property
    def ready(self) -> Ready:
        """Return the addresses on which this daemon listens."""
        return Ready(
            host=self.settings.host,
            incarnation=self.home.incarnation,
            callers_address=self.callers.address,
            operators_address=self.operators.address,
            peers_address=self.peers.address,
        )

    async def start(self) -> None:
        """Start every service."""
        await self.kernel.start()
        log.info("Host {} is up.", self.settings.host)

    async def shut_down(self) -> None:
        """Shut down gracefully, without interrupting requests.

        Callers cache addresses for `address_keep_ms`, so new keys are
        accepted for that long. Then the host waits for running requests, up
        to `shutdown_ms`, and hands its keys over to other hosts.
        """
        self.timeline.record("leaving")
        self.peers.announce_leaving()
        await self.clock.sleep(self.settings.address_keep_ms / 1_000)
        self.requests.accepting = False
        timeout_s = self.settings.shutdown_ms / 1_000
        if not await self.requests.wait_idle(timeout_s):
            log.error("Requests are still running after {} s.", timeout_s)
        await self.requests.hand_over()
        await self.kernel.stop()
        log.info("Host {} has left.", self.settings.host)


def run(settings: Settings) -> None:
    """Run one daemon until SIGTERM or SIGINT, then shut down gracefully."""
    return_freed_memory()
    exempt_loaded_code()
    logs.configure(settings.log_level, settings.log_json, host=settings.host)
    asyncio.run(_run(settings))


async def _run(settings: Settings) -> None:
    daemon = Daemon(settings, SystemClock())
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await daemon.start()
    sys.stdout.write(msgspec.json.encode(daemon.ready).decode() + "\n")
    sys.stdout.flush()
    await stop_requested.wait()
    await daemon.shut_down()
