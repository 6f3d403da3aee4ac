"""Proxies in front of engines that can delay one order."""

from __future__ import annotations

import asyncio
import threading
from functools import partial

import attrs

from balsamlift._address import split_address
from scenarios.background import BackgroundLoop, wait_until
from scenarios.upstreams import StandIn

_CHUNK_BYTES = 65_536
_ORDER = b"POST /v1/orders "


class OrderProxies:
    """Forward all traffic to the engines and hold one order on request.

    Hosts send each order over a connection of its own, so the first bytes
    of a connection identify it. A held order is delivered even if its
    sender has closed the connection.
    """

    def __init__(self, background: BackgroundLoop) -> None:
        self._background = background
        self._armed = False
        self._held_for = ""
        self._released = asyncio.Event()
        self._delivered = threading.Event()
        self._servers: list[asyncio.Server] = []

    def add(self, engine: StandIn) -> str:
        """Start a proxy in front of this engine and return its address."""
        return self._background.run(self._listen(engine))

    def hold_next(self) -> None:
        self._armed = True

    def wait_held(self) -> str:
        """Return the name of the engine whose order is held."""
        wait_until(lambda: bool(self._held_for), "an order is held")
        return self._held_for

    def release(self) -> None:
        """Forward the held order and wait until the engine answers it."""
        self._background.loop.call_soon_threadsafe(self._released.set)
        wait_until(self._delivered.is_set, "the engine answers the held order")

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
        caller = _Connection(reader, writer)
        first = await reader.read(_CHUNK_BYTES)
        is_held = self._armed and first.startswith(_ORDER)
        if is_held:
            self._armed = False
            self._held_for = engine.name
            await self._released.wait()
        ip, port = split_address(engine.process.address)
        target = _Connection(*await asyncio.open_connection(ip, port))
        try:
            target.writer.write(first)
            await asyncio.gather(
                _copy(caller.reader, target.writer),
                self._relay_answer(target.reader, caller.writer, is_held),
            )
        except OSError:
            pass  # an error in one direction ends both
        finally:
            caller.writer.transport.abort()
            target.writer.transport.abort()

    async def _relay_answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        was_held: bool,
    ) -> None:
        first = await reader.read(_CHUNK_BYTES)
        if was_held:
            self._delivered.set()
        writer.write(first)
        await _copy(reader, writer)


@attrs.frozen
class _Connection:
    """The reader and writer of one TCP connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(_CHUNK_BYTES):
        writer.write(data)
        await writer.drain()
    writer.write_eof()
