"""Stand-in for a network link: a TCP relay with injectable faults."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import attrs

from balsamlift._address import split_address
from balsamlift.testing._held_port import HeldPort
from balsamlift.testing._settings import LinkSettings
from balsamlift.testing._stand_in import Control, Listener, control_routes

_CHUNK_BYTES = 65_536
_CLOSE_POLL_S = 0.01


@attrs.frozen(kw_only=True)
class LinkFaults:
    """Hold the faults of a link, as set by `POST /control/faults`.

    Stalled bytes are held and delivered after the stall. Forward is the
    direction from the side that connects to the target.
    """

    cut: bool = False  # refuse new connections and close the open ones
    stall_forward: bool = False
    stall_backward: bool = False
    delay_ms: int = 0
    # The connections that are open when this is set never relay bytes again.
    silence_existing: bool = False


class Link:
    """Relay TCP connections from one address to another."""

    def __init__(self, settings: LinkSettings) -> None:
        """Bind the relayed address and the control address."""
        self.settings = settings
        self.control = Control(LinkFaults())
        self._control_listener = Listener(settings.control_address)
        self._port = HeldPort(settings.address)
        self._listener: socket.socket | None = self._port.listen()
        self._accepting: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._open: set[_Connection] = set()
        self._accepted = 0

    async def start(self) -> None:
        """Accept connections."""
        routes = control_routes(self.control, self.count)
        self._control_listener.start(routes)
        self.control.on_change(self._apply)
        assert self._listener is not None
        await self._accept(self._listener)

    async def stop(self) -> None:
        """Close the listeners and wait for all connections to end."""
        self._close()
        self._port.release()
        while self._open:  # each ends once both directions have ended
            await asyncio.sleep(_CLOSE_POLL_S)
        await self._control_listener.stop()

    def ready(self) -> dict[str, Any]:
        """Return the fields of the ready line."""
        return {
            "name": self.settings.name,
            "address": self._port.address,
            "control_address": self._control_listener.address,
        }

    def count(self) -> dict[str, Any]:
        """Return the counters for `GET /control/counts`."""
        return {"accepted": self._accepted, "open": len(self._open)}

    def _apply(self, _: LinkFaults, faults: LinkFaults) -> None:
        if faults.silence_existing:  # affects only connections open now
            self.control.faults = attrs.evolve(faults, silence_existing=False)
        for connection in self._open:
            connection.silent |= faults.silence_existing
            connection.apply(faults)
        if faults.cut:
            self._close()
        elif self._listener is None:
            self._listener = self._port.listen()
            self._accepting = asyncio.create_task(self._accept(self._listener))

    async def _accept(self, listener: socket.socket) -> None:
        self._server = await asyncio.start_server(
            self._relay, sock=listener, start_serving=False
        )
        await self._server.start_serving()

    def _close(self) -> None:
        """Close the listening address and every connection."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._server is not None:
            self._server.close()
        elif self._listener is not None:
            self._listener.close()
        self._server = self._listener = None
        for connection in list(self._open):
            connection.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, port = split_address(self.settings.target_address)
        try:
            target = await asyncio.open_connection(ip, port)
        except OSError:
            writer.transport.abort()
            return
        self._accepted += 1
        connection = _Connection((reader, writer), target)
        connection.apply(self.control.faults)
        self._open.add(connection)
        try:
            await connection.run()
        finally:
            self._open.discard(connection)
            connection.abort()


StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Connection:
    """Copy bytes in both directions between a caller and its target."""

    def __init__(self, caller: StreamPair, target: StreamPair) -> None:
        self.silent = False
        self._caller = caller
        self._target = target
        self._forward = asyncio.Event()
        self._backward = asyncio.Event()
        self._delay_s = 0.0

    def apply(self, faults: LinkFaults) -> None:
        """Set the delay, and open or close the gate of each direction."""
        self._delay_s = faults.delay_ms / 1_000
        _set_gate(self._forward, not (self.silent or faults.stall_forward))
        _set_gate(self._backward, not (self.silent or faults.stall_backward))

    async def run(self) -> None:
        """Copy until both directions have ended."""
        await asyncio.gather(
            self._copy(self._caller[0], self._target[1], self._forward),
            self._copy(self._target[0], self._caller[1], self._backward),
        )

    def abort(self) -> None:
        """Close both ends at once and release the held bytes."""
        self._forward.set()
        self._backward.set()
        self._caller[1].transport.abort()
        self._target[1].transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        """Copy one direction; a delay or closed gate also holds its EOF."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await self._wait_for_gate(gate)
                writer.write(data)
                await writer.drain()
            await self._wait_for_gate(gate)
            writer.write_eof()
        except OSError:  # an error in one direction breaks the connection
            self.abort()

    async def _wait_for_gate(self, gate: asyncio.Event) -> None:
        await asyncio.sleep(self._delay_s)
        await gate.wait()


def _set_gate(gate: asyncio.Event, is_open: bool) -> None:
    if is_open:
        gate.set()
    else:
        gate.clear()
