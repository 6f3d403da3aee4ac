"""The receiving side: one address for messages from all peers."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import AsyncIterator

import pynng
from loguru import logger

from balsamlift._address import join_address, split_address
from balsamlift.exceptions import PeerMessageError, PeersAddressError
from balsamlift.metrics import Metrics
from balsamlift.peers._messages import PeerMessage, decode_message

log = logger.bind(part="peers")

RECEIVE_BUFFER = 256  # messages
CONCURRENT_RECEIVES = 32
MAX_MESSAGE_BYTES = 1 << 20


class Listener:
    """Receive messages on one address."""

    def __init__(self, address: str) -> None:
        """Listen on "IP:port"; raises `PeersAddressError`."""
        self._pull = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER, recv_max_size=MAX_MESSAGE_BYTES
        )
        ip, port = split_address(address)
        try:
            listener = self._pull.listen(f"tcp://{join_address(ip, port)}")
        except pynng.NNGException as error:
            self._pull.close()
            raise PeersAddressError(address, str(error)) from error
        bound_port = socket.ntohs(listener.local_address.port)
        self.address = join_address(ip, bound_port)

    async def messages(self, metrics: Metrics) -> AsyncIterator[PeerMessage]:
        """Yield the valid messages that arrive, until closed."""
        async for data in self._receive():
            metrics.count("peers.messages_received")
            metrics.count("peers.bytes_received", len(data))
            try:
                yield decode_message(data)
            except PeerMessageError as error:
                metrics.count("peers.messages_void")
                log.warning("invalid message: {}", error)

    async def _receive(self) -> AsyncIterator[bytes]:
        """Yield what arrives, in order.

        Each receive takes turns of the event loop, which are long while the
        processor is short. Several at a time keep messages from piling up.
        """
        receives: deque[asyncio.Future[bytes]] = deque()
        try:
            while True:
                while len(receives) < CONCURRENT_RECEIVES:
                    receives.append(asyncio.ensure_future(self._pull.arecv()))
                yield await receives.popleft()
        except pynng.Closed:
            return
        finally:
            for receive in receives:
                receive.cancel()
            await asyncio.gather(*receives, return_exceptions=True)

    def close(self) -> None:
        """Close the address, which also ends `messages`."""
        self._pull.close()
