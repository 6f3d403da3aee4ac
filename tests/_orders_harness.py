"""Hosts with the service `orders`, and engines, in one process."""

import asyncio
import random
from contextlib import asynccontextmanager

import attrs
from _presets_harness import make_preset, run_deployment

from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.orders import Orders
from balsamlift.peers import Peers, Upstream, Upstreams
from balsamlift.presets import PoolPreset
from balsamlift.settings import OrderSettings
from balsamlift.testing import EngineSettings
from balsamlift.testing._engine import Engine
from balsamlift.testing._engine_handlers import engine_routes

POOL = "drafting"
SETTINGS = OrderSettings(
    term_ms=3_000,
    renew_ms=1_800,
    look_ms=20,
    spread_ms=20,
    send_ms=800,
    margin_ms=100,
    sweep_ms=50,
    read_ms=5,
    poll_ms=20,
    repeat_ms=1_000,
)


class NoPeers(Peers):
    """Fake of `peers` that knows no other host."""

    def __init__(self):
        pass

    def live(self):
        return []

    @property
    def leaving(self):
        return False


class FixedUpstreams(Upstreams):
    """Fake of `upstreams` that lists a fixed set of engines."""

    def __init__(self, engines):
        self._engines = engines

    def in_pool(self, pool):
        return [
            Upstream(
                name=engine.settings.name,
                pool=pool,
                kind="engine",
                address=engine.ready()["address"],
                failure_domain="domain-1",
            )
            for engine in self._engines
        ]


class PausingClock(SystemClock):
    """Clock whose sleeps do not end while paused; its time goes on."""

    def __init__(self):
        self.running = asyncio.Event()
        self.running.set()

    async def sleep(self, delay_s):
        await super().sleep(delay_s)
        await self.running.wait()


class OrderingHost:
    """Host with the service `orders` whose HTTP calls can be blocked."""

    def __init__(self, host, engines, settings):
        self.preset_host = host
        self.clock = PausingClock()
        self.orders = Orders(
            f"{host.name}~1",
            self.clock,
            host.http,
            settings=settings,
            rng=random.Random(host.name),
        )
        self._engines = engines
        self._call = host.http.call
        host.http.call = self._blocking_call
        self._read = host.http.read
        host.http.read = self._blocking_read
        self.should_block = lambda method, url: False
        self.unblock = asyncio.Event()
        self.blocked = asyncio.Event()

    async def start(self):
        kernel = Kernel()
        upstreams = FixedUpstreams(self._engines)
        for service in (
            self.preset_host.presets,
            self.preset_host.timeline,
            upstreams,
        ):
            kernel.register(service)
        kernel.register(NoPeers())
        await self.orders.start(kernel)

    def events(self, kind):
        return self.preset_host.timeline.events(kind=kind)

    async def _blocking_call(self, method, url, *arguments, **options):
        await self._block(method, url)
        return await self._call(method, url, *arguments, **options)

    async def _blocking_read(self, url, *arguments, **options):
        await self._block("GET", url)
        return await self._read(url, *arguments, **options)

    async def _block(self, method, url):
        if self.should_block(method, url):
            self.blocked.set()
            await self.unblock.wait()


class Cluster:
    """Platform, engines and hosts with the service `orders`."""

    def __init__(self, preset_deployment, engines):
        self.preset_deployment = preset_deployment
        self.engines = engines
        self.hosts = []

    async def add_host(self, name, **changes):
        host = await self.preset_deployment.host(name)
        settings = attrs.evolve(SETTINGS, **changes)
        ordering_host = OrderingHost(host, self.engines, settings)
        self.hosts.append(ordering_host)
        await ordering_host.start()
        return ordering_host

    async def switch_to(self, model):
        """Publish a preset with this model and switch to it."""
        preset = attrs.evolve(
            make_preset(model),
            pools={POOL: PoolPreset(model=model, version="1")},
        )
        await self.preset_deployment.operator().publish(preset)
        result = await self.preset_deployment.operator().switch(model)
        assert result.state == "accepted"
        return result.generation

    def all_run(self, model):
        states = [engine.orders.state for engine in self.engines]
        return all(s.model == model and not s.loading for s in states)

    def loading_count(self):
        return sum(engine.orders.state.loading for engine in self.engines)


@asynccontextmanager
async def run_cluster(engines=1, checks_fence=True, load_ms=20):
    """Run a platform and engines; stop them at the end."""
    async with run_deployment(weight_loads_per_s=100.0) as preset_deployment:
        running = [
            Engine(
                EngineSettings(
                    name=f"engine-{number}",
                    checks_fence=checks_fence,
                    model_load_ms=load_ms,
                ),
                SystemClock(),
                engine_routes,
            )
            for number in range(engines)
        ]
        for engine in running:
            await engine.start()
        cluster = Cluster(preset_deployment, running)
        try:
            yield cluster
        finally:
            for ordering_host in cluster.hosts:
                ordering_host.unblock.set()
                ordering_host.clock.running.set()
                await ordering_host.orders.stop()
            for engine in running:
                await engine.stop()
