"""The client library: reading streams, resuming them and retrying."""

import asyncio
import json
import socket
import threading
from contextlib import ExitStack, contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import attrs
import pytest
from _callers_deployment import Deployment, digest
from _stand_in_calls import call

from balsamlift.client import Client, Request
from balsamlift.clock import SystemClock
from balsamlift.streams import (
    EventParser,
    EventTooLongError,
    FrameError,
    StreamClient,
    encode_event,
)
from balsamlift.testing import start_stand_in

ONE_EVENT = encode_event("end", {"n": 1})


@contextmanager
def raw_server(answer):
    """Send the same bytes to every connection with one call."""
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
def test_an_invalid_event_ends_the_stream(sent):
    with raw_server(head() + sent) as url, pytest.raises(FrameError):
        asyncio.run(read(url))


def test_the_parser_limits_the_size_of_an_event():
    parser = EventParser(max_event_bytes=40)
    assert len(list(parser.feed(ONE_EVENT * 3))) == 3
    with pytest.raises(EventTooLongError):
        list(parser.feed(b"x" * 41))


class ScriptedHost:
    """A host that returns one list of addresses and scripted answers."""

    def __init__(self, *answers, places=None, keep_ms=60_000):
        self.answers = list(answers)
        self.posts = []
        self.address_requests = 0
        self.keep_ms = keep_ms
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), _ScriptedHandler)
        self._server.daemon_threads = True
        self._server.host = self
        self.address = f"127.0.0.1:{self._server.server_port}"
        self.places = places or [place("host-1", self.address)]

    def __enter__(self):
        serve = self._server.serve_forever
        threading.Thread(target=serve, args=(0.01,), daemon=True).start()
        return self

    def __exit__(self, *_):
        self._server.shutdown()
        self._server.server_close()

    @property
    def keys(self):
        return [body["key"] for body in self.posts]


class _ScriptedHandler(BaseHTTPRequestHandler):
    def do_GET(self):
        host = self.server.host
        host.address_requests += 1
        found = {"keep_ms": host.keep_ms, "addresses": host.places}
        self._send(200, json.dumps(found).encode())

    def do_POST(self):
        host = self.server.host
        length = int(self.headers["Content-Length"])
        host.posts.append(json.loads(self.rfile.read(length)))
        answers = host.answers
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer is not CLOSE:
            self._send(*answer)

    def _send(self, status, body):
        self.send_response(status)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def place(host, address):
    return {
        "host": host,
        "address": address,
        "failure_domain": "domain-1",
        "key_prefix": f"{host}~0~0",
    }


def stream_of(tokens, digest_tokens):
    """Return an answer with `tokens` and the digest of `digest_tokens`."""
    start = {"generation": "g", "upstream": "u"}
    frame = {"generation": "g", "index": 0, "tokens": tokens}
    end = {
        "outcome": "whole",
        "tokens": len(tokens),
        "digest": digest(digest_tokens),
    }
    events = [("start", start), ("token", frame), ("end", end)]
    return 200, b"".join(encode_event(*event) for event in events)


def unknown(retry_after_ms):
    return 504, json.dumps(
        {"outcome": "unknown", "retry_after_ms": retry_after_ms}
    ).encode()


def error(status, code):
    return status, json.dumps({"error": code, "message": "m"}).encode()


CLOSE = object()  # read the request and close the connection without an answer
WHOLE = stream_of(["a", "b"], ["a", "b"])
REQUEST = Request(kind="report", deadline_ms=20_000)


def run(host, request=REQUEST, **options):
    """Run one request; return its outcome, its tokens and its keys."""
    tokens = []
    keys = []

    async def work():
        client = Client([host.address], workspace="museum")
        try:
            return await client.run(
                request, tokens.extend, on_key=keys.append, **options
            )
        finally:
            client.close()

    return asyncio.run(work()), tokens, keys


class ShiftedClock(SystemClock):
    shift_s = 0.0

    def monotonic(self):
        return super().monotonic() + self.shift_s


def test_addresses_are_cached_for_the_time_given():
    clock = ShiftedClock()

    async def work(host):
        client = Client([host.address], workspace="w", clock=clock)
        for shift_s, requests in ((0.0, 1), (59.0, 1), (61.0, 2)):
            clock.shift_s = shift_s
            await client.hosts()
            assert host.address_requests == requests
        client.close()

    with ScriptedHost(WHOLE) as host:
        asyncio.run(work(host))


