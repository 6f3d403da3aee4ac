"""Limits on callers: oversized or slow requests are refused, not forwarded."""

import asyncio

import attrs
import pytest
from _relay_helpers import run

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

SHORT_TIMEOUTS = attrs.evolve(LIMITS, head_timeout_ms=300, idle_timeout_ms=400)


def replica() -> ReplicaStandIn:
    return ReplicaStandIn("plain-1", "plain", HEADER_NAMES)


# Both are over the limit of 16 KB. The second is too large to be read in full,
# but by so little that no byte stays unread, which could reset the connection.
@pytest.mark.parametrize("size", [20_000, 262_100])
def test_a_head_over_the_limit_gets_431_and_is_not_forwarded(size) -> None:
    async def test() -> None:
        stand_in = replica()
        async with RelayHarness([stand_in]) as world:
            world.configure()
            reader, writer = await world.connect()
            writer.write(request_bytes("/order/1", "big")[:-2])
            writer.write(b"Filler: " + b"x" * size)
            if size < 100_000:  # the end of a larger head is not read
                writer.write(b"\r\n\r\n")
            answer = await read_answer(reader)
            writer.close()
            next_answer = await world.call("/order/2", "next")
        assert answer.status == 431
        assert next_answer.status == 200
        assert stand_in.ids() == ["next"]

    run(test())


def test_a_head_within_the_limit_is_forwarded() -> None:
    async def test() -> None:
        async with RelayHarness([replica()]) as world:
            world.configure()
            headers = ["Filler: " + "x" * 15_000]
            answer = await world.call("/order/1", headers=headers)
        assert answer.status == 200

    run(test())


@pytest.mark.parametrize("start", [b"P", request_bytes("/order/1")[:-2]])
def test_a_slow_head_gets_408(start) -> None:
    async def test() -> None:
        stand_in = replica()
        async with RelayHarness([stand_in]) as world:
            world.configure(limits=SHORT_TIMEOUTS)
            reader, writer = await world.connect()
            writer.write(start)
            answer = await read_answer(reader)
            assert await reader.read() == b""
            writer.close()
        assert answer.status == 408
        assert answer.headers["Connection"] == "close"
        assert not stand_in.arrivals

    run(test())


def test_an_idle_connection_is_closed_after_its_limit() -> None:
    async def test() -> None:
        async with RelayHarness([replica()]) as world:
            world.configure(limits=SHORT_TIMEOUTS)
            reader, writer = await world.connect()
            writer.write(request_bytes("/order/1"))
            answer = await read_answer(reader)
            assert await reader.read() == b""  # closed without a response
            writer.close()
        assert answer.status == 200

    run(test())


def test_a_connection_may_idle_for_four_fifths_of_its_limit() -> None:
    async def test() -> None:
        async with RelayHarness([replica()]) as world:
            limits = attrs.evolve(LIMITS, idle_timeout_ms=2_000)
            world.configure(limits=limits)
            reader, writer = await world.connect()
            for i in range(2):
                writer.write(request_bytes("/order/1", f"r{i}"))
                assert (await read_answer(reader)).status == 200
                await asyncio.sleep(1.6)
            writer.close()

    run(test())


def test_head_limits_do_not_end_a_running_request() -> None:
    async def slow(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await asyncio.sleep(1.5)
        await connection.answer(request, b"late")

    async def test() -> None:
        stand_in = replica()
        stand_in.behave = slow
        async with RelayHarness([stand_in]) as world:
            world.configure(limits=SHORT_TIMEOUTS)
            answer = await world.call("/order/1")
        assert answer.status == 200
        assert answer.body == b"late"

    run(test())


def test_a_request_whose_handling_fails_gets_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a connection that is closed for a fault of the host."""

    async def test() -> None:
        stand_in = replica()
        async with RelayHarness([stand_in]) as world:
            world.configure()
            reader, writer = await world.connect()
            admission = world.relay._admission
            with monkeypatch.context() as patched:
                patched.setattr(admission, "admit", {}.__getitem__)
                writer.write(request_bytes("/order/1", "r1"))
                assert (await read_answer(reader)).status == 500
            writer.write(request_bytes("/order/1", "r2"))
            assert (await read_answer(reader)).status == 200
            writer.close()
        assert stand_in.ids() == ["r2"]

    run(test())


@pytest.mark.parametrize(
    ("chunk", "count", "status"),
    [
        (b"1\r\nx\r\n", 10_000, 400),
        (b"10\r\n%b\r\n" % (b"x" * 16), 2_000, 200),
    ],
    ids=["of a byte", "of 16 bytes"],
)
def test_a_body_in_small_chunks_is_bounded_and_holds_up_nobody(
    chunk: bytes, count: int, status: int
) -> None:
    """Guard against callers whose chunks take turns of the event loop."""

    async def test() -> None:
        stand_in = replica()
        async with RelayHarness([stand_in]) as world:
            world.configure()
            head = request_bytes("/order/1", "r1").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            reader, writer = await world.connect()
            writer.write(head + chunk * count + b"0\r\n\r\n")
            answering = asyncio.create_task(read_answer(reader))
            others = 0
            while not answering.done():
                answer = await world.call("/order/1", f"other-{others}")
                assert answer.status == 200
                others += 1
            assert (await answering).status == status
            writer.close()
        assert others
        is_whole = [len(a.body) for a in stand_in.arrivals if a.body]
        assert is_whole == ([16 * count] if status == 200 else [])

    run(test())
