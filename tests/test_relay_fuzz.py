"""Malformed requests are refused and never forwarded as another request."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamlift.testing.relay import (
    HEADER_NAMES,
    HOST,
    KEY,
    RelayHarness,
    ReplicaStandIn,
    request_bytes,
)

DEADLINE_S = 20.0
GOOD = (
    f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n"
    f"{HEADER_NAMES.request_id}: %s\r\nAuthorization: Token {KEY}\r\n"
)
HIDDEN = (
    f"POST /order/hidden HTTP/1.1\r\nHost: {HOST}\r\n"
    f"{HEADER_NAMES.request_id}: hidden\r\nAuthorization: Token {KEY}\r\n"
    "Content-Length: 0\r\n\r\n"
)
# Each is ambiguous about where the request ends (request smuggling).
SMUGGLED = {
    "two lengths": "Content-Length: 0\r\nContent-Length: 4\r\n\r\n",
    "length and chunks": (
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "signed length": "Content-Length: +0\r\n\r\n",
    "spaced length": "Content-Length : 0\r\n\r\n",
    "length with a letter": "Content-Length: 0x0\r\n\r\n",
    "unknown coding": "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "coding twice": (
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
        "0\r\n\r\n"
    ),
    "null in a name": "X-A\x00: 1\r\nContent-Length: 0\r\n\r\n",
    "size of a chunk": "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
    "space in a size": "Transfer-Encoding: chunked\r\n\r\n0 4\r\n\r\n",
}


async def send(world: RelayHarness, data: bytes) -> bytes:
    """Send bytes and return everything received until the end."""
    reader, writer = await world.connect()
    writer.write(data)
    writer.write_eof()
    try:
        return await asyncio.wait_for(reader.read(), DEADLINE_S)
    except ConnectionError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize("name", SMUGGLED)
def test_ambiguous_framing_is_refused(name: str) -> None:
    async def test() -> None:
        stand_in = ReplicaStandIn("plain-0", "plain", HEADER_NAMES)
        async with RelayHarness([stand_in]) as world:
            world.configure()
            data = (GOOD % "open") + SMUGGLED[name] + HIDDEN
            answer = await send(world, data.encode("latin-1"))
            good = await world.call("/order/2", "after")
        assert good.status == 200
        assert "hidden" not in stand_in.ids()
        assert b" 200 " not in answer

    asyncio.run(test())


@pytest.mark.parametrize(
    "line",
    [
        "GET http://other.example/order/1 HTTP/1.1",
        "CONNECT other.example:443 HTTP/1.1",
        "OPTIONS * HTTP/1.1",
        "GET /order/1 HTTP/2.0",
        "GET /order/1",
        "",
    ],
)
def test_an_invalid_request_line_reaches_no_upstream(line: str) -> None:
    async def test() -> None:
        stand_in = ReplicaStandIn("plain-0", "plain", HEADER_NAMES)
        async with RelayHarness([stand_in]) as world:
            world.configure()
            await send(world, f"{line}\r\nHost: {HOST}\r\n\r\n".encode())
            good = await world.call("/order/2", "after")
        assert good.status == 200
        assert stand_in.ids() == ["after"]

    asyncio.run(test())


def test_an_upgrade_is_not_forwarded() -> None:
    async def test() -> None:
        stand_in = ReplicaStandIn("plain-0", "plain", HEADER_NAMES)
        async with RelayHarness([stand_in]) as world:
            world.configure()
            answer = await world.call(
                "/order/1",
                headers=[
                    "Connection: Upgrade, X-Hop",
                    "Upgrade: h2c",
                    "X-Hop: 1",
                ],
            )
        (arrived,) = stand_in.arrivals
        assert answer.status == 200
        assert "Upgrade" not in arrived.headers
        assert "X-Hop" not in arrived.headers
        assert "Connection" not in arrived.headers

    asyncio.run(test())


MUTATION = st.tuples(st.integers(0, 300), st.binary(max_size=6))


@settings(max_examples=40)
@given(st.lists(st.tuples(MUTATION, st.integers(0, 4)), max_size=3))
def test_corrupted_bytes_run_no_other_request(
    mutations: list[tuple[tuple[int, bytes], int]],
) -> None:
    """A corrupted request must not run the request hidden in its body."""
    data = request_bytes("/order/1", "sent", body=HIDDEN.encode())
    for (at, new), removed in mutations:
        data = data[:at] + new + data[at + removed :]

    async def test() -> None:
        stand_in = ReplicaStandIn("plain-0", "plain", HEADER_NAMES)
        async with RelayHarness([stand_in]) as world:
            world.configure()
            await send(world, data)
            good = await world.call("/order/2", "after")
        assert good.status == 200
        # With a corrupted length, the rest is a request of its own.
        lengths_differ = f"Content-Length: {len(HIDDEN)}".encode() not in data
        if not lengths_differ:
            assert "hidden" not in stand_in.ids()

    asyncio.run(test())
