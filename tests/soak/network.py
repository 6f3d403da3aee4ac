"""IP addresses that belong to one run."""

from __future__ import annotations

import socket

NETWORKS = range(1, 255)
LOCK_PORT = 7800


class Network:
    """Reserve a loopback network, so that runs beside each other stay apart.

    A process of another run, on the address of one that has ended, would
    receive its requests.
    """

    def __init__(self) -> None:
        """Reserve the first free network until `release`."""
        for number in NETWORKS:
            self._prefix = f"127.78.{number}"
            self._lock = socket.socket()
            try:
                self._lock.bind((self.ip(254), LOCK_PORT))
            except OSError:
                self._lock.close()
            else:
                return
        raise OSError("no free network")

    def ip(self, number: int) -> str:
        """Return an IP address of the network."""
        return f"{self._prefix}.{number}"

    def any_port(self, number: int) -> str:
        """Return an address with any free port."""
        return f"{self.ip(number)}:0"

    def release(self) -> None:
        """Let other runs reserve the network."""
        self._lock.close()
