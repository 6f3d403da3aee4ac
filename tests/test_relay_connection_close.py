"""Test that the last response on a caller's connection arrives."""

import asyncio

import pytest
from _relay_helpers import connect_slowly, run

from balsamlift.testing.relay import (
    HEADER_NAMES,
    LIMITS,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    read_answer,
    request_bytes,
)

LARGE_BYTES = 4_000_000
SLOW_READ_S = 0.3


def replica() -> ReplicaStandIn:
    return ReplicaStandIn("plain-0", "plain", HEADER_NAMES)


async def answer_much(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.answer(request, b"x" * LARGE_BYTES)


@pytest.mark.parametrize("extra", [(), ("Expect: 100-continue",)])
def test_a_refusal_arrives_while_its_body_is_still_sent(
    extra: tuple[str, ...],
) -> None:
    """Unread bytes reset the connection, and the refusal was lost."""

    async def test() -> None:
        async with RelayHarness([replica()]) as world:
            world.configure()
            reader, writer = await world.connect()
            body = b"x" * (4 * LIMITS.body_bytes)
            head = request_bytes("/order/1", body=body, headers=extra)
            writer.write(head)
            await writer.drain()
            answer = await read_answer(reader)
            assert answer.status == 413
            assert answer.headers["Connection"] == "close"
            assert await reader.read() == b""
            writer.close()

    run(test())


def test_a_connection_is_closed_after_its_last_response() -> None:
    """A host said `Connection: close`, and passed on what came after it."""

    async def test() -> None:
        stand_in = replica()
        async with RelayHarness([stand_in]) as world:
            world.configure()
            reader, writer = await world.connect()
            writer.write(request_bytes("/order/1", "r1"))
            assert (await read_answer(reader)).status == 200
            world.frontend.drain()
            writer.write(request_bytes("/order/1", "r2"))
            answer = await read_answer(reader)
            assert answer.headers["Connection"] == "close"
            writer.write(request_bytes("/order/1", "r3"))
            with pytest.raises((asyncio.IncompleteReadError, OSError)):
                await read_answer(reader)
            writer.close()
        assert stand_in.ids() == ["r1", "r2"]

    run(test())


def test_a_request_behind_the_last_response_does_not_reset_it() -> None:
    """The rest of a response was lost as the next request was unread."""

    async def test() -> None:
        stand_in = replica()
        stand_in.behave = answer_much
        async with RelayHarness([stand_in]) as world:
            world.configure()
            world.frontend.drain()
            reader, writer = await world.connect()
            writer.write(request_bytes("/order/1", "r1"))
            writer.write(request_bytes("/order/1", "r2"))
            await asyncio.sleep(SLOW_READ_S)
            answer = await read_answer(reader)
            assert answer.is_whole
            assert len(answer.body) == LARGE_BYTES
            writer.close()
        assert stand_in.ids() == ["r1"]

    run(test())


def test_a_closing_frontend_sends_what_is_left() -> None:
    """The exit discarded the part of a response that was not sent yet."""

    async def test() -> None:
        stand_in = replica()
        stand_in.behave = answer_much
        async with RelayHarness([stand_in]) as world:
            world.configure()
            reader, writer = await connect_slowly(world)
            writer.write(request_bytes("/order/1", "r1"))
            while not world.frontend.unsent_count:
                await asyncio.sleep(0.005)
            closing = asyncio.create_task(world.frontend.close(5.0))
            answer = await read_answer(reader)
            assert answer.is_whole
            assert len(answer.body) == LARGE_BYTES
            await closing
            writer.close()

    run(test())


def test_a_closing_frontend_refuses_bodies_that_never_end() -> None:
    """Their connections were closed without a response."""

    async def test() -> None:
        stand_in = replica()
        async with RelayHarness([stand_in]) as world:
            world.configure()
            reader, writer = await world.connect()
            request = request_bytes("/order/1", "r1", body=b"x" * 100)
            writer.write(request[:-50])
            while world.frontend.is_idle:
                await asyncio.sleep(0.005)
            closing = asyncio.create_task(world.frontend.close(5.0))
            answer = await read_answer(reader)
            assert (answer.status, answer.is_whole) == (503, True)
            await closing
            writer.close()
        assert not stand_in.arrivals

    run(test())
