"""Tests of connections that open while this process stands still."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest

from balsamlift._address import join_address
from balsamlift.clock import SystemClock
from balsamlift.relay._connection import UpstreamConnection
from balsamlift.relay._reaching import CONNECT_TIMEOUT_S, try_connection

STALL_S = CONNECT_TIMEOUT_S + 0.2
CONNECTIONS = 20

Connect = Callable[[str], Awaitable[bool]]


@pytest.fixture
def listening() -> Iterator[str]:
    """Yield an address at which the system opens connections."""
    with socket.create_server(("127.0.0.1", 0), backlog=64) as server:
        yield join_address(*server.getsockname())


async def opens(address: str) -> bool:
    connection = UpstreamConnection("u", address, SystemClock())
    await connection.connect()
    connection.close()
    return True


async def accepts(address: str) -> bool:
    return await try_connection(address) == "accepts"


@pytest.mark.parametrize("connect", [opens, accepts])
def test_connections_that_opened_during_a_stall_count_as_opened(
    connect: Connect, listening: str
) -> None:
    async def run() -> list[bool]:
        opening = [
            asyncio.ensure_future(connect(listening))
            for _ in range(CONNECTIONS)
        ]
        asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
        return await asyncio.gather(*opening)

    assert all(asyncio.run(run()))


@pytest.mark.parametrize("connect", [opens, accepts])
def test_connections_that_opened_in_a_stall_without_events_count_as_opened(
    connect: Connect, listening: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> bool:
        loop: Any = asyncio.get_running_loop()
        select = loop._selector.select

        def stall(timeout_s: float | None) -> list[Any]:
            del timeout_s
            monkeypatch.setattr(loop._selector, "select", select)
            time.sleep(STALL_S)
            return []  # as after SIGSTOP and SIGCONT

        opening = asyncio.ensure_future(connect(listening))
        await asyncio.sleep(0)
        monkeypatch.setattr(loop._selector, "select", stall)
        return await opening

    assert asyncio.run(run())


def test_a_connection_that_does_not_open_is_given_up_on() -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        waiting = [socket.socket() for _ in range(4)]
        for each in waiting:
            each.setblocking(False)
            each.connect_ex(server.getsockname())
        address = join_address(*server.getsockname())
        assert asyncio.run(try_connection(address)) == "silent"
        for each in waiting:
            each.close()
