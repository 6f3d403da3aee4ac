"""Tests of the link stand-in, run as a process before an echo server."""

import asyncio
import contextlib
import socket
import threading

import pytest
from _stand_in_calls import BOUND_S, call, eventually

from balsamlift._address import split_address
from balsamlift.testing import start_stand_in
from balsamlift.testing._link import Link
from balsamlift.testing._settings import LinkSettings
from balsamlift.testing.relay import HEADER_NAMES, ReplicaStandIn

LOOPBACK = "127.0.0.1"


@pytest.fixture
def echo():
    """Return the address of a server that sends back all that it receives."""
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


def set_faults(link, **changes):
    control = link.ready["control_address"]
    assert call(control, "POST", "/control/faults", changes)[0] == 200


@contextlib.contextmanager
def bound(address):
    """Bind an address, as an outgoing connection may; yield whether it is."""
    with socket.socket() as taker:
        try:
            taker.bind(split_address(address))
        except OSError:
            yield False
        else:
            yield True


def is_closed(connection):
    try:
        return connection.recv(100) == b""
    except ConnectionResetError:
        return True


def echoes(connection, text):
    connection.sendall(text)
    return connection.recv(100) == text


def test_link_relays_bytes_and_end_of_stream(link):
    connection = connect(link)
    assert echoes(connection, b"one")
    connection.shutdown(socket.SHUT_WR)
    assert connection.recv(100) == b""


def test_cut_closes_and_refuses_connections_until_cleared(link):
    connection = connect(link)
    assert echoes(connection, b"one")
    set_faults(link, cut=True)
    assert is_closed(connection)
    with pytest.raises(ConnectionRefusedError):
        connect(link)
    set_faults(link, cut=False)
    assert eventually(lambda: echoes(connect(link), b"two"))


@pytest.mark.parametrize("fault", ["stall_forward", "stall_backward"])
def test_stalled_bytes_arrive_after_the_stall(link, fault):
    connection = connect(link)
    assert echoes(connection, b"one")
    set_faults(link, **{fault: True})
    connection.sendall(b"two")
    connection.settimeout(0.3)
    with pytest.raises(TimeoutError):
        connection.recv(100)
    set_faults(link, **{fault: False})
    connection.settimeout(BOUND_S)
    assert connection.recv(100) == b"two"


def test_silenced_connections_stay_silent_while_new_ones_work(link):
    connection = connect(link)
    assert echoes(connection, b"one")
    set_faults(link, silence_existing=True)
    new_connection = connect(link)
    assert echoes(new_connection, b"two")
    set_faults(link, delay_ms=1)
    assert echoes(new_connection, b"three")
    connection.sendall(b"lost")
    connection.settimeout(0.3)
    with pytest.raises(TimeoutError):
        connection.recv(100)


def test_unreachable_target_closes_the_connection():
    settings = {"target_address": "127.0.0.1:1"}
    with start_stand_in("link", settings) as process:
        assert is_closed(connect(process))


def test_cut_link_keeps_its_port_from_other_processes(link):
    set_faults(link, cut=True)
    with bound(link.address) as is_taken:
        assert not is_taken
        set_faults(link, cut=False)
        assert eventually(lambda: echoes(connect(link), b"two"))


def test_crashed_replica_keeps_its_port_from_other_processes():
    async def check():
        replica = ReplicaStandIn("u1", "plain", HEADER_NAMES)
        await replica.start()
        replica.crash()
        with bound(replica.address) as is_taken:
            assert not is_taken
            await replica.start(replica.address)
        await replica.stop()

    asyncio.run(check())


def test_answers_of_a_stand_in_do_not_wait_for_acknowledgements():
    async def check():
        replica = ReplicaStandIn("u1", "plain", HEADER_NAMES)
        await replica.start()
        _, writer = await asyncio.open_connection(
            *split_address(replica.address)
        )
        while not replica.open:
            await asyncio.sleep(0.01)
        (task,) = replica.open
        accepted = task.get_coro().cr_frame.f_locals["writer"]
        sock = accepted.get_extra_info("socket")
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        writer.close()
        await replica.stop()

    asyncio.run(check())


def test_a_link_may_be_changed_again_before_it_accepts() -> None:
    """Two changes in one turn of the event loop listened twice."""

    async def test() -> None:
        target = await asyncio.start_server(lambda _, w: w.close(), LOOPBACK)
        async with target:
            ip, port = target.sockets[0].getsockname()
            link = Link(LinkSettings(target_address=f"{ip}:{port}"))
            await link.start()
            own = split_address(link.ready()["address"])
            link.control.update({"cut": True})
            link.control.update({"cut": False})
            link.control.update({"delay_ms": 1})
            _, writer = await asyncio.open_connection(*own)
            writer.close()
            link.control.update({"cut": True})
            link.control.update({"cut": False})
            link.control.update({"cut": True})
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*own)
            await link.stop()

    asyncio.run(test())
