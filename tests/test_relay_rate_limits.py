"""Rate limits that upstreams name in their answers, as one host keeps them."""

import asyncio

import attrs
import pytest
from _relay_helpers import (
    USAGE,
    behave_all,
    hang_midway,
    reset,
    run,
    stream,
    until_arrived,
)

from balsamlift.peers._permits import STARTUP_S
from balsamlift.relay import Service
from balsamlift.testing._relay_harness import ENGINE
from balsamlift.testing._replica import answer_ok
from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

PATHS = [("/view/1", "plain"), ("/order/1", "plain"), ("/draft/1", "model")]
LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# The platform tolerates this much beyond what the limit allows.
TOLERATED_FACTOR, TOLERATED_EXTRA = 1.5, 5
CALLS = 60  # within the window
# Room for all calls at once: generations that wait for memory are refused at
# their target, which they reach on a busy machine.
SERVICES = (
    Service(name="plain", max_connections=100),
    Service(
        name="model",
        max_connections=100,
        engine=attrs.evolve(ENGINE, memory_tokens=10_000 * CALLS),
    ),
)
MAX_WAIT_S = 2.0  # longer than any call waits for a permit or memory


def most_tolerated(limit_per_s: float) -> float:
    """Return the most requests that may arrive within `WINDOW_S`."""
    return TOLERATED_FACTOR * limit_per_s * WINDOW_S + TOLERATED_EXTRA


def make_stand_ins(pool: str, number: int) -> list[ReplicaStandIn]:
    stand_ins = [
        ReplicaStandIn(f"{pool}-{n}", pool, HEADER_NAMES)
        for n in range(number)
    ]
    if pool == "model":
        behave_all(stand_ins, stream)
    return stand_ins


async def call_until_limit_is_named(
    world: RelayHarness, path: str, limited: ReplicaStandIn
) -> None:
    while not limited.arrivals:
        await world.call(path, headers=USAGE)
    limited.arrivals.clear()


@pytest.mark.parametrize(("path", "pool"), PATHS)
def test_an_upstream_gets_no_more_than_the_rate_limit_it_names(
    path: str, pool: str
) -> None:
    async def test() -> None:
        limited, other = make_stand_ins(pool, 2)
        limited.rate_limit = str(LIMIT_PER_S)
        async with RelayHarness([limited, other]) as world:
            world.configure(services=SERVICES)
            await call_until_limit_is_named(world, path, limited)
            calls = [
                world.call(path, f"r{n}", headers=USAGE) for n in range(CALLS)
            ]
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200] * CALLS
            assert len(limited.arrivals) <= most_tolerated(LIMIT_PER_S)

    run(test())


async def until_permits_are_granted(world: RelayHarness) -> None:
    """Wait for the time that a host needs to know the others."""
    await asyncio.sleep(STARTUP_S)


@pytest.mark.parametrize(("path", "pool"), PATHS)
def test_calls_beyond_all_rate_limits_are_refused_at_once(
    path: str, pool: str
) -> None:
    async def test() -> None:
        stand_ins = make_stand_ins(pool, 2)
        for stand_in in stand_ins:
            stand_in.rate_limit = str(LIMIT_PER_S)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            for stand_in in stand_ins:
                await call_until_limit_is_named(world, path, stand_in)
            await until_permits_are_granted(world)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            calls = [
                world.call(path, f"r{n}", headers=USAGE) for n in range(CALLS)
            ]
            answers = await asyncio.gather(*calls)
            assert loop.time() - began_s <= MAX_WAIT_S
            for stand_in in stand_ins:
                assert len(stand_in.arrivals) <= most_tolerated(LIMIT_PER_S)
            served = [a for a in answers if a.status == 200]
            refused = [a for a in answers if a.status == 503]
            assert len(served) + len(refused) == CALLS
            assert served
            waits = {a.headers["Retry-After"] for a in refused}
            assert min(map(float, waits)) > 0

    run(test())


def test_callers_beyond_a_rate_limit_do_not_return_together() -> None:
    async def test() -> None:
        (limited,) = make_stand_ins("plain", 1)
        limited.rate_limit = "4"
        async with RelayHarness([limited]) as world:
            world.configure()
            await call_until_limit_is_named(world, "/order/1", limited)
            await until_permits_are_granted(world)
            calls = [world.call("/order/1", f"r{n}") for n in range(CALLS)]
            answers = await asyncio.gather(*calls)
            waits_s = [
                float(answer.headers["Retry-After"])
                for answer in answers
                if answer.status == 503
            ]
            assert len(waits_s) > CALLS / 2
            assert len(set(waits_s)) > len(waits_s) / 2

    run(test())


