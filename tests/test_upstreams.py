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
from balsamlift.peers._marks import LEAVING_HOLD_S, UNTOLD_HOLD_S, Marks
from balsamlift.settings import PlatformSettings, PoolSettings, Settings
from balsamlift.timeline import Timeline

DEADLINE_S = 15.0


class SkippingClock(SystemClock):
    """A clock whose monotonic time can be moved on."""

    skipped_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.skipped_s


@attrs.define
class Fakes:
    """What the fake list and the fake engine answer."""

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
class Bench:
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
    before = probes.TIMEOUT_MS
    probes.TIMEOUT_MS = 200
    yield
    probes.TIMEOUT_MS = before


def run(
    scenario: Callable[[Bench], Awaitable[None]],
    prepare: Callable[[Bench], None],
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
        bench = Bench(fakes, server, upstreams, clock, timeline)
        prepare(bench)
        kernel = Kernel()
        for service in (server, timeline, Metrics(), upstreams):
            kernel.register(service)
        await kernel.start()
        try:
            await scenario(bench)
        finally:
            await kernel.stop()
            http.close()

    asyncio.run(main())


def two_engines(bench: Bench) -> None:
    bench.fakes.hosts = [bench.entry("e1"), bench.entry("e2")]


def test_joins_the_list_with_the_pools() -> None:
    def prepare(bench: Bench) -> None:
        bench.fakes.hosts = [
            bench.entry("e1", failure_domain="d2"),
            bench.entry("t1", pool="tracker", state="leaving"),
            bench.entry("x1", pool="unknown"),
            {"name": "h1", "role": "entry", "peers_address": "127.0.0.1:4"},
            {"name": 5, "role": "upstream"},
        ]

    async def scenario(bench: Bench) -> None:
        assert bench.upstreams.find("e1") == Upstream(
            name="e1",
            pool="drafting",
            kind="engine",
            address=bench.server.address,
            failure_domain="d2",
            checks_fence=True,
        )
        assert bench.states() == {"e1": "live", "t1": "leaving"}
        assert bench.usable("tracker") == []
        (host,) = bench.upstreams.entry_hosts()
        assert (host.host, host.peers_address) == ("h1", "127.0.0.1:4")

    run(scenario, prepare)


@pytest.mark.parametrize("fault", ["status", "empty"])
def test_the_last_list_stays_in_force(fault: str) -> None:
    async def scenario(bench: Bench) -> None:
        kept = bench.fakes.hosts
        if fault == "status":
            bench.fakes.status = 503
        else:
            bench.fakes.hosts = []
        await until(lambda: bench.timeline.events(kind="hosts_down"))
        assert bench.usable() == ["e1", "e2"]
        bench.fakes.status = 200
        bench.fakes.hosts = [*kept, bench.entry("e3")]
        await until(lambda: bench.usable() == ["e1", "e2", "e3"])

    run(scenario, two_engines)


def test_leaving_stays_until_a_new_incarnation() -> None:
    async def scenario(bench: Bench) -> None:
        told: list[Upstream] = []
        bench.upstreams.on_mark(told.append)
        bench.upstreams.mark("e1", "leaving", "refusal")
        bench.upstreams.mark("e1", "live", "answer")
        assert bench.usable() == ["e2"]
        assert [u.name for u in told] == ["e1"]
        reads = bench.fakes.reads
        await until(lambda: bench.fakes.reads > reads + 2)
        assert bench.usable() == ["e2"]
        bench.fakes.hosts = [bench.entry("e2")]
        await until(lambda: "e1" not in bench.states())
        bench.fakes.hosts = [bench.entry("e1"), bench.entry("e2")]
        await until(lambda: sorted(bench.usable()) == ["e1", "e2"])

    run(scenario, two_engines)


def test_what_the_list_says_is_told_again_and_again() -> None:
    def prepare(bench: Bench) -> None:
        bench.fakes.hosts = [bench.entry("e1", state="leaving")]

    async def scenario(bench: Bench) -> None:
        told: list[Upstream] = []
        bench.upstreams.on_mark(told.append)
        await until(lambda: len(told) > 3)
        assert {(u.name, u.state) for u in told} == {("e1", "leaving")}

    run(scenario, prepare)


def test_leaving_is_taken_back_by_the_upstream_itself() -> None:
    async def scenario(bench: Bench) -> None:
        bench.upstreams.mark("e1", "leaving", "peer")
        assert bench.usable() == ["e2"]
        while bench.usable() == ["e2"]:
            bench.clock.skipped_s += 1
            assert bench.clock.skipped_s < LEAVING_HOLD_S * 20
            await asyncio.sleep(0.1)
        assert bench.clock.skipped_s > LEAVING_HOLD_S / 2

    run(scenario, two_engines)


def test_sees_an_engine_drain() -> None:
    async def scenario(bench: Bench) -> None:
        bench.fakes.draining = True
        await until(lambda: not bench.usable())
        assert set(bench.states().values()) == {"leaving"}

    run(scenario, two_engines)


def test_many_engines_are_not_probed_all_at_once() -> None:
    engines = 400

    def prepare(bench: Bench) -> None:
        names = [f"e{number}" for number in range(engines)]
        bench.fakes.hosts = [bench.entry(name) for name in names]

    async def scenario(bench: Bench) -> None:
        await until(lambda: bench.fakes.reads > 30)  # about 1.5 s
        await until(lambda: bench.fakes.probes)
        assert bench.fakes.probes < engines / 4

    run(scenario, prepare)


def test_dead_until_it_answers() -> None:
    async def scenario(bench: Bench) -> None:
        bench.upstreams.mark("e1", "dead", "connection")
        assert bench.usable() == ["e2"]
        await until(lambda: bench.usable() == ["e1", "e2"])

    run(scenario, two_engines)


def test_silent_and_refusing_engines_are_dead() -> None:
    def prepare(bench: Bench) -> None:
        refusing = bench.entry("e2", address="127.0.0.1:9")
        bench.fakes.hosts = [bench.entry("e1"), refusing]
        bench.fakes.silent = True

    async def scenario(bench: Bench) -> None:
        with short_probe_timeout():
            await until(lambda: set(bench.states().values()) == {"dead"})

    run(scenario, prepare)


def test_peers_word_alone_does_not_empty_a_pool() -> None:
    async def scenario(bench: Bench) -> None:
        bench.upstreams.mark("e1", "dead", "peer")
        assert bench.usable() == ["e2"]
        bench.upstreams.mark("e2", "dead", "peer")
        assert bench.usable() == ["e1", "e2"]
        bench.upstreams.mark("e1", "leaving", "peer")
        assert bench.usable() == ["e2"]
        bench.upstreams.mark("e2", "dead", "connection")
        assert bench.usable() == []

    run(scenario, two_engines)


@pytest.mark.parametrize(
    ("draining", "after_s", "state"),
    [
        (False, LEAVING_HOLD_S - 1, "leaving"),
        (False, LEAVING_HOLD_S, "live"),
        (None, UNTOLD_HOLD_S - 1, "leaving"),
        (None, UNTOLD_HOLD_S, "live"),
        (True, UNTOLD_HOLD_S, "leaving"),
    ],
)
def test_an_answer_takes_marks_back(
    draining: bool | None, after_s: float, state: str
) -> None:
    marks = Marks()
    marks.add("leaving", by_peer=False, now_s=0)
    marks.add("dead", by_peer=True, now_s=0)
    assert marks.worst == "dead"
    marks.answered(draining, after_s)
    assert marks.worst == state


def test_a_host_that_others_tell_reads_the_list_less_often() -> None:
    async def scenario(bench: Bench) -> None:
        bench.upstreams.share_reading(lambda: False)
        await asyncio.sleep(0.2)  # a read may be under way
        before = bench.fakes.reads
        await asyncio.sleep(1.0)  # twenty reads otherwise
        assert bench.fakes.reads - before <= 1
        bench.upstreams.share_reading(lambda: True)
        await until(lambda: bench.fakes.reads > before + 3)

    run(scenario, two_engines)


def test_a_list_that_is_down_is_asked_less_and_less_often() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: bench.fakes.reads > 3)
        bench.fakes.status = 503
        await until(lambda: bench.upstreams.is_cut_off)
        before = bench.fakes.reads
        await asyncio.sleep(2.0)  # forty reads otherwise
        # 25 to 50 ms, then twice as long each time up to 800.
        assert bench.fakes.reads - before <= 12
        bench.fakes.status = 200
        await until(lambda: not bench.upstreams.is_cut_off)

    run(scenario, two_engines)
