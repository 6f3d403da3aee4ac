"""The client side of requests between hosts."""

from __future__ import annotations

import pynng

from balsamlift.peers._message_server import MAX_MESSAGE_BYTES


class RequestSocket:
    """Send requests to one host at a time, each with a limited wait."""

    def __init__(self, timeout_ms: int) -> None:
        """Wait up to `timeout_ms` for the send and as long for the answer."""
        self._timeout_ms = timeout_ms
        self._address = ""
        self._socket: pynng.Req0 | None = None

    async def ask(self, address: str, request: bytes) -> bytes:
        """Return the answer of the host at "IP:port".

        Raises `pynng.NNGException`, and dials anew with the next request.
        """
        try:
            with self._dial(address).new_context() as context:
                await context.asend(request)
                answer = await context.arecv()
        except pynng.NNGException:
            self.close()
            raise
        return bytes(answer)

    def close(self) -> None:
        """Close the connection; requests in progress fail."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None
        self._address = ""

    def _dial(self, address: str) -> pynng.Req0:
        if self._socket is not None and self._address == address:
            return self._socket
        self.close()
        self._socket = pynng.Req0(
            recv_max_size=MAX_MESSAGE_BYTES,
            recv_timeout=self._timeout_ms,
            send_timeout=self._timeout_ms,
        )
        self._socket.dial(f"tcp://{address}", block=False)
        self._address = address
        return self._socket
