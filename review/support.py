"""Stand-ins and processes that the cases of this review share.

The store is the project's own stand-in. Replicas and clients are small ones
of the review, so that their bytes and times are in plain sight.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src")]

from balsamlift.testing.platform import KeyedStore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
READY_TIMEOUT_S = 30.0
KEY, TENANT, HOST = "key-of-the-tenant", "tenant-one", "shop.example"
# As in the settings of the small deployments.
GRACE_S = 8.0
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": int(GRACE_S),
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "OuterMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetExtraRetries": 54,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 4.7,
    "ttl_max_s": 5,
}


def is_troubled() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Recorder:
    """Write what was sent, answered and run, with the time of each."""

    def __init__(self, folder: Path) -> None:
        """Begin the record of a case anew."""
        self._began_s = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def line(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        line = f"{time.monotonic() - self._began_s:8.3f} s  {text}"
        print(line, flush=True)
        print(line, file=self._file, flush=True)


def random_ip() -> str:
    """Return a loopback address that hardly any other process uses."""
    numbers = [random.randint(16, 250) for _ in range(3)]
    return "127." + ".".join(str(number) for number in numbers)


def free_port(ip: str) -> int:
    """Return a port of an address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
        return port


# Replicas

Headers = dict[str, str]  # by name in lower case


class Request:
    """Hold one request as a server read it."""

    def __init__(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Hold the parts of the request."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def attempt(self) -> str:
        """Return the id of the consumer's attempt."""
        return self.headers.get("x-attempt-id", "")


class Channel:
    """Write answers on one channel of a replica."""

    def __init__(self, writer: asyncio.StreamWriter, name: str) -> None:
        """Answer in the name of the replica `name`."""
        self.writer = writer
        self.name = name
        self.is_closed = asyncio.Event()

    async def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    async def head(self, request: Request, status: int, *lines: str) -> None:
        """Send the head of a signed answer that echoes the request's id."""
        receipt = f"{self.name}.{request.attempt}.{status}"
        await self.send(
            "\r\n".join(
                [
                    f"HTTP/1.1 {status} Answer",
                    f"X-Attempt-Id: {request.attempt}",
                    f"X-Response-Signature: {receipt}",
                    *lines,
                    "",
                    "",
                ]
            ).encode()
        )

    async def answer(
        self, request: Request, body: bytes, status: int = 200
    ) -> None:
        """Send a complete answer."""
        await self.head(request, status, f"Content-Length: {len(body)}")
        await self.send(body)

    async def json(self, body: Any, status: int = 200) -> None:
        """Send a complete answer to a call that concerns no request."""
        data = json.dumps(body).encode()
        head = (
            f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        await self.send(head.encode() + data)


Handler = Callable[[Channel, Request], Awaitable[None]]


class Replica:
    """Serve one request at a time on each channel."""

    def __init__(self, name: str, service: str, handle: Handler) -> None:
        """Pass each request to `handle`."""
        self.name = name
        self.service = service
        self.ip = random_ip()
        self.address = ""
        self.state = "ready"
        self._sequence = 0
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, self.ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    def crash(self) -> None:
        """Close the port and reset every channel, as a dead process does."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._serving:
            task.cancel()

    def entry(self) -> bytes:
        """Return its entry in the platform's store."""
        self._sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": "zone-a",
                "Version": "1",
                "Slots": 32,
                "LifecycleState": self.state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
            }
        ).encode()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._serving.add(task)
        self._writers.add(writer)
        task.add_done_callback(self._serving.discard)
        task.add_done_callback(lambda _: self._writers.discard(writer))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(writer, self.name)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                expected = request.headers.get("x-expected-instance")
                if expected not in (None, self.name):
                    line = "X-Not-Executed: 1"
                    await channel.head(request, 421, line, "Content-Length: 0")
                    continue
                await self._handle(channel, request)
        channel.is_closed.set()
        writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a channel."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = lines.strip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.split(":", 1) for line in rest)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


# Clients


