"""Listen for TCP connections."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any

from loguru import logger
from tornado.netutil import bind_sockets

from balsamlift._address import join_address, split_address
from balsamlift._receive_buffer import limit_receive_buffer
from balsamlift.exceptions import AddressUnavailableError

log = logger.bind(part="listening")

MAX_ACCEPTS = 128  # in a turn of the event loop
# Without descriptors, the connections that wait would keep the loop busy.
ACCEPT_RETRY_S = 0.1
NO_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def listen(address: str) -> tuple[list[socket.socket], str]:
    """Return listening sockets and their address, both for "IP:port".

    Port 0 stands for any free port. Raises `AddressUnavailableError`.
    """
    ip, port = split_address(address)
    try:
        sockets = bind_sockets(port, ip)
    except OSError as error:
        raise AddressUnavailableError(address, str(error)) from error
    for listener in sockets:
        limit_receive_buffer(listener)
    return sockets, join_address(ip, sockets[0].getsockname()[1])


def accept_connections(
    listener: socket.socket, handle: Callable[[socket.socket, Any], None]
) -> Callable[[], None]:
    """Pass new connections and their addresses to `handle`.

    Returns a function that ends this. Waits while the process has no
    descriptors left.
    """
    loop = asyncio.get_running_loop()
    retry: asyncio.TimerHandle | None = None

    def resume() -> None:
        loop.add_reader(listener, accept_waiting)

    def pause(error: OSError) -> None:
        nonlocal retry
        log.warning("cannot accept connections: {}", error)
        loop.remove_reader(listener)
        retry = loop.call_later(ACCEPT_RETRY_S, resume)

    def accept_waiting() -> None:
        for _ in range(MAX_ACCEPTS):
            if listener.fileno() < 0:
                return  # closed by `handle`
            try:
                connection, address = listener.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in NO_RESOURCES:
                    raise
                pause(error)
                return
            handle(connection, address)

    def end() -> None:
        if retry is not None:
            retry.cancel()
        if listener.fileno() >= 0:  # not closed yet
            loop.remove_reader(listener)

    resume()
    return end
