"""Gates before engines, which hold one order on its way."""

from __future__ import annotations

import asyncio
import threading
from functools import partial

import attrs

from balsamlift._address import split_address
from scenarios.background import Background, wait_until
from scenarios.upstreams import StandIn

_CHUNK_BYTES = 65_536
_ORDER = b"POST /v1/orders "


class OrderGates:
    """Relay all that goes to the engines, but hold one order when told to.

    Hosts give each order over a connection of its own, so the first bytes
    tell. An order that was held arrives even when its sender has gone.
    """

    def __init__(self, background: Background) -> None:
        self._background = background
        self._armed = False
        self._held_for = ""
        self._released = asyncio.Event()
        self._arrived = threading.Event()
        self._servers: list[asyncio.Server] = []

    def add(self, engine: StandIn) -> str:
        """Return the address of a new gate before this engine."""
        return self._background.run(self._listen(engine))

    def hold_next(self) -> None:
        self._armed = True

    def wait_held(self) -> str:
        """Return the name of the engine whose order is held."""
        wait_until(lambda: bool(self._held_for), "an order is on its way")
        return self._held_for

    def release(self) -> None:
        """Let the order go on and wait until it has been answered."""
        self._background.loop.call_soon_threadsafe(self._released.set)
        wait_until(self._arrived.is_set, "the held order arrives")

    def close(self) -> None:
        for server in self._servers:
            self._background.loop.call_soon_threadsafe(server.close)

    async def _listen(self, engine: StandIn) -> str:
        relay = partial(self._relay, engine)
        server = await asyncio.start_server(relay, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _relay(
        self,
        engine: StandIn,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        caller = _Ends(reader, writer)
        first = await reader.read(_CHUNK_BYTES)
        holds = self._armed and first.startswith(_ORDER)
        if holds:
            self._armed = False
            self._held_for = engine.name
            await self._released.wait()
        ip, port = split_address(engine.process.address)
        target = _Ends(*await asyncio.open_connection(ip, port))
        try:
            target.writer.write(first)
            await asyncio.gather(
                _copy(caller.reader, target.writer),
                self._answer(target.reader, caller.writer, holds),
            )
        except OSError:
            pass  # one way broken: a broken connection
        finally:
            caller.writer.transport.abort()
            target.writer.transport.abort()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        was_held: bool,
    ) -> None:
        first = await reader.read(_CHUNK_BYTES)
        if was_held:
            self._arrived.set()
        writer.write(first)
        await _copy(reader, writer)


@attrs.frozen
class _Ends:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(_CHUNK_BYTES):
        writer.write(data)
        await writer.drain()
    writer.write_eof()
