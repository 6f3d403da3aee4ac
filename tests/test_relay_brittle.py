"""Upstreams that fall over when they have to turn many requests away."""

import asyncio
from collections import Counter
from collections.abc import Collection

import pytest
from _manual_clock import ManualClock
from _relay_fleet import relay_fleet
from _relay_helpers import USAGE, run, stream

from balsamlift.peers import Upstream
from balsamlift.peers._host_ranks import find_rank, hosts_for
from balsamlift.relay._balance import Balancer
from balsamlift.relay._scope import Scope
from balsamlift.relay.statements import BrittlePools
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    route,
)

REPLICAS = 3
SLOTS = 2
WORK_S = 0.2  # long, so that a busy machine is no slower
CAPACITY_PER_S = REPLICAS * SLOTS / WORK_S
# Requests that may wait at a replica, at first and once it is brittle.
WAITING_AT_FIRST, WAITING = 4, 1
TELLS_S = 0.3  # until it lets fewer wait
MAX_TURNED_AWAY = 3  # in a second
DOWN_S = 1.5
LENGTH_S = 6.0
TOLERATED_FALLS = 2


class BrittleReplica(ReplicaStandIn):
    """A replica that crashes when it turns too many requests away."""

    def __init__(self, name: str) -> None:
        super().__init__(name, "plain", HEADER_NAMES, slots=SLOTS)
        self.behave = self._work
        self.falls = 0
        self.served = 0
        self._waiting = 0
        self._places = asyncio.Semaphore(SLOTS)
        self._turned_away_s: list[float] = []
        self._started_s = asyncio.get_running_loop().time()

    async def _work(
        self, connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        connection.statements["Brittle"] = str(MAX_TURNED_AWAY)
        now_s = asyncio.get_running_loop().time()
        tells = now_s < self._started_s + TELLS_S
        may_wait = WAITING_AT_FIRST if tells else WAITING
        if self._places.locked() and self._waiting >= may_wait:
            await self._turn_away(connection, request, now_s)
            return
        self._waiting += 1
        async with self._places:
            self._waiting -= 1
            await asyncio.sleep(WORK_S)
        self.served += 1
        await connection.answer(request, b"done")

    async def _turn_away(
        self,
        connection: ReplicaConnection,
        request: ReplicaRequest,
        now_s: float,
    ) -> None:
        self._turned_away_s = [
            at_s for at_s in self._turned_away_s if at_s > now_s - 1.0
        ] + [now_s]
        if len(self._turned_away_s) <= MAX_TURNED_AWAY:
            await connection.refuse(request)
            return
        self.falls += 1
        self._turned_away_s = []
        self.crash()
        connection.reset()
        asyncio.get_running_loop().call_later(DOWN_S, self._rise)

    def _rise(self) -> None:
        self.task = asyncio.create_task(self.start(self.address))


async def press(world: RelayHarness, calls_per_s: float) -> Counter[int]:
    """Call at that rate; return the number of answers by status."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    tasks: list[asyncio.Task[CallerAnswer]] = []
    while (elapsed_s := loop.time() - began_s) < LENGTH_S:
        while len(tasks) < elapsed_s * calls_per_s:
            call = world.call(f"/order/{len(tasks)}", f"r{len(tasks)}")
            tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.01)
    return Counter(a.status for a in await asyncio.gather(*tasks))


async def most_at_once(world: RelayHarness, replica: ReplicaStandIn) -> int:
    """Call four times at once; return how many ran at the same time."""
    behave = replica.behave
    running = 0
    most = 0

    async def work(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        nonlocal running, most
        running += 1
        most = max(most, running)
        await asyncio.sleep(WORK_S)
        running -= 1
        await behave(connection, request)

    replica.behave = work
    calls = [world.call(f"/order/{n}", f"s{n}") for n in range(4)]
    await asyncio.gather(*calls)
    return most


def test_a_pressure_beyond_brittle_upstreams_does_not_bring_them_down() -> (
    None
):
    async def test() -> None:
        replicas = [BrittleReplica(f"plain-{n}") for n in range(REPLICAS)]
        async with RelayHarness(replicas) as world:
            world.configure()
            statuses = await press(world, 1.15 * CAPACITY_PER_S)
        falls = sum(replica.falls for replica in replicas)
        calls = sum(statuses.values())
        assert falls <= TOLERATED_FALLS + REPLICAS // 10, statuses
        assert set(statuses) <= {200, 503}
        assert statuses[200] > 0.6 * calls

    run(test())


def test_brittle_upstreams_that_tell_no_slots_get_what_they_can_run() -> None:
    async def test() -> None:
        replicas = [BrittleReplica(f"plain-{n}") for n in range(REPLICAS)]
        for replica in replicas:
            replica.slots = 0
        async with RelayHarness(replicas) as world:
            world.configure()
            statuses = await press(world, 0.75 * CAPACITY_PER_S)
        falls = sum(replica.falls for replica in replicas)
        assert falls <= TOLERATED_FALLS + REPLICAS // 10, statuses
        assert statuses[200] > 0.55 * CAPACITY_PER_S * LENGTH_S

    run(test())


def test_a_place_at_a_brittle_upstream_wakes_one_waiting_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All of them took all the time of a host under pressure."""
    calls = 30
    looks: list[bool] = []
    is_crowded = Balancer.is_crowded

    def look(self: Balancer, scope: Scope, tried: Collection[str]) -> bool:
        looks.append(is_crowded(self, scope, tried))
        return looks[-1]

    async def work(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await asyncio.sleep(0.01)
        await connection.answer(request, b"done")

    async def test() -> None:
        replica = ReplicaStandIn("plain-0", "plain", HEADER_NAMES, slots=1)
        replica.brittle = "3"
        replica.behave = work
        async with RelayHarness([replica]) as world:
            world.configure()
            await world.call("/order/1", "r")
            monkeypatch.setattr(Balancer, "is_crowded", look)
            answers = await asyncio.gather(
                *(world.call("/order/1", f"r{n}") for n in range(calls))
            )
        assert {answer.status for answer in answers} <= {200, 503}
        assert looks.count(True) <= 3 * calls

    run(test())


def test_refusals_for_brittle_upstreams_say_when_to_come_back() -> None:
    async def test() -> None:
        replicas = [BrittleReplica(f"plain-{n}") for n in range(REPLICAS)]
        async with RelayHarness(replicas) as world:
            world.configure()
            await world.call("/order/1", "r1")
            calls = [
                asyncio.create_task(world.call(f"/order/{n}", f"r{n}"))
                for n in range(200)
            ]
            answers = await asyncio.gather(*calls)
        refused = [a for a in answers if a.status == 503]
        waits_s = {float(a.headers["Retry-After"]) for a in refused}
        assert len(waits_s) > 20

    run(test())


def test_a_pool_that_is_brittle_no_more_is_used_in_full() -> None:
    async def test() -> None:
        replica = ReplicaStandIn("plain-0", "plain", HEADER_NAMES, slots=1)
        async with RelayHarness([replica]) as world:
            world.configure()
            replica.brittle = "3"
            await world.call("/order/1", "r1")
            replica.brittle = ""
            await world.call("/order/2", "r2")
            assert await most_at_once(world, replica) == 4

    run(test())


@pytest.mark.parametrize("number", [1, 7, 87, 195])
@pytest.mark.parametrize("slots", [0, 1, 6, 32])
def test_hosts_together_send_no_more_than_an_upstream_runs(
    number: int, slots: int
) -> None:
    hosts = [f"edge-{n}" for n in range(number)]
    upstream = Upstream(
        name="i-1",
        pool="plain",
        kind="service",
        address="127.0.0.1:9",
        failure_domain="north",
        slots=slots,
    )
    places: dict[str, int] = {}
    holders: list[set[str]] = []
    for host in hosts:
        others = set(hosts) - {host}
        pools = BrittlePools(
            ManualClock(),
            lambda subject, own=host, rest=others: find_rank(  # type: ignore[misc]
                own, rest, subject
            ),
            lambda subject: hosts_for(hosts, subject),
        )
        assert pools.places(upstream) is None
        pools.record(upstream, "3")
        places[host] = pools.places(upstream) or 0
        holders.append(pools.holders([upstream]))
    assert sum(places.values()) == max(slots, 1)
    having_some = {host for host, share in places.items() if share}
    assert all(found == having_some for found in holders)


@pytest.mark.parametrize(
    ("path", "pool"), [("/order/", "plain"), ("/draft/", "model")]
)
def test_a_host_without_a_place_lets_another_carry(
    path: str, pool: str
) -> None:
    async def test() -> None:
        replica = ReplicaStandIn(f"{pool}-0", pool, HEADER_NAMES, slots=1)
        replica.brittle = "3"
        if pool == "model":
            replica.behave = stream
        async with relay_fleet([replica], 3) as fleet:
            for number, host in enumerate(fleet):
                await host.relay.call(f"{path}1", f"a{number}", headers=USAGE)
            answers = [
                await host.relay.call(f"{path}2", f"b{number}", headers=USAGE)
                for number, host in enumerate(fleet)
            ]
        assert [answer.status for answer in answers] == [200] * 3
        carried = [
            host.relay.metrics.snapshot().counters.get("relay.carried", 0)
            for host in fleet
        ]
        assert sorted(carried) == [0, 0, 2]

    run(test())


@pytest.mark.parametrize("text", ["3", "0", "03, 5", "", "many"])
def test_any_spelling_of_the_statement_binds(text: str) -> None:
    async def test() -> None:
        replica = ReplicaStandIn("plain-0", "plain", HEADER_NAMES, slots=1)

        async def say(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            connection.statements.add("Brittle", text)
            connection.statements.add("Brittle", text)
            await connection.answer(request, b"done")

        replica.behave = say
        async with RelayHarness([replica]) as world:
            world.configure()
            await world.call("/order/1", "r1")
            assert await most_at_once(world, replica) == 1

    run(test())


def test_generations_take_places_at_brittle_engines() -> None:
    """Guard against engines that fall over for generations beyond slots."""

    async def test() -> None:
        engine = ReplicaStandIn("model-0", "model", HEADER_NAMES, slots=SLOTS)
        engine.brittle = str(MAX_TURNED_AWAY)
        running: list[str] = []
        most = 0

        async def generate(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            nonlocal most
            running.append(request.headers[HEADER_NAMES.request_id])
            most = max(most, len(running))
            await connection.begin_stream(request)
            await connection.events(0, 1, WORK_S / 2)
            running.remove(request.headers[HEADER_NAMES.request_id])
            await connection.end_stream()

        engine.behave = generate
        async with RelayHarness([engine]) as world:
            unhurried = route("stream", "/draft/", "model", target_ms=3_000)
            world.configure(routes=(unhurried,))
            await world.call("/draft/1", "first", headers=USAGE)
            calls = [
                world.call("/draft/1", f"r{n}", headers=USAGE)
                for n in range(3 * SLOTS)
            ]
            answers = await asyncio.gather(*calls)
        assert [answer.is_whole for answer in answers] == [True] * len(calls)
        assert most == SLOTS

    run(test())
