"""Send the connections of a daemon to upstreams over links of its own.

Python imports this module at the start of the daemon. The links of one host
can be cut while other hosts still reach the upstreams, and new connections
can fail in another way than open ones.
"""

import json
import os
import socket
from pathlib import Path
from typing import Any

LINKS_FILE_VARIABLE = "SOAK_LINKS_FILE"

_connect = socket.socket.connect


def _connect_over_link(sock: socket.socket, address: Any) -> None:
    """Connect to the link of this host instead of an upstream."""
    if sock.family == socket.AF_INET:
        address = _route(address)
    _connect(sock, address)


def _route(address: tuple[str, int]) -> tuple[str, int]:
    """Return the address at which this host finds another one."""
    links = json.loads(Path(os.environ[LINKS_FILE_VARIABLE]).read_bytes())
    ip, port = address
    if ip != links["upstreams_ip"]:
        return address
    if links["instead"]:
        instead_ip, instead_port = links["instead"]
        return instead_ip, instead_port
    return links["links_ip"], port


if LINKS_FILE_VARIABLE in os.environ:
    socket.socket.connect = _connect_over_link  # type: ignore[method-assign]
