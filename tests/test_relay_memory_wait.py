"""Generations that find no engine memory, as their callers are answered."""

import asyncio

import attrs
import pytest
from _relay_helpers import stream
from _relay_load import Pool, begin_waiting_for_memory, run
from _virtual_time import LoopClock

from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    configuration,
)

FULL = [
    f"{HEADER_NAMES.token_usage}: 8000,500",
    f"{HEADER_NAMES.length_hint}: 100",
]
AT_ONCE_S = 0.2
RENEWED_S = 0.5
LONG_MS = 20_000.0


def learn(world: RelayHarness, held_ms: float) -> None:
    """Let the host have seen generations that ended after that time."""
    wait = world.relay._generations._placement._memory_wait
    for _ in range(100):
        wait._residence.record("model", 8_000, 3_000.0, held_ms)


def test_one_that_would_wait_in_vain_is_told_at_once_when_to_return() -> None:
    async def test() -> None:
        pool = Pool("model", 1)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            first, second = await begin_waiting_for_memory(world, pool)
            learn(world, LONG_MS)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            answers = await asyncio.gather(
                *(world.call("/draft/1", f"n{n}", headers=FULL) for n in "34")
            )
            assert loop.time() - began_s <= AT_ONCE_S
            assert {answer.status for answer in answers} == {503}
            assert len({a.headers["Retry-After"] for a in answers}) == 2
            answer = await second
            assert answer.status == 503
            assert loop.time() - began_s <= RENEWED_S
            counters = world.metrics.snapshot().counters
            assert counters["generations.refused.too_late"] == 3
            assert len(pool.stand_ins[0].arrivals) == 1
            first.cancel()

    run(test)


@pytest.mark.parametrize(
    ("target_ms", "ends_after_s"), [(100, 1.0), (400, 1.5)]
)
def test_one_that_still_waits_at_its_target_is_refused_and_never_runs(
    target_ms: int, ends_after_s: float
) -> None:
    async def slow(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        if request.headers[HEADER_NAMES.request_id] == "r1":
            await asyncio.sleep(ends_after_s)
        await stream(connection, request)

    async def test() -> None:
        pool = Pool("model", 1)
        pool.set_behaviour(slow)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            routes = configuration().routes
            world.configure(
                routes=[attrs.evolve(r, target_ms=target_ms) for r in routes]
            )
            first = asyncio.create_task(
                world.call("/draft/1", "r1", headers=FULL)
            )
            while not pool.stand_ins[0].arrivals:
                await asyncio.sleep(0.005)
            second = await world.call("/draft/1", "r2", headers=FULL)
            answers = [await first, second]
            assert [answer.status for answer in answers] == [200, 503]
            assert float(answers[1].headers["Retry-After"]) > 0
        assert [name for each in pool.stand_ins for name in each.ids()] == [
            "r1"
        ]

    run(test)
