"""Upstreams that refuse requests and ask for none for some time."""

import asyncio

import pytest
from _relay_helpers import (
    USAGE,
    Behave,
    hang_midway,
    refuse,
    stream,
    until_arrived,
)
from _relay_load import (
    PATHS,
    Load,
    Pool,
    begin_generation,
    begin_waiting_for_memory,
    run,
)
from _virtual_time import LoopClock

from balsamlift.peers._permits import STARTUP_S
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
)

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


def refuse_by(status: int, *, has_run: bool) -> Behave:
    """Refuse, and say that the request did not run unless it may have."""

    async def refuse(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        lines = [] if has_run else [f"{HEADER_NAMES.not_executed}: 1"]
        await connection.head(request, status, "Content-Length: 0", *lines)

    return refuse


# An upstream got requests in the time for which its 429 had asked for none.
@pytest.mark.parametrize("status", [429, 503])
@pytest.mark.parametrize("has_run", [True, False], ids=["ran", "not run"])
@pytest.mark.parametrize(("path", "service"), PATHS)
def test_a_refusal_with_a_time_counts_by_any_status_and_whether_it_ran(
    path: str, service: str, has_run: bool, status: int
) -> None:
    async def test() -> None:
        pool = Pool(service, 2)
        first = pool.stand_ins[0]
        first.behave = refuse_by(status, has_run=has_run)
        first.retry_after = f"{RETRY_AFTER_S}"
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, path)
            while not first.arrivals:
                await load.run(0.1)
            await asyncio.sleep(GRACE_S)
            first.arrivals.clear()
            await load.run(RETRY_AFTER_S - 1.0)
            assert first.arrivals == []

    run(test)


@pytest.mark.parametrize(
    ("values", "pause_s"),
    [
        *[
            ([value], 1.0)
            for value in ("soon", "-1", "nan", "inf", "1" + "0" * 400, "")
        ],
        (["3, 3"], 3.0),
        (["3", "3"], 3.0),
        (["3", "5"], 5.0),
        (["soon", "3"], 3.0),
    ],
)
def test_a_time_that_is_given_oddly_is_read_on_the_safe_side(
    values: list[str], pause_s: float
) -> None:
    async def refuse_oddly(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        for value in values:
            connection.statements.add("Retry-After", value)
        await refuse(connection, request)

    async def test() -> None:
        pool = Pool("plain", 1)
        first = pool.stand_ins[0]
        answer, first.behave = first.behave, refuse_oddly
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            await world.call("/order/1", "r1")
            ends_s = asyncio.get_running_loop().time() + pause_s
            first.behave = answer
            await asyncio.sleep(pause_s - 0.5)
            await world.call("/order/1", "r2")
            await asyncio.sleep(1.1)
            assert (await world.call("/order/1", "r3")).status == 200
            assert all(s >= ends_s for _, s in pool.arrivals["plain-0"])

    run(test)


def test_after_the_time_one_call_at_a_time_is_sent_until_one_is_answered() -> (
    None
):
    async def hang(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        arrived.append(request)
        await connection.reader.read()

    arrived: list[ReplicaRequest] = []

    async def test() -> None:
        pool = Pool("plain", 1)
        first = pool.stand_ins[0]
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            pool.refusing.add(first.name)
            first.retry_after = "1"
            await world.call("/order/1", "r1")
            first.behave = hang
            await asyncio.sleep(1.6)
            calls = [
                asyncio.create_task(world.call("/order/1", f"r{number}"))
                for number in range(2, 7)
            ]
            await asyncio.sleep(0.3)
            assert len(arrived) == 1
            for call in calls:
                call.cancel()

    run(test)


def test_a_restart_under_the_same_id_is_not_bound_by_the_time() -> None:
    async def test() -> None:
        pool = Pool("plain", 1)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, "/order/1")
            await first_refusal(load, pool)
            pool.refusing.clear()
            pool.stand_ins[0].started_ms = 5
            await asyncio.sleep(0.1)
            assert (await world.call("/order/1", "r999")).status == 200

    run(test)


def test_an_ejected_upstream_is_used_before_one_that_asked_for_none() -> None:
    async def test() -> None:
        pool = Pool("plain", 2)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, "/order/1")
            await first_refusal(load, pool)
            world.relay._balancer.eject("plain-1")
            calls = await load.run(0.3)
            assert {call.status for call in calls} == {200}

    run(test)