class Answer:
    """Hold what a client got for one request."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self.status = 0  # 0: the channel was closed without an answer
        self.headers: Headers = {}
        self.body = b""
        self.is_complete = False  # it ended as the protocol says

    def event_ids(self) -> list[int]:
        """Return the ids of the events in the body."""
        lines = self.body.decode().split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]

    def __str__(self) -> str:
        """Return it in a few words."""
        if not self.status:
            return "channel closed without an answer"
        end = "complete" if self.is_complete else "cut"
        retry = self.headers.get("retry-after")
        told = f", Retry-After {retry}" if retry else ""
        return f"{self.status}, {len(self.body)} bytes, {end}{told}"


class ClientChannel:
    """Send requests one after the other, on one channel while it lasts."""

    def __init__(self, address: str) -> None:
        """Connect to `address` with the first request."""
        self._address = address
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    @property
    def is_open(self) -> bool:
        """Return whether the next request goes on a kept channel."""
        return self._streams is not None

    def close(self) -> None:
        """Close the channel."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def ask(
        self,
        method: str,
        target: str,
        attempt: str,
        headers: Mapping[str, str],
        body: bytes = b"",
    ) -> Answer:
        """Send one request and read its answer."""
        if self._streams is None:
            ip, port = self._address.split(":")
            self._streams = await asyncio.open_connection(ip, int(port))
        reader, writer = self._streams
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt}",
            f"Authorization: Token {KEY}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        answer = Answer()
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await _read_answer(reader, answer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer


async def ask(
    address: str,
    method: str,
    target: str,
    attempt: str,
    headers: Mapping[str, str],
    body: bytes = b"",
) -> Answer:
    """Send one request on a new channel and read its answer."""
    channel = ClientChannel(address)
    try:
        return await channel.ask(method, target, attempt, headers, body)
    finally:
        channel.close()


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.strip().split("\r\n")
    answer.status = int(first.split(" ")[1])
    pairs = (line.split(":", 1) for line in rest)
    answer.headers = {name.lower(): value.strip() for name, value in pairs}
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            answer.body += data[:-2]
            if not size:
                break
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_complete = True


# The system under test


class Machine:
    """Run one process of the system, as the deploy file starts it."""

    def __init__(self, name: str, store_address: str, folder: Path) -> None:
        """Prepare its settings file in `folder`."""
        self.name = name
        self.ip = random_ip()
        ports = [free_port(self.ip) for _ in range(3)]
        self.front, self.ready, self.directory = (
            f"{self.ip}:{port}" for port in ports
        )
        self._store_address = store_address
        self._settings = folder / f"{name}.toml"
        self._log = (folder / f"{name}.log").open("wb")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Write the settings and start the process of the role."""
        self._settings.write_text(self._settings_text(), encoding="utf-8")
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["BALSAMLIFT_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/serve.py",
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until its readiness check succeeds."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            with suppress(OSError):
                answer = await ask(self.ready, "GET", "/readyz", "check", {})
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} did not become ready")

    async def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
        self._log.close()

    def _settings_text(self) -> str:
        first_port = free_port(self.ip)
        bounds = [f"{name} = {value}" for name, value in BOUNDS.items()]
        lines = [
            f'NodeName = "{self.name}"',
            'Role = "host"',
            'MachineClass = "edge"',
            'Serves = ["edge", "registry"]',
            f'Ip = "{self.ip}"',
            'Zone = "zone-a"',
            'Region = "land"',
            f"InternalPorts = [{first_port}, {first_port + 15}]",
            "Bootstrap = true",
            "HeartbeatMs = 1200",
            "[Zones]",
            'zone-a = "land"',
            "[Listen]",
            f'Frontend = "{self.front}"',
            f'Readiness = "{self.ready}"',
            f'Directory = "{self.directory}"',
            "[Platform]",
            f'Address = "{self._store_address}"',
            "[Bounds]",
            "StrictRevocation = false",
            *bounds,
        ]
        return "\n".join([*lines, ""])


class Deployment:
    """Run the store, the replicas and the machines of one case."""

    def __init__(self, manifest: dict[str, Any], machines: int = 1) -> None:
        """Serve `manifest` with that many machines."""
        self._manifest = manifest
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store = KeyedStore(random_ip())
        self.replicas: list[Replica] = []
        self._machine_count = machines
        self.machines: list[Machine] = []
        self._beat: asyncio.Task[None] | None = None

    def logs(self) -> str:
        """Return what the machines have logged."""
        files = sorted(Path(self._folder.name).glob("*.log"))
        return "\n".join(file.read_text(errors="replace") for file in files)

    async def start(self) -> None:
        """Start all, and wait until each machine is ready."""
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            self.publish(replica)
        data = json.dumps(self._manifest).encode()
        self.store.topic("keyed.op").append("config", data)
        folder = Path(self._folder.name)
        for number in range(1, self._machine_count + 1):
            name = f"edge-{number}"
            machine = Machine(name, self.store.address, folder)
            self.machines.append(machine)
            await machine.start()
        for machine in self.machines:
            await machine.wait_ready()
        await asyncio.sleep(1.5)  # for the first read of the replicas
        self._beat = asyncio.create_task(self._keep_beating())

    def remove(self, replica: Replica) -> None:
        """Remove the entry of a replica from the store."""
        self.store.topic("keyed.servers").append(replica.name, b"")

    def publish(self, replica: Replica) -> None:
        """Write the entry of a replica, as it is now, to the store."""
        topic = self.store.topic("keyed.servers")
        topic.append(replica.name, replica.entry())

    async def stop(self) -> None:
        """End every process and remove the folder."""
        if self._beat is not None:
            self._beat.cancel()
        for machine in self.machines:
            await machine.stop()
        await self.store.stop()
        self._folder.cleanup()

    async def _keep_beating(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            for replica in self.replicas:
                self.publish(replica)


def route(path: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a manifest."""
    return {
        "Name": path.strip("/"),
        "Hostname": HOST,
        "PathPrefix": path,
        "RouteType": kind,
        "Service": service,
        "TimeoutMs": 39_000,
        "TargetLatencyMs": 1_800,
        "MaxAttempts": 1,
        "Priority": 0,
        **fields,
    }


def manifest(
    routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the first manifest, with one tenant."""
    return {
        "Version": 1,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 5_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


def run_case(file: str, case: Callable[[Recorder], Awaitable[int]]) -> None:
    """Run a case, record its verdict and exit with it."""
    recorder = Recorder(Path(file).resolve().parent)
    mode = "with" if is_troubled() else "without"
    recorder.line(f"the case runs {mode} its disruption")
    try:
        verdict = asyncio.run(_bounded(case, recorder))
    except Exception as error:
        recorder.line(f"the case could not run: {error!r}")
        verdict = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken"}
    recorder.line(words.get(verdict, "the case could not run"))
    sys.exit(verdict)


async def _bounded(
    case: Callable[[Recorder], Awaitable[int]], recorder: Recorder
) -> int:
    async with asyncio.timeout(110):
        return await case(recorder)