def free_address():
    """Return an address on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        ip, port = listener.getsockname()
    return f"{ip}:{port}"


def test_another_host_and_key_are_used_if_nothing_was_sent():
    with ScriptedHost(WHOLE) as host:
        host.places.insert(0, place("host-9", free_address()))
        outcome, tokens, keys = run(host)
    assert (outcome.outcome, tokens) == ("whole", ["a", "b"])
    assert [key.split("~")[0] for key in keys] == ["host-9", "host-1"]
    assert host.keys == keys[1:]


def test_the_key_is_kept_once_a_byte_may_have_been_sent():
    with ScriptedHost(CLOSE, CLOSE, WHOLE) as host:
        outcome, tokens, keys = run(host)
    assert (outcome.outcome, tokens) == ("whole", ["a", "b"])
    assert host.keys == keys * 3


def test_an_unknown_outcome_is_asked_for_again_with_the_same_key():
    with ScriptedHost(unknown(20), unknown(20), WHOLE) as host:
        outcome, _, keys = run(host)
    assert outcome.outcome == "whole"
    assert host.keys == keys * 3


@pytest.mark.parametrize(("retry_after_ms", "posts"), [(20, 4), (None, 1)])
def test_asking_again_is_bounded(retry_after_ms, posts):
    with ScriptedHost(unknown(retry_after_ms)) as host:
        outcome, _, keys = run(host)
    assert outcome.outcome == "unknown"
    assert host.keys == keys * posts


def test_an_invalid_request_is_refused_and_not_sent_again():
    with ScriptedHost(error(403, "workspace_unknown")) as host:
        outcome, _, _ = run(host, attempts=3)
    assert (outcome.outcome, outcome.reason) == (
        "refused",
        "workspace_unknown",
    )
    assert len(host.posts) == 1


def test_an_error_after_a_lost_attempt_leaves_the_outcome_unknown():
    with ScriptedHost(CLOSE, error(403, "workspace_unknown")) as host:
        outcome, _, _ = run(host)
    assert (outcome.outcome, outcome.reason) == (
        "unknown",
        "workspace_unknown",
    )


def test_tokens_that_do_not_match_the_digest_are_not_whole():
    with ScriptedHost(stream_of(["a", "b"], ["a", "c"])) as host:
        outcome, _, _ = run(host)
    assert (outcome.outcome, outcome.reason) == ("failed", "digest_wrong")


class LinkedClient(Client):
    """Reach every host through its link, host-1 first.

    Host-1 comes first because host-2 keeps answers for 300 ms only: a caller
    that detects a silent connection after three seconds finds them expired
    there, as it should.
    """

    def __init__(self, links, **options):
        super().__init__(list(links), **options)
        self.links = links

    async def _fetch_hosts(self, address):
        found = await super()._fetch_hosts(address)
        through = [
            attrs.evolve(p, address=self.links[p.address].address)
            for p in sorted(found.addresses, key=lambda p: p.host)
        ]
        return attrs.evolve(found, addresses=through)


@pytest.fixture(scope="module")
def world():
    with ExitStack() as stack:
        yield Deployment(stack)


@pytest.fixture
def links(world):
    with ExitStack() as stack:
        yield {
            address: stack.enter_context(
                start_stand_in("link", {"target_address": address})
            )
            for address in world.hosts
        }


@pytest.mark.parametrize("fault", ["cut", "silence_existing"])
def test_a_lost_connection_loses_no_token(world, links, fault):
    tokens = []
    keys = []

    def on_tokens(added):
        if len(tokens) < 50 <= len(tokens) + len(added):
            name = keys[0].split("~")[0]
            home = world.hosts[int(name[-1]) - 1]
            control = links[home].ready["control_address"]
            call(control, "POST", "/control/faults", {fault: True})
        tokens.extend(added)

    async def work():
        client = LinkedClient(links, workspace="museum")
        request = Request(kind="report", prompt="[length=800]")
        try:
            return await client.run(request, on_tokens, on_key=keys.append)
        finally:
            client.close()

    outcome = asyncio.run(work())
    assert outcome.outcome == "whole", outcome
    assert len(tokens) == 800
    assert outcome.digest == digest(tokens)
    assert len(keys) == 1
    assert world.executions(keys[0]) == 1
