"""Relay harness: a relay and its stand-ins in one process on 127.0.0.1."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping, Sequence

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift._http import HttpClient
from balsamlift.clock import Clock, SystemClock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import OperatorsServer
from balsamlift.peers import (
    ENTRY_ROLE,
    ListEntry,
    Peers,
    Upstreams,
)
from balsamlift.platform._decode import STATEMENT_DECODERS
from balsamlift.platform._prompt_parts import decode_prompt_parts
from balsamlift.relay import (
    FORWARDING_FRONTEND,
    CallerLimits,
    ColdLimits,
    Configuration,
    Directory,
    EngineTraits,
    Frontend,
    HeaderNames,
    Relay,
    RelaySettings,
    RetryLimits,
    Route,
    Routing,
    Service,
    ServiceShare,
    Workspace,
)
from balsamlift.settings import (
    PeerSettings,
    PlatformSettings,
    PoolSettings,
    Settings,
)
from balsamlift.testing._relay_stand_ins import StandInEngines, StandInList
from balsamlift.testing._replica import ReplicaStandIn
from balsamlift.timeline import Timeline

HEADER_NAMES = HeaderNames(
    request_id="Request-Id",
    deadline_ms="Deadline-Ms",
    signature="Signature",
    workspace="Workspace",
    expected_incarnation="Expected-Incarnation",
    not_executed="Not-Executed",
    rate_limit="Rate-Limit",
    leaving="Leaving",
    brittle="Brittle",
    priority="Priority",
    prompt_parts="Prompt-Parts",
    token_usage="Token-Usage",
    length_hint="Length-Hint",
    backup_address="Backup-Address",
    resume_source="Resume-Source",
    last_event_id="Last-Event-Id",
    auth_scheme="Token",
    reserved=frozenset(
        {
            "authorization",
            "deadline-ms",
            "workspace",
            "expected-incarnation",
            "priority",
            "backup-address",
            "resume-source",
        }
    ),
)
DRAIN_S = 2.0
DEADLINE_MS = 3_000  # for which callers wait
HOST = "shop.example"
KEY = "key-of-bench"
WORKSPACE = "bench"
ENGINE = EngineTraits(memory_tokens=10_000, can_move=True, can_back_up=True)

LIMITS = CallerLimits(
    body_bytes=1_000_000,
    head_bytes=16_384,
    head_timeout_ms=5_000,
    idle_timeout_ms=15_000,
)


def route(kind: str, path: str, service: str, **fields: object) -> Route:
    """Return a route with default limits; `fields` override any field."""
    values: dict[str, object] = {
        "name": path.strip("/"),
        "host": HOST,
        "path_prefix": path,
        "kind": kind,
        "services": (ServiceShare(service=service, weight=1),),
        "timeout_ms": 5_000,
        "target_ms": 1_000,
        "most_attempts": 2 if kind == "idempotent" else 1,
    }
    values.update(fields)
    return Route(**values)  # type: ignore[arg-type]


def configuration(version: int = 1, **fields: object) -> Configuration:
    """Return a configuration with a route of each kind.

    `fields` override any field.
    """
    values: dict[str, object] = {
        "version": version,
        "routes": (
            route("idempotent", "/view/", "plain"),
            route("non_idempotent", "/order/", "plain"),
            route("stream", "/draft/", "model"),
        ),
        "services": (
            Service(name="plain", max_connections=100),
            Service(name="model", max_connections=100, engine=ENGINE),
        ),
        "workspaces": (Workspace(name=WORKSPACE, keys=(KEY,)),),
        "limits": LIMITS,
    }
    values.update(fields)
    return Configuration(**values)  # type: ignore[arg-type]


@attrs.frozen
class CallerAnswer:
    """Hold an answer as the caller received it."""

    status: int
    headers: HTTPHeaders
    body: bytes
    is_whole: bool


class RelayHarness:
    """Run a relay and the replicas that it sends requests to."""

    def __init__(
        self,
        replicas: Sequence[ReplicaStandIn],
        clock: Clock | None = None,
        *,
        regions: Mapping[str, str] | None = None,
        cold_limits: ColdLimits | None = None,
        host: str = "host-1",
        starts_replicas: bool = True,
    ) -> None:
        """Prepare; everything starts on entry of the asynchronous context.

        `regions` maps each failure domain to its region.
        """
        self.host = host
        self._starts_replicas = starts_replicas
        self._regions = regions or {}
        self._cold_limits = cold_limits
        self.clock = clock or SystemClock()
        self.list = StandInList(replicas)
        self.engines = StandInEngines()
        self.routing = Routing()
        self.kernel = Kernel()

    async def __aenter__(self) -> RelayHarness:
        """Start the replicas and the services of the relay."""
        if self._starts_replicas:
            for replica in self.list.replicas:
                await replica.start()
        settings = _settings(self.host)
        rng = random.Random(7)
        http = HttpClient(max_calls=4)
        self.frontend = Frontend("127.0.0.1:0", self.clock)
        self.forwarding_frontend = Frontend(
            "127.0.0.1:0", self.clock, FORWARDING_FRONTEND
        )
        self.upstreams = Upstreams(settings, self.clock, http, self.list)
        self.peers = Peers(
            settings,
            f"{self.host}/1",
            self.frontend.address,
            self.clock,
            rng,
            self.forwarding_frontend.address,
        )
        self.metrics = Metrics()
        self.directory = Directory("north", 2_000, rng, self._regions)
        limits = RetryLimits(ratio=2.0, extra=50, window_s=10.0)
        relay = RelaySettings(
            failure_domain="north",
            retries=limits,
            cold_limits=self._cold_limits,
            regions=self._regions,
            names=HEADER_NAMES,
            decoders=STATEMENT_DECODERS,
            decode_prompt_parts=decode_prompt_parts,
            drain_s=DRAIN_S,
        )
        self.relay = Relay(relay, self.engines, self.clock, rng)
        self.operators = OperatorsServer("127.0.0.1:0")
        for service in (
            self.operators,
            Timeline(self.host, self.clock, 1_000),
            self.metrics,
            self.routing,
            self.frontend,
            self.forwarding_frontend,
            self.upstreams,
            self.peers,
            self.directory,
            self.relay,
        ):
            self.kernel.register(service)
        await self.kernel.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the services and the replicas."""
        await self.kernel.stop()
        if self._starts_replicas:
            for replica in self.list.replicas:
                await replica.stop()

    def entry(self) -> ListEntry:
        """Return the entry of this host in the list."""
        own = self.peers.own
        return ListEntry(
            name=own.host,
            role=ENTRY_ROLE,
            address=own.callers_address,
            operators_address=own.operators_address,
            peers_address=own.peers_address,
            failure_domain=own.failure_domain,
        )

    def configure(self, version: int = 1, **fields: object) -> None:
        """Apply a configuration; `fields` override its defaults."""
        self.routing.offer(
            configuration(version, **fields), b"%d" % version, "test"
        )

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection as a caller."""
        ip, _, port = self.frontend.address.rpartition(":")
        return await asyncio.open_connection(ip, int(port))

    async def call(
        self,
        path: str,
        request_id: str = "r1",
        *,
        method: str = "POST",
        body: bytes = b"",
        headers: Sequence[str] = (),
        key: str = KEY,
        deadline_ms: int = DEADLINE_MS,
    ) -> CallerAnswer:
        """Send one request on a new connection and return its answer."""
        reader, writer = await self.connect()
        writer.write(
            request_bytes(
                path, request_id, method, body, headers, key, deadline_ms
            )
        )
        try:
            return await read_answer(reader)
        finally:
            writer.close()


def request_bytes(
    path: str,
    request_id: str = "r1",
    method: str = "POST",
    body: bytes = b"",
    headers: Sequence[str] = (),
    key: str = KEY,
    deadline_ms: int = DEADLINE_MS,
) -> bytes:
    """Return the bytes of a request as a caller sends it."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{HEADER_NAMES.request_id}: {request_id}",
        f"{HEADER_NAMES.deadline_ms}: {deadline_ms}",
        f"Authorization: Token {key}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> CallerAnswer:
    """Read one answer, which may break off before its end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, _, rest = head.decode("latin-1").partition("\r\n")
    headers = HTTPHeaders.parse(rest)
    status = int(first.split(" ")[1])
    try:
        if headers.get("Transfer-Encoding") == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers["Content-Length"]))
    except asyncio.IncompleteReadError as error:
        return CallerAnswer(status, headers, error.partial, False)
    return CallerAnswer(status, headers, body, True)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        try:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise asyncio.IncompleteReadError(body, None) from error
        body += chunk[:-2]
        if size == 0:
            return body


def _settings(host: str) -> Settings:
    return Settings(
        host=host,
        failure_domain="north",
        callers_address="127.0.0.1:0",
        operators_address="127.0.0.1:0",
        peers_address="127.0.0.1:0",
        platform=PlatformSettings(
            log_address="127.0.0.1:9",
            hosts_address="127.0.0.1:9",
            hosts_poll_ms=20,
        ),
        pools={"listed": PoolSettings(kind="service")},
        peers=PeerSettings(heartbeat_ms=100, silence_ms=500),
    )
