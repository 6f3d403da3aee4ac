"""The link as a process, in front of a socket of the test."""

import socket
import threading

import pytest
from _stand_in_calls import BOUND_S, call, eventually

from balsamlift._address import split_address
from balsamlift.testing import start_stand_in


@pytest.fixture
def echo():
    """Return the address of a server that sends back what it gets."""
    server = socket.create_server(("127.0.0.1", 0))

    def serve():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            threading.Thread(
                target=answer, args=(connection,), daemon=True
            ).start()

    def answer(connection):
        with connection:
            while data := connection.recv(1_024):
                connection.sendall(data)

    threading.Thread(target=serve, daemon=True).start()
    ip, port = server.getsockname()
    yield f"{ip}:{port}"
    server.close()


@pytest.fixture
def link(echo):
    """Return a running link to the echo server."""
    with start_stand_in("link", {"target_address": echo}) as process:
        process.wait_ready()
        yield process


def connect(link):
    found = socket.create_connection(split_address(link.address), BOUND_S)
    found.settimeout(BOUND_S)
    return found


def faults(link, **changes):
    control = link.ready["control_address"]
    assert call(control, "POST", "/control/faults", changes)[0] == 200


def is_closed(connection):
    try:
        return connection.recv(100) == b""
    except ConnectionResetError:
        return True


def echoes(connection, text):
    connection.sendall(text)
    return connection.recv(100) == text


def test_bytes_pass_and_an_end_passes_too(link):
    connection = connect(link)
    assert echoes(connection, b"one")
    connection.shutdown(socket.SHUT_WR)
    assert connection.recv(100) == b""


def test_a_cut_closes_and_refuses_until_healed(link):
    connection = connect(link)
    assert echoes(connection, b"one")
    faults(link, cut=True)
    assert is_closed(connection)
    with pytest.raises(ConnectionRefusedError):
        connect(link)
    faults(link, cut=False)
    assert eventually(lambda: echoes(connect(link), b"two"))


@pytest.mark.parametrize("way", ["stall_forward", "stall_backward"])
def test_stalled_bytes_arrive_after_the_stall(link, way):
    connection = connect(link)
    assert echoes(connection, b"one")
    faults(link, **{way: True})
    connection.sendall(b"two")
    connection.settimeout(0.3)
    with pytest.raises(TimeoutError):
        connection.recv(100)
    faults(link, **{way: False})
    connection.settimeout(BOUND_S)
    assert connection.recv(100) == b"two"


def test_open_connections_stay_silent_while_new_ones_work(link):
    connection = connect(link)
    assert echoes(connection, b"one")
    faults(link, silence_existing=True)
    fresh = connect(link)
    assert echoes(fresh, b"two")
    faults(link, delay_ms=1)
    assert echoes(fresh, b"three")
    connection.sendall(b"lost")
    connection.settimeout(0.3)
    with pytest.raises(TimeoutError):
        connection.recv(100)


def test_a_missing_target_closes_the_connection():
    settings = {"target_address": "127.0.0.1:1"}
    with start_stand_in("link", settings) as process:
        assert is_closed(connect(process))
