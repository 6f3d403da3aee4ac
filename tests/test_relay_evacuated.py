"""Evacuated failure domains get no work; callers are refused immediately."""

import asyncio
import time

import pytest
from _relay_helpers import (
    USAGE,
    behave_all,
    first_event,
    hang_midway,
    run,
    stream,
    until_arrived,
)

from balsamlift.peers import EvacuationSnapshot
from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

SENDS = 20


def replicas(pool: str, domains: list[str]) -> list[ReplicaStandIn]:
    return [
        ReplicaStandIn(f"i-{n}", pool, HEADER_NAMES, failure_domain=domain)
        for n, domain in enumerate(domains)
    ]


def evacuate(world: RelayHarness, end: int, *domains: str) -> None:
    snapshot = EvacuationSnapshot(end, list(domains))
    world.upstreams.evacuations.offer(snapshot, "store")


@pytest.mark.parametrize(
    ("path", "pool"),
    [("/view/1", "plain"), ("/order/1", "plain"), ("/draft/1", "model")],
)
def test_no_new_calls_go_there_until_the_evacuation_ends(
    path: str, pool: str
) -> None:
    async def test() -> None:
        stand_ins = replicas(pool, ["north", "south"])
        if pool == "model":
            behave_all(stand_ins, stream)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            evacuate(world, 1, "north")
            calls = [world.call(path, headers=USAGE) for _ in range(SENDS)]
            answers = await asyncio.gather(*calls)
            assert {answer.status for answer in answers} == {200}
            assert not stand_ins[0].arrivals
            evacuate(world, 2)
            calls = [world.call(path, headers=USAGE) for _ in range(SENDS)]
            await asyncio.gather(*calls)
            assert stand_ins[0].arrivals

    run(test())


@pytest.mark.parametrize(
    ("path", "pool"), [("/view/1", "plain"), ("/draft/1", "model")]
)
def test_callers_are_refused_immediately_if_all_is_evacuated(
    path: str, pool: str
) -> None:
    async def test() -> None:
        stand_ins = replicas(pool, ["north", "south"])
        async with RelayHarness(stand_ins) as world:
            world.configure()
            evacuate(world, 1, "north", "south")
            began_s = time.monotonic()
            answer = await world.call(path, headers=USAGE)
            # Well below the target of 1 s, the limit for waiting for memory.
            assert time.monotonic() - began_s < 0.5
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 0
            assert not any(s.arrivals for s in stand_ins)

    run(test())


def test_waiting_calls_are_refused_when_the_last_domain_is_evacuated() -> None:
    async def test() -> None:
        (stand_in,) = replicas("model", ["north"])
        stand_in.behave = hang_midway
        async with RelayHarness([stand_in]) as world:
            world.configure()
            large = [f"{HEADER_NAMES.token_usage}: 9000,900"]
            first = asyncio.create_task(world.call("/draft/1", headers=large))
            await until_arrived([stand_in])
            waiting = [
                asyncio.create_task(
                    world.call("/draft/2", f"w{n}", headers=large)
                )
                for n in range(6)
            ]
            await asyncio.sleep(0.1)
            assert not any(task.done() for task in waiting)
            evacuate(world, 1, "north")
            evacuated_s = time.monotonic()
            answers = await asyncio.gather(*waiting)
            # Within two polls of 0.1 s each; the target is 1 s.
            assert time.monotonic() - evacuated_s < 0.4
            assert {answer.status for answer in answers} == {503}
            assert len(stand_in.arrivals) == 1
            first.cancel()

    run(test())


def test_running_generations_complete_in_an_evacuated_domain() -> None:
    go_on = asyncio.Event()

    async def slow(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.begin_stream(request)
        await connection.events(first_event(request), 4)
        await go_on.wait()
        await connection.events(5, 9)
        await connection.end_stream()

    async def test() -> None:
        stand_ins = replicas("model", ["north", "south"])
        behave_all(stand_ins, slow)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            calling = asyncio.create_task(
                world.call("/draft/1", headers=USAGE)
            )
            used = await until_arrived(stand_ins)
            evacuate(world, 1, used.failure_domain)
            await asyncio.sleep(0.1)
            go_on.set()
            answer = await calling
            assert answer.is_whole
            assert world.engines.copies == []

    run(test())


@pytest.mark.parametrize("is_lost", [False, True])
def test_generations_are_not_moved_to_an_evacuated_domain(
    is_lost: bool,
) -> None:
    """Neither by a move nor on a backup that was chosen before."""
    lose = asyncio.Event()

    async def hang(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.begin_stream(request)
        await connection.events(first_event(request), 4)
        await lose.wait()
        connection.reset()

    async def test() -> None:
        stand_ins = replicas("model", ["north", "south"])
        behave_all(stand_ins, hang)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            calling = asyncio.create_task(
                world.call("/draft/1", headers=USAGE)
            )
            used = await until_arrived(stand_ins)
            (other,) = [s for s in stand_ins if s is not used]
            evacuate(world, 1, other.failure_domain)
            if is_lost:
                await asyncio.sleep(0.05)
            else:
                used.state = "leaving"
                await asyncio.sleep(0.4)
            lose.set()
            answer = await calling
            assert not answer.is_whole
            assert not other.arrivals
            assert world.engines.copies == []

    run(test())
