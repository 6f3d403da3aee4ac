"""Upstreams that say in their answers that they are leaving."""

import asyncio

import pytest
from _relay_load import PATHS, Load, Pool, run
from _virtual_time import LoopClock

from balsamlift.testing.relay import RelayHarness

DRAIN_S = 2.0  # after a notice until the upstream gets no more requests
MAX_REFUSAL_S = 0.5
LENGTH_S = 30.0  # longer than any report of an upstream's state lasts


async def first_answer(load: Load, pool: Pool) -> float:
    """Return the time by which the first upstream has answered a call."""
    first = pool.stand_ins[0].name
    while not pool.arrivals[first]:
        await load.run(0.1)
    return asyncio.get_running_loop().time()


def late_arrivals(load: Load, pool: Pool, noticed_s: float) -> list[float]:
    """Return when requests arrived that were sent too long after a notice."""
    sent_s = {call.number: call.sent_s for call in load.calls}
    return [
        at_s
        for number, at_s in pool.arrivals[pool.stand_ins[0].name]
        if sent_s[number] > noticed_s + DRAIN_S
    ]


@pytest.mark.parametrize("list_is_down", [False, True])
@pytest.mark.parametrize(("path", "service"), PATHS)
def test_an_upstream_that_gave_notice_gets_no_requests_though_listed_live(
    path: str, service: str, list_is_down: bool
) -> None:
    async def test() -> None:
        pool = Pool(service, 2)
        pool.stand_ins[0].leaving = "1"
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            world.list.is_down = list_is_down
            load = Load(world, path)
            noticed_s = await first_answer(load, pool)
            await load.run(LENGTH_S, per_s=5.0)
            assert late_arrivals(load, pool, noticed_s) == []
            assert {call.status for call in load.calls} == {200}

    run(test)


@pytest.mark.parametrize(("path", "service"), PATHS)
def test_calls_are_refused_at_once_if_all_upstreams_gave_notice(
    path: str, service: str
) -> None:
    async def test() -> None:
        pool = Pool(service, 1)
        pool.stand_ins[0].leaving = "1"
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            world.list.is_down = True
            load = Load(world, path)
            noticed_s = await first_answer(load, pool)
            await load.run(9.0)
            assert late_arrivals(load, pool, noticed_s) == []
            late = [c for c in load.calls if c.sent_s > noticed_s + DRAIN_S]
            assert {call.status for call in late} == {503}
            assert max(call.took_s for call in late) <= MAX_REFUSAL_S
            assert all(call.retry_after_s for call in late)

    run(test)
