"""Whether the other end of a connection is reached."""

from __future__ import annotations

import asyncio
import socket
from typing import Literal

from tornado.iostream import IOStream, StreamClosedError

from balsamlift._address import split_address

# Connecting within a deployment takes a few milliseconds; the kernel resends a
# lost SYN packet after one second.
CONNECT_TIMEOUT_S = 0.5
# Links may lose packets for seconds. A lost packet is retransmitted after
# 0.2 s, 0.4 s and 0.8 s; after that, the other end is considered dead.
SILENCE_TIMEOUT_S = 2
KEEPALIVE_INTERVAL_S = 1

# To an attempt to open a connection.
Answer = Literal["accepts", "refuses", "silent"]


async def open_stream(
    stream: IOStream, address: str, timeout_s: float
) -> None:
    """Connect a stream to an address.

    A connection that has opened while this process stood still counts as
    opened. Raises `StreamClosedError` or `TimeoutError`.
    """
    connecting = stream.connect(split_address(address))
    await asyncio.wait([connecting], timeout=timeout_s)
    if not connecting.done():
        # Timers may run before events that came meanwhile.
        await asyncio.sleep(0)
    if not connecting.done():
        raise TimeoutError
    connecting.result()


async def try_connection(address: str) -> Answer:
    """Return how a host answers an attempt to open a connection."""
    stream = IOStream(socket.socket())
    try:
        await open_stream(stream, address, CONNECT_TIMEOUT_S)
    except StreamClosedError as error:
        is_refusal = isinstance(error.real_error, ConnectionError)
        return "refuses" if is_refusal else "silent"
    except TimeoutError:
        return "silent"
    finally:
        stream.close()
    return "accepts"


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Let the kernel close a connection whose other end is unreachable.

    A connection may stop carrying packets for good while new ones work.
    The kernel closes it when sent bytes stay unacknowledged, or keepalive
    probes stay unanswered, for `SILENCE_TIMEOUT_S`.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (
            socket.IPPROTO_TCP,
            socket.TCP_KEEPCNT,
            SILENCE_TIMEOUT_S // KEEPALIVE_INTERVAL_S,
        ),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)
    set_acknowledgement_timeout(sock, SILENCE_TIMEOUT_S)


def set_acknowledgement_timeout(sock: socket.socket, timeout_s: float) -> None:
    """Let the kernel close a connection with bytes unacknowledged; 0: never.

    It does so too where the other end acknowledges, but has no memory for
    more as its process does not read.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1_000)
    )
