"""Close connections so that their last response arrives.

A connection that is closed with unread bytes is reset, and a reset may discard
a response that the other end has not read yet.
"""

from __future__ import annotations

import socket
from contextlib import suppress

from tornado.iostream import IOStream, StreamClosedError

from balsamlift.clock import Clock

# For which the other end may still send, and reads the response.
LINGER_S = 1.0
LINGER_CHECK_INTERVAL_S = 0.05


async def close_in_order(stream: IOStream, clock: Clock) -> None:
    """Close for writing once all is written, then for reading.

    The second comes with the end of the other side, or in `LINGER_S`.
    """
    with suppress(StreamClosedError):
        await stream.write(b"")  # returns after all writes before it
    stop_writing(stream)
    until_s = clock.monotonic() + LINGER_S
    while not has_ended(stream) and clock.monotonic() < until_s:
        await clock.sleep(LINGER_CHECK_INTERVAL_S)
    stream.close()


def stop_writing(stream: IOStream) -> None:
    """Tell the other end that no response follows."""
    if not stream.closed():
        with suppress(OSError):  # it has disconnected
            stream.socket.shutdown(socket.SHUT_WR)


def has_ended(stream: IOStream) -> bool:
    """Return whether the other end has closed, with all it sent read."""
    if stream.closed():
        return True
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
