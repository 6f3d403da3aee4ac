"""A small deployment with a scripted engine, and helpers for its calls."""

import asyncio
import contextlib
import hashlib
import http.client
import json
import secrets
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from _stand_in_calls import BOUND_S, call, eventually

from balsamlift._loading import structure
from balsamlift.presets import Preset
from balsamlift.presets._operator import Operator
from balsamlift.testing import start_host, start_stand_in

TOKEN = "tell-nobody"
STREAMS = 20
BODY_BYTES = 65_536
PRESET = {
    "name": "ordinary",
    "kinds": {
        "report": {"pool": "drafting", "max_tokens": 2_000},
        "tag": {
            "pool": "drafting",
            "idempotent": False,
            "max_tokens": 2_000,
        },
        "lookup": {"pool": "tracker"},
        "odd": {"pool": "odd", "idempotent": False, "max_tokens": 2_000},
    },
    "workspaces": {
        "museum": {},
        "rival": {},
        "guarded": {
            "token_sha256": hashlib.sha256(TOKEN.encode()).hexdigest()
        },
    },
    "pools": {
        "drafting": {"model": "m", "version": "1"},
        "odd": {"model": "m", "version": "1"},
    },
}


class Deployment:
    """Start two hosts, a platform, an engine, a service and a scripted engine.

    The second host drops answers and slow callers early and allows few
    streams.
    """

    def __init__(self, stack):
        self._stack = stack
        self.operators = []
        self.processes = []
        self.platform = self._start("platform", hosts_lag_ms=0)
        self.engine = self._start(
            "engine",
            name="engine-1",
            platform_address=self.platform,
            model="m",
            version="1",
            parameters={"step_base_ms": 2.0},
        )
        self.service = self._start(
            "service", name="service-1", platform_address=self.platform
        )
        self.scripted_engine = stack.enter_context(ScriptedEngine())
        self._list(
            "odd-1",
            role="upstream",
            pool="odd",
            address=self.scripted_engine.address,
        )
        self.hosts = [
            self._host("host-1", {"body_bytes": BODY_BYTES}, {}),
            self._host(
                "host-2",
                {"answer_keep_ms": 300, "streams": STREAMS},
                {"abandon_ms": 600, "heartbeat_ms": 200},
            ),
        ]
        asyncio.run(self._publish())
        for host in self.hosts:
            eventually(lambda host=host: self._is_ready(host))

    def key(self, host=0):
        """Return a new key whose home is the host."""
        return self.prefix(host) + "." + secrets.token_hex(16)

    def prefix(self, host=0):
        name = f"host-{host + 1}"
        _, found = call(self.hosts[host], "GET", "/v1/addresses?workspace=w")
        return next(
            p["key_prefix"] for p in found["addresses"] if p["host"] == name
        )

    def body(self, host=0, **fields):
        """Return the body of a request under a new key."""
        return {
            "key": self.key(host),
            "workspace": "museum",
            "kind": "report",
            "prompt": "[length=40]",
            **fields,
        }

    def executions(self, key):
        """Return how often the upstreams ran a key."""
        counts = [
            call(address, "GET", "/control/counts")[1]["executions"]
            for address in (self.engine, self.service)
        ]
        return sum(c.get(key, 0) for c in counts)

    def engine_state(self, key):
        return call(self.engine, "GET", f"/v1/keys/{key}")[1]

    def _start(self, kind, **settings):
        process = start_stand_in(kind, settings)
        return self._stack.enter_context(process).address

    def _host(self, name, limits, streams):
        settings = {
            "host": name,
            "failure_domain": "domain-1",
            "callers_address": "127.0.0.1:0",
            "operators_address": "127.0.0.1:0",
            "peers_address": "127.0.0.1:0",
            "platform": {
                "log_address": self.platform,
                "hosts_address": self.platform,
                "hosts_poll_ms": 100,
            },
            "pools": {
                "drafting": {"kind": "engine", "tells_by_key": True},
                "odd": {"kind": "engine"},
                "tracker": {"kind": "service"},
            },
            "address_keep_ms": 200,
            "limits": limits,
            "streams": {"upstream_silence_ms": 2_000} | streams,
            "seed": 1,
        }
        process = self._stack.enter_context(start_host(settings))
        self.processes.append(process)
        ready = process.ready
        self.operators.append(ready["operators_address"])
        self._list(
            name,
            role="entry",
            address=ready["callers_address"],
            operators_address=ready["operators_address"],
            peers_address=ready["peers_address"],
            failure_domain="domain-1",
        )
        return ready["callers_address"]

    def _list(self, name, **entry):
        call(self.platform, "PUT", f"/v1/hosts/{name}", entry)

    def _is_ready(self, address):
        found = call(address, "GET", "/v1/addresses?workspace=w")[1]
        if len(found["addresses"]) < len(self.hosts):
            return False
        host = self.hosts.index(address)
        kinds = ("report", "lookup", "odd")
        requests = [
            self.body(host, kind=kind, prompt="[length=1] whole")
            for kind in kinds
        ]
        return all(ask(address, b)[-1][1].get("outcome") for b in requests)

    async def _publish(self):
        operator = Operator(self.platform)
        await operator.publish(structure(PRESET, Preset, "ordinary"))
        await operator.switch("ordinary")


