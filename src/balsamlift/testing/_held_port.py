"""Ports that stand-ins keep while they do not listen."""

from __future__ import annotations

import socket

from balsamlift._address import join_address, split_address

_BACKLOG = 1_024


class HeldPort:
    """Keep a port bound, also while nothing listens there.

    Otherwise the system gives it to an outgoing connection of any process.
    """

    def __init__(self, address: str) -> None:
        """Bind `address`, given as "IP:port"; port 0 picks a free port."""
        ip, port = split_address(address)
        self._family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        self._holder = self._bind(ip, port)
        self._ip, self._port = self._holder.getsockname()[:2]
        self.address = join_address(self._ip, self._port)

    def listen(self) -> socket.socket:
        """Return a socket that listens there; connections are accepted."""
        listener = self._bind(self._ip, self._port)
        listener.listen(_BACKLOG)
        return listener

    def release(self) -> None:
        """Give up the port."""
        self._holder.close()

    def _bind(self, ip: str, port: int) -> socket.socket:
        # Asyncio disables Nagle's algorithm only where the protocol is named.
        bound = socket.socket(
            self._family, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        # Lets the holder and one listener share the port.
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            bound.bind((ip, port))
        except OSError:
            bound.close()
            raise
        return bound