def test_a_call_waits_for_the_end_if_that_is_soon() -> None:
    async def test() -> None:
        pool = Pool("plain", 1)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, "/order/1")
            refused_s = await first_refusal(load, pool)
            pool.refusing.clear()
            loop = asyncio.get_running_loop()
            end_s = refused_s + RETRY_AFTER_S
            await asyncio.sleep(end_s - loop.time() - 0.2)
            calls = await load.run(0.2)
            assert {call.status for call in calls} == {200}
            assert arrivals_within(pool, refused_s) == []

    run(test)


def test_a_lost_generation_resumes_at_a_backup_that_asked_for_none() -> None:
    async def test() -> None:
        pool = Pool("model", 2)
        pool.set_behaviour(hang_midway)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            calling, used = await begin_generation(world, pool)
            (backup,) = [s for s in pool.stand_ins if s is not used]
            backup.behave = stream
            world.relay._retry_after.record(backup.name, RETRY_AFTER_S)
            for task in list(used.open):
                task.cancel()
            answer = await calling
            assert answer.is_whole

    run(test)


def test_an_engine_that_asked_for_none_is_not_asked_for_reports() -> None:
    async def test() -> None:
        pool = Pool("model", 1)
        pool.stand_ins[0].behave = hang_midway
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            calling = asyncio.create_task(
                world.call("/draft/1", headers=USAGE)
            )
            await until_arrived(pool.stand_ins)
            world.relay._retry_after.record("model-0", 1.0)
            world.list.is_down = True
            await asyncio.sleep(1.0)
            assert world.engines.report_calls == []
            await asyncio.sleep(1.5)
            assert world.engines.report_calls != []
            calling.cancel()

    run(test)


LONG_PAUSE_S = 30.0


def test_a_generation_that_waits_for_memory_is_refused_on_a_pause() -> None:
    """It waited until its target and was then told to come back too soon."""

    async def test() -> None:
        pool = Pool("model", 1)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            first, second = await begin_waiting_for_memory(world, pool)
            await check_refused_on_pause(world, pool, [second])
            assert len(pool.stand_ins[0].arrivals) == 1
            first.cancel()

    run(test)


@pytest.mark.parametrize(("path", "service"), PATHS)
def test_a_request_that_waits_for_a_permit_is_refused_on_a_pause(
    path: str, service: str
) -> None:
    """It waited for the permit and was then told to come back too soon."""

    async def test() -> None:
        pool = Pool(service, 1)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            name = pool.stand_ins[0].name
            await asyncio.sleep(STARTUP_S + 1.0)
            loop = asyncio.get_running_loop()
            world.peers.rate_limits.record(name, 2.0, loop.time())
            await asyncio.sleep(1.0)
            calls = [
                asyncio.create_task(world.call(path, f"r{n}", headers=USAGE))
                for n in range(20)
            ]
            await asyncio.sleep(0.1)
            waiting = [call for call in calls if not call.done()]
            assert waiting
            arrived = len(pool.arrivals[name])
            await check_refused_on_pause(world, pool, waiting)
            assert len(pool.arrivals[name]) == arrived

    run(test)


async def check_refused_on_pause(
    world: RelayHarness, pool: Pool, calls: list[asyncio.Task[CallerAnswer]]
) -> None:
    """Let the only upstream ask for no requests while these calls wait."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    world.relay._retry_after.record(pool.stand_ins[0].name, LONG_PAUSE_S)
    for call in calls:
        answer = await call
        reason = b"upstreams asked for no requests\n"
        assert (answer.status, answer.body) == (503, reason)
    assert loop.time() - began_s <= MAX_REFUSAL_S
