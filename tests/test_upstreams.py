"""States of upstreams from the list, probes and reports of peers."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import attrs
import pytest

import balsamlift.peers._probes as probes
from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import JsonHandler, OperatorsServer
from balsamlift.peers import Upstream, Upstreams
from balsamlift.peers._observed_states import (
    LEAVING_HOLD_S,
    UNREPORTED_HOLD_S,
    ObservedStates,
)
from balsamlift.settings import PlatformSettings, PoolSettings, Settings
from balsamlift.timeline import Timeline

DEADLINE_S = 15.0


class SkippingClock(SystemClock):
    """A clock whose monotonic time can be advanced."""

    skipped_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.skipped_s


@attrs.define
class Fakes:
    """Answers of the fake list and the fake engine, and call counters."""

    hosts: list[dict[str, Any]] = attrs.field(factory=list)
    status: int = 200
    reads: int = 0
    probes: int = 0
    draining: bool = False
    silent: bool = False


class FakeHandler(JsonHandler):
    def initialize(self, fakes: Fakes) -> None:
        self.fakes = fakes


class ListHandler(FakeHandler):
    def get(self) -> None:
        self.fakes.reads += 1
        self.reply({"hosts": self.fakes.hosts}, self.fakes.status)


class StateHandler(FakeHandler):
    async def get(self) -> None:
        self.fakes.probes += 1
        if self.fakes.silent:
            await asyncio.sleep(60)
        self.reply({"draining": self.fakes.draining})


@attrs.define
class World:
    fakes: Fakes
    server: OperatorsServer
    upstreams: Upstreams
    clock: SkippingClock
    timeline: Timeline

    def entry(self, name: str, **fields: Any) -> dict[str, Any]:
        address = fields.pop("address", self.server.address)
        role, pool = "upstream", "drafting"
        entry = {"name": name, "role": role, "pool": pool, "address": address}
        return {**entry, **fields}

    def states(self) -> dict[str, str]:
        return {u.name: u.state for u in self.upstreams.all()}

    def usable(self, pool: str = "drafting") -> list[str]:
        return [u.name for u in self.upstreams.in_pool(pool)]


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(DEADLINE_S):
        while not condition():
            await asyncio.sleep(0.02)


@contextmanager
def short_probe_timeout() -> Iterator[None]:
    before = probes.PROBE_TIMEOUT_MS
    probes.PROBE_TIMEOUT_MS = 200
    yield
    probes.PROBE_TIMEOUT_MS = before


def run(
    scenario: Callable[[World], Awaitable[None]],
    prepare: Callable[[World], None],
) -> None:
    async def main() -> None:
        fakes = Fakes()
        server = OperatorsServer("127.0.0.1:0")
        arguments = {"fakes": fakes}
        server.add_routes([("/v1/hosts", ListHandler, arguments)])
        server.add_routes([("/v1/state", StateHandler, arguments)])
        settings = Settings(
            host="h1",
            failure_domain="d1",
            callers_address="127.0.0.1:0",
            operators_address="127.0.0.1:0",
            peers_address="127.0.0.1:0",
            platform=PlatformSettings(
                log_address="127.0.0.1:9",
                hosts_address=server.address,
                hosts_poll_ms=50,
                hosts_follow_ms=2_000,
            ),
            pools={
                "drafting": PoolSettings(kind="engine", checks_fence=True),
                "tracker": PoolSettings(kind="service"),
            },
            seed=7,
        )
        clock = SkippingClock()
        http = HttpClient()
        upstreams = Upstreams(settings, clock, http)
        timeline = Timeline("h1", clock, 1_000)
        world = World(fakes, server, upstreams, clock, timeline)
        prepare(world)
        kernel = Kernel()
        for service in (server, timeline, Metrics(), upstreams):
            kernel.register(service)
        await kernel.start()
        try:
            await scenario(world)
        finally:
            await kernel.stop()
            http.close()

    asyncio.run(main())


def two_engines(world: World) -> None:
    world.fakes.hosts = [world.entry("e1"), world.entry("e2")]


def test_entries_are_joined_with_their_pools() -> None:
    def prepare(world: World) -> None:
        world.fakes.hosts = [
            world.entry("e1", failure_domain="d2"),
            world.entry("t1", pool="tracker", state="leaving"),
            world.entry("x1", pool="unknown"),
            {"name": "h1", "role": "entry", "peers_address": "127.0.0.1:4"},
            {"name": 5, "role": "upstream"},
        ]

    async def scenario(world: World) -> None:
        assert world.upstreams.find("e1") == Upstream(
            name="e1",
            pool="drafting",
            kind="engine",
            address=world.server.address,
            failure_domain="d2",
            checks_fence=True,
        )
        assert world.states() == {"e1": "live", "t1": "leaving"}
        assert world.usable("tracker") == []
        (host,) = world.upstreams.entry_hosts()
        assert (host.host, host.peers_address) == ("h1", "127.0.0.1:4")

    run(scenario, prepare)


@pytest.mark.parametrize("fault", ["status", "empty"])
def test_the_last_list_stays_in_force_during_an_outage(fault: str) -> None:
    async def scenario(world: World) -> None:
        kept = world.fakes.hosts
        if fault == "status":
            world.fakes.status = 503
        else:
            world.fakes.hosts = []
        await until(lambda: world.timeline.events(kind="hosts_down"))
        assert world.usable() == ["e1", "e2"]
        world.fakes.status = 200
        world.fakes.hosts = [*kept, world.entry("e3")]
        await until(lambda: world.usable() == ["e1", "e2", "e3"])

    run(scenario, two_engines)


def test_leaving_holds_until_a_new_incarnation() -> None:
    async def scenario(world: World) -> None:
        notified: list[Upstream] = []
        world.upstreams.on_mark(notified.append)
        world.upstreams.mark("e1", "leaving", "refusal")
        world.upstreams.mark("e1", "live", "answer")
        assert world.usable() == ["e2"]
        assert [u.name for u in notified] == ["e1"]
        reads = world.fakes.reads
        await until(lambda: world.fakes.reads > reads + 2)
        assert world.usable() == ["e2"]
        world.fakes.hosts = [world.entry("e2")]
        await until(lambda: "e1" not in world.states())
        world.fakes.hosts = [world.entry("e1"), world.entry("e2")]
        await until(lambda: sorted(world.usable()) == ["e1", "e2"])

    run(scenario, two_engines)


def test_listed_states_are_reported_after_each_read() -> None:
    def prepare(world: World) -> None:
        world.fakes.hosts = [world.entry("e1", state="leaving")]

    async def scenario(world: World) -> None:
        notified: list[Upstream] = []
        world.upstreams.on_mark(notified.append)
        await until(lambda: len(notified) > 3)
        assert {(u.name, u.state) for u in notified} == {("e1", "leaving")}

    run(scenario, prepare)


def test_leaving_is_cleared_by_answers_of_the_upstream() -> None:
    async def scenario(world: World) -> None:
        world.upstreams.mark("e1", "leaving", "peer")
        assert world.usable() == ["e2"]
        while world.usable() == ["e2"]:
            world.clock.skipped_s += 1
            assert world.clock.skipped_s < LEAVING_HOLD_S * 20
            await asyncio.sleep(0.1)
        assert world.clock.skipped_s > LEAVING_HOLD_S / 2

    run(scenario, two_engines)


def test_a_draining_engine_is_leaving() -> None:
    async def scenario(world: World) -> None:
        world.fakes.draining = True
        await until(lambda: not world.usable())
        assert set(world.states().values()) == {"leaving"}

    run(scenario, two_engines)


def test_many_engines_are_not_probed_all_at_once() -> None:
    engines = 400

    def prepare(world: World) -> None:
        names = [f"e{number}" for number in range(engines)]
        world.fakes.hosts = [world.entry(name) for name in names]

    async def scenario(world: World) -> None:
        await until(lambda: world.fakes.reads > 30)  # about 1.5 s
        await until(lambda: world.fakes.probes)
        assert world.fakes.probes < engines / 4

    run(scenario, prepare)


def test_an_upstream_is_dead_until_it_answers() -> None:
    async def scenario(world: World) -> None:
        world.upstreams.mark("e1", "dead", "connection")
        assert world.usable() == ["e2"]
        await until(lambda: world.usable() == ["e1", "e2"])

    run(scenario, two_engines)


def test_unresponsive_and_refusing_engines_are_dead() -> None:
    def prepare(world: World) -> None:
        refusing = world.entry("e2", address="127.0.0.1:9")
        world.fakes.hosts = [world.entry("e1"), refusing]
        world.fakes.silent = True

    async def scenario(world: World) -> None:
        with short_probe_timeout():
            await until(lambda: set(world.states().values()) == {"dead"})

    run(scenario, prepare)


def test_reports_of_peers_alone_do_not_empty_a_pool() -> None:
    async def scenario(world: World) -> None:
        world.upstreams.mark("e1", "dead", "peer")
        assert world.usable() == ["e2"]
        world.upstreams.mark("e2", "dead", "peer")
        assert world.usable() == ["e1", "e2"]
        world.upstreams.mark("e1", "leaving", "peer")
        assert world.usable() == ["e2"]
        world.upstreams.mark("e2", "dead", "connection")
        assert world.usable() == []

    run(scenario, two_engines)


@pytest.mark.parametrize(
    ("draining", "after_s", "state"),
    [
        (False, LEAVING_HOLD_S - 1, "leaving"),
        (False, LEAVING_HOLD_S, "live"),
        (None, UNREPORTED_HOLD_S - 1, "leaving"),
        (None, UNREPORTED_HOLD_S, "live"),
        (True, UNREPORTED_HOLD_S, "leaving"),
    ],
)
def test_an_answer_clears_observations(
    draining: bool | None, after_s: float, state: str
) -> None:
    observed = ObservedStates()
    observed.add("leaving", by_peer=False, now_s=0)
    observed.add("dead", by_peer=True, now_s=0)
    assert observed.worst == "dead"
    observed.record_answer(draining, after_s)
    assert observed.worst == state


def test_a_host_that_receives_the_list_reads_it_less_often() -> None:
    async def scenario(world: World) -> None:
        world.upstreams.share_reading(lambda: False)
        await asyncio.sleep(0.2)  # a read may be under way
        before = world.fakes.reads
        await asyncio.sleep(1.0)  # twenty reads otherwise
        assert world.fakes.reads - before <= 1
        world.upstreams.share_reading(lambda: True)
        await until(lambda: world.fakes.reads > before + 3)

    run(scenario, two_engines)


def test_reads_back_off_while_the_list_is_unavailable() -> None:
    async def scenario(world: World) -> None:
        await until(lambda: world.fakes.reads > 3)
        world.fakes.status = 503
        await until(lambda: world.upstreams.is_list_unavailable)
        before = world.fakes.reads
        await asyncio.sleep(2.0)  # forty reads otherwise
        # Delays of 25 to 50 ms, doubled each time, up to 800 ms.
        assert world.fakes.reads - before <= 12
        world.fakes.status = 200
        await until(lambda: not world.upstreams.is_list_unavailable)

    run(scenario, two_engines)
