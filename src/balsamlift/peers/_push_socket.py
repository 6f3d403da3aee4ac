"""The socket of a link, used until its connection closes.

In a send on a socket that has lost a connection, the library may use what it
has freed already.
"""

from __future__ import annotations

import threading

import pynng

SEND_BUFFER = 4  # messages that wait for the connection
MIN_RECONNECT_MS = 100
MAX_RECONNECT_MS = 2_000


class PushSocket:
    """Send messages to one address until the connection is lost.

    It dials until there is a connection, but not anew after a loss.
    """

    def __init__(self, address: str) -> None:
        """Dial "IP:port" in the background; raise `pynng.NNGException`."""
        self._lock = threading.Lock()
        self._is_lost = False
        self._socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER,
            reconnect_time_min=MIN_RECONNECT_MS,
            reconnect_time_max=MAX_RECONNECT_MS,
        )
        self._socket.add_post_pipe_remove_cb(self._handle_removed)
        try:
            self._socket.dial(f"tcp://{address}", block=False)
        except pynng.NNGException:
            self.close()
            raise

    @property
    def is_lost(self) -> bool:
        """Return whether a connection has closed: nothing is sent any more."""
        return self._is_lost

    def send(self, data: bytes) -> bool:
        """Send without blocking, and return whether the message was taken.

        It is not while the buffer is full, nor after a loss. A connection
        that closes meanwhile is freed after the send.
        """
        with self._lock:
            if self._is_lost:
                return False
            try:
                self._socket.send(data, block=False)
            except pynng.NNGException:
                return False
        return True

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _handle_removed(self, pipe: pynng.Pipe) -> None:
        """Note the loss; the library waits for this before it frees `pipe`."""
        del pipe
        with self._lock:
            self._is_lost = True
