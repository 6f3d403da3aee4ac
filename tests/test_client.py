"""The client library: streams, coming back, asking again."""

import asyncio
import socket
import threading
from contextlib import contextmanager

import pytest

from balsamlift.streams import (
    EventParser,
    EventTooLongError,
    FrameError,
    StreamClient,
    encode_event,
)

ONE_EVENT = encode_event("end", {"n": 1})


@contextmanager
def raw_server(answer):
    """Send the same bytes to every connection, in one piece."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                connection.recv(65_536)
                connection.sendall(answer)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    ip, port = listener.getsockname()
    yield f"http://{ip}:{port}/"
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join()


async def read(url, times=1):
    """Return the events of each of `times` streams."""
    streams = StreamClient()
    found = []
    for _ in range(times):
        stream = streams.open("GET", url, connect_ms=1_000, silence_ms=5_000)
        found.append([event async for event in stream.events()])
    streams.close()
    return found


def head(status="200 OK"):
    return f"HTTP/1.0 {status}\r\n\r\n".encode()


def test_a_stream_that_arrives_in_one_piece_is_read():
    with raw_server(head() + ONE_EVENT) as url:
        for events in asyncio.run(read(url, 50)):
            assert [event.name for event in events] == ["end"]


@pytest.mark.parametrize(
    "sent", [b"event: \xff\n\n", b"data: " + b"x" * (5 << 20)]
)
def test_what_is_no_event_ends_the_stream(sent):
    with raw_server(head() + sent) as url, pytest.raises(FrameError):
        asyncio.run(read(url))


def test_the_parser_holds_no_more_than_its_bound():
    parser = EventParser(max_event_bytes=40)
    assert len(list(parser.feed(ONE_EVENT * 3))) == 3
    with pytest.raises(EventTooLongError):
        list(parser.feed(b"x" * 41))