def test_an_upstream_whose_limit_ended_gets_its_share_again() -> None:
    async def test() -> None:
        limited, other = make_stand_ins("plain", 2)
        limited.rate_limit = "0"
        async with RelayHarness([limited, other]) as world:
            world.configure()
            await call_until_limit_is_named(world, "/order/1", limited)
            limited.rate_limit = ""
            while world.peers.permits.is_limited(limited.name):
                await world.call("/order/1")
                await asyncio.sleep(0.05)
            limited.arrivals.clear()
            for number in range(CALLS):
                await world.call("/order/1", f"r{number}")
            assert len(limited.arrivals) > CALLS / 4

    run(test())


@pytest.mark.parametrize(("status", "told"), [(500, 500), (503, 502)])
def test_an_error_without_the_header_does_not_end_a_limit(
    status: int, told: int
) -> None:
    async def fail(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        connection.statements.clear()
        await connection.answer(request, b"failed", status)

    async def test() -> None:
        (limited,) = make_stand_ins("plain", 1)
        limited.rate_limit = "50"
        async with RelayHarness([limited]) as world:
            world.configure()
            await call_until_limit_is_named(world, "/order/1", limited)
            await until_permits_are_granted(world)
            limited.behave = fail
            answer = await world.call("/order/1")
            assert answer.status == told
            assert len(limited.arrivals) == 1
            assert world.peers.permits.is_limited(limited.name)

    run(test())


@pytest.mark.parametrize("values", [["9", "4"], ["9, 4"], ["4", "soon"]])
def test_of_several_limits_in_an_answer_the_smallest_counts(
    values: list[str],
) -> None:
    async def answer(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        for value in values:
            connection.statements.add(HEADER_NAMES.rate_limit, value)
        await connection.answer(request, b"done")

    async def test() -> None:
        (limited,) = make_stand_ins("plain", 1)
        limited.behave = answer
        async with RelayHarness([limited]) as world:
            world.configure()
            await world.call("/order/1")
            limit = world.peers.rate_limits.find(limited.name)
            assert limit is not None
            assert limit.limit_per_s == 4.0

    run(test())


def name_limit(
    world: RelayHarness, stand_in: ReplicaStandIn, limit_per_s: float
) -> None:
    """Let the relay know a limit, as if another answer had named it."""
    now_s = world.clock.monotonic()
    world.peers.rate_limits.record(stand_in.name, limit_per_s, now_s)


def test_without_a_permit_a_call_goes_to_an_ejected_upstream() -> None:
    async def test() -> None:
        limited, other = make_stand_ins("plain", 2)
        async with RelayHarness([limited, other]) as world:
            world.configure()
            await until_permits_are_granted(world)
            name_limit(world, limited, 0.0)
            other.behave = reset
            await world.call("/view/1", "r1")  # ejects the other one
            limited.arrivals.clear()
            other.behave = answer_ok
            answer = await world.call("/view/1", "r2")
            assert answer.status == 200
            assert other.ids()[-1] == "r2"
            assert not limited.arrivals

    run(test())


def test_a_backup_is_kept_at_an_engine_without_a_limit() -> None:
    async def test() -> None:
        first, second, third = stand_ins = make_stand_ins("model", 3)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            name_limit(world, second, 50.0)
            name_limit(world, third, 50.0)
            await world.call("/draft/1", headers=USAGE)
            (request,) = first.arrivals
            assert HEADER_NAMES.backup_address not in request.headers

    run(test())


def test_a_generation_resumes_at_an_engine_whose_permits_are_spent() -> None:
    async def test() -> None:
        stand_ins = make_stand_ins("model", 2)
        behave_all(stand_ins, hang_midway)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            await until_permits_are_granted(world)
            calling = asyncio.create_task(
                world.call("/draft/1", headers=USAGE)
            )
            used = await until_arrived(stand_ins)
            await asyncio.sleep(0.1)  # until its first events have arrived
            (backup,) = [s for s in stand_ins if s is not used]
            backup.behave = stream
            name_limit(world, backup, 0.0)
            used.state = "leaving"
            answer = await calling
            assert answer.is_whole

    run(test())
