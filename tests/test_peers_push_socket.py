"""Sockets of links: none is used once its connection has closed."""

import time
from collections.abc import Callable

import pynng

from balsamlift.peers._push_socket import PushSocket

DEADLINE_S = 10.0
POLL_S = 0.005


def until(is_true: Callable[[], bool]) -> None:
    ends_s = time.monotonic() + DEADLINE_S
    while not is_true():
        assert time.monotonic() < ends_s
        time.sleep(POLL_S)


def listen(url: str = "tcp://127.0.0.1:0") -> tuple[pynng.Pull0, str]:
    pull = pynng.Pull0(recv_timeout=int(DEADLINE_S * 1_000))
    listener = pull.listen(url)
    return pull, listener.url


def test_a_socket_is_not_used_after_its_connection_has_closed() -> None:
    pull, url = listen()
    push = PushSocket(url.removeprefix("tcp://"))
    until(lambda: push.send(b"first"))
    assert pull.recv() == b"first"
    before = push._connection
    pull.close()
    until(lambda: before.is_lost)
    assert not push.send(b"lost")
    pull, _ = listen(url)
    assert push.replace_lost()
    assert push._connection is not before
    until(lambda: push.send(b"second"))
    assert pull.recv() == b"second"
    assert not push.replace_lost()
    push.close()
    pull.close()


def test_a_socket_is_kept_while_nothing_listens_yet() -> None:
    pull, url = listen()
    pull.close()
    push = PushSocket(url.removeprefix("tcp://"))
    before = push._connection
    push.send(b"first")
    assert not push.replace_lost()
    pull, _ = listen(url)
    assert pull.recv() == b"first"
    assert push._connection is before
    push.close()
    pull.close()
