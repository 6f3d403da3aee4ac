"""Helpers for relay tests: time-limited runs and upstream behaviours."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterable

from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

Behave = Callable[[ReplicaConnection, ReplicaRequest], Awaitable[None]]

DEADLINE_S = 15.0
LAST_EVENT_ID = 9
USAGE = [
    f"{HEADER_NAMES.token_usage}: 1000,200",
    f"{HEADER_NAMES.length_hint}: 100",
]


def run(test: Awaitable[None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(DEADLINE_S):
            await test

    asyncio.run(bounded())


async def connect_slowly(
    world: RelayHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection whose caller holds few bytes it has not read."""
    ip, _, port = world.frontend.address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (ip, int(port)))
    return await asyncio.open_connection(sock=connection)


async def until_arrived(stand_ins: list[ReplicaStandIn]) -> ReplicaStandIn:
    """Wait until one engine has a request, and return it."""
    while not any(s.arrivals for s in stand_ins):
        await asyncio.sleep(0.005)
    (used,) = [s for s in stand_ins if s.arrivals]
    return used


def behave_all(stand_ins: Iterable[ReplicaStandIn], behave: Behave) -> None:
    """Let all stand-ins answer in the same way."""
    for stand_in in stand_ins:
        stand_in.behave = behave


def first_event(request: ReplicaRequest) -> int:
    return int(request.headers.get(HEADER_NAMES.last_event_id, "-1")) + 1


async def stream(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.begin_stream(request)
    await connection.events(first_event(request), LAST_EVENT_ID)
    await connection.end_stream()


async def hang_midway(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.begin_stream(request)
    await connection.events(0, 4)
    await connection.reader.read()


async def refuse(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.refuse(request)


async def reset(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    connection.reset()


async def hang(connection: ReplicaConnection, request: ReplicaRequest) -> None:
    del request
    await connection.reader.read()
