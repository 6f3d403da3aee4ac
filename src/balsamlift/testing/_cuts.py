"""Ways in which a host loses its links, and an address that never answers."""

from __future__ import annotations

import socket
from typing import Any, Literal

from balsamlift._address import join_address
from balsamlift.testing._settings import LOOPBACK_IP

# What becomes of open connections. New ones are refused, or not answered where
# the open ones hang.
Cut = Literal["hang", "reset", "refuse", "one_way"]
CUTS: tuple[Cut, ...] = ("hang", "reset", "refuse", "one_way")
SILENT_CUTS: tuple[Cut, ...] = ("hang", "one_way")
NO_CUT: dict[str, Any] = {
    "stall_forward": False,
    "stall_backward": False,
    "cut": False,
}
# Faults of a `Link` for the connections that are open.
OPEN_FAULTS: dict[Cut, dict[str, Any]] = {
    "hang": {**NO_CUT, "stall_forward": True, "stall_backward": True},
    "reset": {**NO_CUT, "cut": True},
    "refuse": NO_CUT,
    "one_way": {**NO_CUT, "stall_backward": True},
}
_FILLERS = 4


class BlackHole:
    """An address at which connections are neither accepted nor refused."""

    def __init__(self, ip: str = LOOPBACK_IP) -> None:
        """Fill the backlog of a listener, so that it ignores more."""
        self._listener = socket.socket()
        self._listener.bind((ip, 0))
        self._listener.listen(0)
        name = self._listener.getsockname()
        self.address = join_address(*name)
        self._fillers = [socket.socket() for _ in range(_FILLERS)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(name)

    def close(self) -> None:
        """Close all sockets."""
        for sock in (*self._fillers, self._listener):
            sock.close()
