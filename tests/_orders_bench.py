"""Hosts that give orders, and engines, in one process."""

import asyncio
import random
from contextlib import asynccontextmanager

import attrs
from presets_bench import deployment, make_preset

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
    """Know of no other host."""

    def __init__(self):
        pass

    def live(self):
        return []

    @property
    def leaving(self):
        return False


class FixedUpstreams(Upstreams):
    """List the engines given."""

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
    """Let no sleep end while paused; time goes on."""

    def __init__(self):
        self.runs = asyncio.Event()
        self.runs.set()

    async def sleep(self, delay_s):
        await super().sleep(delay_s)
        await self.runs.wait()


class Giver:
    """A host with the service `orders`, which can be held up."""

    def __init__(self, host, engines, settings):
        self.host = host
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
        host.http.call = self._held_call
        self._read = host.http.read
        host.http.read = self._held_read
        self.holds_back = lambda method, url: False
        self.let_go = asyncio.Event()
        self.held = asyncio.Event()

    async def start(self):
        kernel = Kernel()
        upstreams = FixedUpstreams(self._engines)
        for service in (self.host.presets, self.host.timeline, upstreams):
            kernel.register(service)
        kernel.register(NoPeers())
        await self.orders.start(kernel)

    def events(self, kind):
        return self.host.timeline.events(kind=kind)

    async def _held_call(self, method, url, *arguments, **options):
        await self._hold(method, url)
        return await self._call(method, url, *arguments, **options)

    async def _held_read(self, url, *arguments, **options):
        await self._hold("GET", url)
        return await self._read(url, *arguments, **options)

    async def _hold(self, method, url):
        if self.holds_back(method, url):
            self.held.set()
            await self.let_go.wait()


class World:
    """A platform, engines and hosts that give orders."""

    def __init__(self, made, engines):
        self.made = made
        self.engines = engines
        self.givers = []

    async def giver(self, name, **changes):
        host = await self.made.host(name)
        settings = attrs.evolve(SETTINGS, **changes)
        giver = Giver(host, self.engines, settings)
        self.givers.append(giver)
        await giver.start()
        return giver

    async def want(self, model):
        """Publish and switch to a preset that wants this model."""
        preset = attrs.evolve(
            make_preset(model),
            pools={POOL: PoolPreset(model=model, version="1")},
        )
        await self.made.operator().publish(preset)
        result = await self.made.operator().switch(model)
        assert result.state == "accepted"
        return result.generation

    def all_are(self, model):
        states = [engine.orders.state for engine in self.engines]
        return all(s.model == model and not s.loading for s in states)

    def loading(self):
        return sum(engine.orders.state.loading for engine in self.engines)


@asynccontextmanager
async def world(engines=1, checks_fence=True, load_ms=20):
    """Run a platform and engines; stop all at the end."""
    async with deployment(weight_loads_per_s=100.0) as made:
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
        made_world = World(made, running)
        try:
            yield made_world
        finally:
            for giver in made_world.givers:
                giver.let_go.set()
                giver.clock.runs.set()
                await giver.orders.stop()
            for engine in running:
                await engine.stop()
