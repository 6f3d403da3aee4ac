"""Bound what lies received and unread in a connection."""

from __future__ import annotations

import socket

RECEIVE_BUFFER_BYTES = 16_384  # the system doubles it


def limit_receive_buffer(sock: socket.socket) -> None:
    """Keep the system from growing the buffer of a socket.

    Connections that a socket accepts inherit it.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
