"""The socket of a link, replaced once its connection has closed.

In a send on a socket that has lost a connection, the library may use what it
has freed already.
"""

from __future__ import annotations

import threading

import pynng

SEND_BUFFER = 4  # messages that wait for the connection
MIN_RECONNECT_MS = 100
MAX_RECONNECT_MS = 2_000


class _Connection:
    """A socket, and whether it has lost a connection."""

    def __init__(self) -> None:
        """Create the socket, without dialling."""
        self._lock = threading.Lock()
        self._is_lost = False
        self.socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER,
            reconnect_time_min=MIN_RECONNECT_MS,
            reconnect_time_max=MAX_RECONNECT_MS,
        )
        self.socket.add_post_pipe_remove_cb(self._handle_removed)

    @property
    def is_lost(self) -> bool:
        """Return whether the socket must not be used any more."""
        return self._is_lost

    def send(self, data: bytes) -> bool:
        """Send without blocking, and return whether the message was taken.

        A connection that closes meanwhile is freed after the send.
        """
        with self._lock:
            if self._is_lost:
                return False
            try:
                self.socket.send(data, block=False)
            except pynng.NNGException:
                return False
        return True

    def _handle_removed(self, pipe: pynng.Pipe) -> None:
        """Note the loss; the library waits for this before it frees `pipe`."""
        del pipe
        with self._lock:
            self._is_lost = True


class PushSocket:
    """Send messages to one address, over a new socket after each loss."""

    def __init__(self, address: str) -> None:
        """Dial "IP:port" in the background; raise `pynng.NNGException`."""
        self._url = f"tcp://{address}"
        self._connection = self._dial()

    def replace_lost(self) -> bool:
        """Dial anew after a loss, and return whether there was one.

        Raises `pynng.NNGException`.
        """
        if not self._connection.is_lost:
            return False
        self.close()
        self._connection = self._dial()
        return True

    def send(self, data: bytes) -> bool:
        """Send without blocking, and return whether the message was taken.

        It is not while the buffer is full, nor after a loss.
        """
        return self._connection.send(data)

    def close(self) -> None:
        """Close the connection."""
        self._connection.socket.close()

    def _dial(self) -> _Connection:
        connection = _Connection()
        try:
            connection.socket.dial(self._url, block=False)
        except pynng.NNGException:
            connection.socket.close()
            raise
        return connection
