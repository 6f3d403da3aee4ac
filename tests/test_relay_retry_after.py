"""Upstreams that refuse requests and ask for none for some time."""

import asyncio

import pytest
from _relay_load import PATHS, Load, Pool, run
from _virtual_time import LoopClock

from balsamlift.testing.relay import RelayHarness

RETRY_AFTER_S = 3.0
GRACE_S = 0.5  # after the refusal, for requests that are on their way
MOST_TOLERATED = 2  # requests within the time, after the grace
MAX_REFUSAL_S = 0.5


async def first_refusal(load: Load, pool: Pool) -> float:
    """Let the first upstream refuse until it has; return when it did."""
    first = pool.stand_ins[0]
    pool.refusing.add(first.name)
    first.retry_after = f"{RETRY_AFTER_S}"
    while not pool.arrivals[first.name]:
        await load.run(0.1)
    return pool.arrivals[first.name][0][1]


def arrivals_within(pool: Pool, refused_s: float) -> list[float]:
    """Return when requests arrived in the time without requests."""
    return [
        at_s
        for _, at_s in pool.arrivals[pool.stand_ins[0].name]
        if refused_s + GRACE_S < at_s < refused_s + RETRY_AFTER_S
    ]


@pytest.mark.parametrize("number", [1, 2])
@pytest.mark.parametrize(("path", "service"), PATHS)
def test_an_upstream_gets_no_requests_for_the_time_that_it_asked_for(
    path: str, service: str, number: int
) -> None:
    async def test() -> None:
        pool = Pool(service, number)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, path)
            refused_s = await first_refusal(load, pool)
            await load.run(RETRY_AFTER_S - 0.5)
            pool.refusing.clear()
            pool.stand_ins[0].retry_after = ""
            await load.run(3.0)
            assert len(arrivals_within(pool, refused_s)) <= MOST_TOLERATED

    run(test)


@pytest.mark.parametrize(("path", "service"), PATHS)
def test_another_upstream_serves_while_one_asks_for_no_requests(
    path: str, service: str
) -> None:
    async def test() -> None:
        pool = Pool(service, 2)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, path)
            await first_refusal(load, pool)
            await load.run(RETRY_AFTER_S - 0.5)
            pool.refusing.clear()
            pool.stand_ins[0].retry_after = ""
            await load.run(2.0)
            assert {call.status for call in load.calls} == {200}
            before = len(pool.arrivals[pool.stand_ins[0].name])
            calls = await load.run(4.0)
            served = len(pool.arrivals[pool.stand_ins[0].name]) - before
            assert served >= len(calls) / 4

    run(test)


@pytest.mark.parametrize(("path", "service"), PATHS)
def test_calls_are_refused_at_once_until_the_only_upstream_takes_some_again(
    path: str, service: str
) -> None:
    async def test() -> None:
        pool = Pool(service, 1)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, path)
            refused_s = await first_refusal(load, pool)
            calls = await load.run(1.0)
            end_s = refused_s + RETRY_AFTER_S
            assert {call.status for call in calls} == {503}
            assert max(call.took_s for call in calls) <= MAX_REFUSAL_S
            for call in calls:
                assert call.retry_after_s is not None
                # A caller waits for a third of its time at most.
                returns_s = call.ended_s + call.retry_after_s
                assert returns_s >= min(end_s, call.ended_s + 0.4)
            assert len({call.retry_after_s for call in calls}) > len(calls) / 2
            pool.refusing.clear()
            pool.stand_ins[0].retry_after = ""
            loop = asyncio.get_running_loop()
            await asyncio.sleep(end_s + 2.0 - loop.time())
            assert {call.status for call in await load.run(2.0)} == {200}

    run(test)
