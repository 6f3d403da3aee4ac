"""Receive messages of other hosts, counted as what clients make a host hold.

The other side is a socket of pynng. Its listening sockets accept any number of
connections, and hold what these announce; so this side is our own. Sources:
the SP protocol's TCP mapping (sp-tcp-mapping-01) and its request-reply
protocol (sp-request-reply-01).
"""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Callable
from typing import Any

from loguru import logger
from tornado.iostream import StreamClosedError

from balsamlift._fair_stream import ReadQueue
from balsamlift._listening import accept_connections, listen
from balsamlift._tasks import end_task, start_task
from balsamlift.clients import (
    ClientMemory,
    FairCountedStream,
    open_stream,
)
from balsamlift.clock import Clock
from balsamlift.exceptions import (
    AddressUnavailableError,
    PeerMessageError,
    PeersAddressError,
)

log = logger.bind(part="peers")

MAX_MESSAGE_BYTES = 1 << 20
MAX_BUFFER_BYTES = 2 * MAX_MESSAGE_BYTES
# Hosts send more often; a request socket that is closed connects anew.
IDLE_TIMEOUT_S = 60.0
IDLE_CHECK_INTERVAL_S = 5.0
# In a row, before the connection is closed.
MAX_INVALID_MESSAGES = 16
# Messages of a host that was busy are read together.
QUANTUM_US = 1_000.0
MESSAGE_US = 50.0  # an estimate of processor time

_GREETING = b"\0SP\0%b\0\0"
_GREETING_BYTES = 8
_SIZE_BYTES = 8
_ID_BYTES = 4
_MAX_IDS_BYTES = 32  # one for each socket that has passed the request on
_LAST_ID = b"\x80"  # the lowest first byte of the last id

# Returns the answer to a message, or None. Raises `PeerMessageError`.
MessageHandler = Callable[[bytes], bytes | None]


class Pattern(enum.Enum):
    """How messages are exchanged: the protocol numbers of both sides."""

    PUSH = (0x51, 0x50)
    REQUEST = (0x31, 0x30)

    @property
    def greeting(self) -> bytes:
        """Return what this side sends first."""
        return _GREETING % self.value[0].to_bytes(2, "big")

    @property
    def expected_greeting(self) -> bytes:
        """Return what the other side sends first."""
        return _GREETING % self.value[1].to_bytes(2, "big")


class MessageServer:
    """Pass the messages that arrive at one address to a handler."""

    def __init__(
        self,
        address: str,
        pattern: Pattern,
        clock: Clock,
        memory: ClientMemory | None = None,
    ) -> None:
        """Bind "IP:port"; raises `PeersAddressError`.

        `memory` is shared with other listeners; the default is its own.
        """
        try:
            self._sockets, self.address = listen(address)
        except AddressUnavailableError as error:
            raise PeersAddressError(address, str(error)) from error
        self._pattern = pattern
        self._clock = clock
        self._memory = memory or ClientMemory(clock=clock)
        self._read_queue = ReadQueue()
        self._end_accepting: list[Callable[[], None]] = []
        self._connections: set[asyncio.Task[None]] = set()
        self._streams: set[FairCountedStream] = set()
        self._idle_task: asyncio.Task[None] | None = None
        self._handle: MessageHandler = _handle_nothing

    def start(self, handle: MessageHandler) -> None:
        """Accept connections, and pass each message to `handle`."""
        self._handle = handle
        self._end_accepting = [
            accept_connections(listener, self._accept)
            for listener in self._sockets
        ]
        self._idle_task = start_task(
            "idle connections of peers", self._close_idle, self._clock
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for end in self._end_accepting:
            end()
        for listener in self._sockets:
            listener.close()
        for stream in list(self._streams):
            stream.close()
        for task in list(self._connections):
            await end_task(task)
        await end_task(self._idle_task)

    def _accept(self, connection: socket.socket, address: Any) -> None:
        del address
        stream = open_stream(
            connection,
            self._memory,
            f"messages at {self.address}",
            self._read_queue,
            MAX_BUFFER_BYTES,
            QUANTUM_US,
        )
        if stream is None:
            return
        stream.set_nodelay(True)
        self._streams.add(stream)
        task = asyncio.create_task(self._serve(stream))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)

    async def _serve(self, stream: FairCountedStream) -> None:
        try:
            await self._exchange(stream)
        except StreamClosedError:
            pass
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _exchange(self, stream: FairCountedStream) -> None:
        """Read messages until the other side has left or sends others."""
        stream.write(self._pattern.greeting)
        greeting = await stream.read_bytes(_GREETING_BYTES)
        if greeting != self._pattern.expected_greeting:
            return
        invalid = 0
        while invalid < MAX_INVALID_MESSAGES:
            is_valid = await self._receive(stream)
            invalid = 0 if is_valid else invalid + 1
            stream.charge(MESSAGE_US)
            stream.expect_request()
            # The connection of a host is kept, however much clients need.
            stream.holding.is_running = is_valid

    async def _receive(self, stream: FairCountedStream) -> bool:
        """Handle the next message, and return whether it was valid.

        Raises `StreamClosedError`, also if the message is too large.
        """
        size = int.from_bytes(await stream.read_bytes(_SIZE_BYTES), "big")
        if size > MAX_MESSAGE_BYTES:
            log.bind(size_bytes=size).warning("message is too large")
            raise StreamClosedError
        stream.holding.is_running = False
        return await self._process(stream, await stream.read_bytes(size))

    async def _process(
        self, stream: FairCountedStream, message: bytes
    ) -> bool:
        """Handle a message, and return whether it was valid."""
        ids = b""
        if self._pattern is Pattern.REQUEST:
            ids, message = split_ids(message)
        try:
            answer = self._handle(message)
        except PeerMessageError as error:
            log.warning("invalid message: {}", error)
            return False
        except Exception:
            # One bad message must not end the connection of a host.
            log.exception("could not process a message")
            return False
        if answer is not None:
            await stream.write(_frame(ids + answer))
        return True

    async def _close_idle(self) -> None:
        while True:
            await self._clock.sleep(IDLE_CHECK_INTERVAL_S)
            now_s = self._clock.monotonic()
            for stream in list(self._streams):
                if stream.holding.idle_s(now_s) > IDLE_TIMEOUT_S:
                    stream.close()


def split_ids(message: bytes) -> tuple[bytes, bytes]:
    """Return the ids of a request, which its answer repeats, and the rest."""
    for end in range(_ID_BYTES, _MAX_IDS_BYTES + 1, _ID_BYTES):
        if message[end - _ID_BYTES : end - _ID_BYTES + 1] >= _LAST_ID:
            return message[:end], message[end:]
    return b"", message


def _frame(message: bytes) -> bytes:
    return len(message).to_bytes(_SIZE_BYTES, "big") + message


def _handle_nothing(message: bytes) -> bytes | None:
    del message
    return None