class ScriptedEngine:
    """An engine whose response is selected by the prompt.

    `cases` maps a prompt to a function that yields the stream's bytes.
    """

    def __init__(self):
        self.cases = {}
        self.posts = []
        self.bodies = {}
        self._server = ThreadingHTTPServer(
            ("127.0.0.1", 0), _ScriptedEngineHandler
        )
        self._server.daemon_threads = True
        self._server.scripted_engine = self
        self.address = f"127.0.0.1:{self._server.server_port}"

    def __enter__(self):
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()
        return self

    def __exit__(self, *_):
        self._server.shutdown()
        self._server.server_close()


class _ScriptedEngineHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.0"

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        scripted_engine = self.server.scripted_engine
        scripted_engine.posts.append(body["key"])
        scripted_engine.bodies[body["key"]] = body
        frames = scripted_engine.cases.get(body["prompt"], whole_frames)
        self._send_events(frames(body))

    def do_GET(self):
        if self.path == "/v1/state":
            return self._send(200, b'{"model":"m","version":"1"}')
        return self._send(404, b'{"reason":"generation_missing"}')

    def _send(self, status, body):
        self.send_response(status)
        self.end_headers()
        self.wfile.write(body)

    def _send_events(self, frames):
        self.send_response(200)
        self.end_headers()
        with contextlib.suppress(OSError):
            for frame in frames:
                self.wfile.write(frame)

    def log_message(self, *_):
        pass


def event(name, **data):
    """Return one server-sent event."""
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()


def start_frame(body, generation="g"):
    return event(
        "start",
        generation=generation,
        key=body["key"],
        workspace=body["workspace"],
        model="m",
        version="1",
    )


def token_frame(index, *tokens, generation="g"):
    return event(
        "token", generation=generation, index=index, tokens=list(tokens)
    )


def end_frame(tokens, generation="g", reason="stop"):
    return event("end", generation=generation, tokens=tokens, reason=reason)


def whole_frames(body):
    yield start_frame(body)
    yield token_frame(0, "a", "b")
    yield end_frame(2)


def ask(address, body, method="POST", path="/v1/requests", headers=None):
    """Return the events of a stream, or [(status, JSON)]."""
    connection = http.client.HTTPConnection(address, timeout=BOUND_S)
    if isinstance(body, dict):
        body = json.dumps(body)
    connection.request(method, path, body, headers or {})
    answer = connection.getresponse()
    text = answer.read()
    connection.close()
    kind = answer.getheader("Content-Type", "")
    if kind == "application/json":
        return [(answer.status, json.loads(text))]
    assert kind == "text/event-stream", (answer.status, kind, text)
    return events_in(text)


def events_in(text):
    """Return the events of a whole stream."""
    found = []
    for block in text.decode().split("\n\n")[:-1]:
        name, data = block.split("\n")
        found.append((name.removeprefix("event: "), json.loads(data[6:])))
    return found


def follow(address, key, index=0, workspace="museum", **query):
    """Return the events of an answer, starting at an index."""
    arguments = "".join(f"&{name}={value}" for name, value in query.items())
    path = f"/v1/requests/{key}?workspace={workspace}&from={index}{arguments}"
    return ask(address, None, "GET", path)


def tokens_in(events, first_index=0):
    """Return the tokens after checking that their indexes are consecutive."""
    tokens = []
    for name, data in events:
        if name == "token":
            assert data["index"] == first_index + len(tokens)
            tokens += data["tokens"]
    return tokens


def digest(tokens):
    joined = "".join(token + "\0" for token in tokens)
    return hashlib.sha256(joined.encode()).hexdigest()
