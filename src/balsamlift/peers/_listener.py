"""The receiving side: one address for messages from all peers."""

from __future__ import annotations

from collections.abc import Callable

from balsamlift.clients import ClientMemory
from balsamlift.clock import Clock
from balsamlift.exceptions import PeerMessageError
from balsamlift.metrics import Metrics
from balsamlift.peers._message_server import MessageServer, Pattern
from balsamlift.peers._messages import PeerMessage, decode_message


class Listener:
    """Receive messages on one address."""

    def __init__(
        self, address: str, clock: Clock, memory: ClientMemory | None = None
    ) -> None:
        """Bind "IP:port"; raises `PeersAddressError`.

        `memory` is shared with other listeners; the default is its own.
        """
        self._server = MessageServer(address, Pattern.PUSH, clock, memory)
        self.address = self._server.address

    def start(
        self, process: Callable[[PeerMessage], None], metrics: Metrics
    ) -> None:
        """Pass the valid messages that arrive to `process`."""

        def handle(data: bytes) -> None:
            metrics.count("peers.messages_received")
            metrics.count("peers.bytes_received", len(data))
            try:
                message = decode_message(data)
            except PeerMessageError:
                metrics.count("peers.messages_void")
                raise
            process(message)

        self._server.start(handle)

    async def stop(self) -> None:
        """Close the address and all connections."""
        await self._server.stop()
