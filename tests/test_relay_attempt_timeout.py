"""An attempt without a response ends where another may do better."""

import asyncio

import pytest
from _relay_helpers import DEADLINE_S, behave_all, until_arrived

from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

DEADLINE_MS = 2_500  # 0.4 of it is the time of a first attempt
STOPPED_S = 1.6


async def stop(connection: ReplicaConnection, request: ReplicaRequest) -> None:
    await asyncio.sleep(STOPPED_S)
    await connection.answer(request, b"done")


def make_replicas(count: int) -> list[ReplicaStandIn]:
    replicas = [
        ReplicaStandIn(f"u{n}", "plain", HEADER_NAMES) for n in range(count)
    ]
    behave_all(replicas, stop)
    return replicas


@pytest.mark.parametrize("count", [1, 3])
def test_a_call_is_not_given_up_while_all_upstreams_are_silent(
    count: int,
) -> None:
    replicas = make_replicas(count)
    goes_on = asyncio.Event()

    async def wait(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await goes_on.wait()
        await connection.answer(request, b"done")

    async def check() -> None:
        async with (
            asyncio.timeout(DEADLINE_S),
            RelayHarness(replicas) as world,
        ):
            world.configure()
            behave_all(replicas, wait)
            calls = [
                asyncio.create_task(
                    world.call("/view/1", f"r{n}", deadline_ms=DEADLINE_MS)
                )
                for n in range(6)
            ]
            await asyncio.sleep(STOPPED_S)
            assert sum(len(replica.arrivals) for replica in replicas) == 6
            goes_on.set()
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200] * 6

    asyncio.run(check())


def test_a_call_is_not_given_up_without_a_retry_left() -> None:
    replicas = make_replicas(2)

    async def check() -> None:
        async with (
            asyncio.timeout(DEADLINE_S),
            RelayHarness(replicas) as world,
        ):
            world.configure()
            call = asyncio.create_task(
                world.call("/view/1", deadline_ms=DEADLINE_MS)
            )
            await until_arrived(replicas)
            while world.relay._retries.spend("plain"):
                pass
            assert (await call).status == 200

    asyncio.run(check())


def test_a_call_goes_to_an_upstream_that_is_not_silent() -> None:
    replicas = make_replicas(2)

    async def answer(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.answer(request, b"done")

    async def check() -> None:
        async with (
            asyncio.timeout(DEADLINE_S),
            RelayHarness(replicas) as world,
        ):
            world.configure()
            first = asyncio.create_task(
                world.call("/view/1", deadline_ms=DEADLINE_MS)
            )
            await until_arrived(replicas)
            behave_all(replicas, answer)
            began_s = asyncio.get_running_loop().time()
            assert (await first).status == 200
            took_s = asyncio.get_running_loop().time() - began_s
            assert took_s < STOPPED_S - 0.2

    asyncio.run(check())
