"""Stand-in for an upstream that speaks HTTP and fails as tests require."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift.peers import UPSTREAM_ROLE, ListEntry
from balsamlift.relay import HeaderNames
from balsamlift.testing._held_port import HeldPort
from balsamlift.testing._settings import LOOPBACK_IP

_LINE_END = b"\r\n"


@attrs.frozen
class ReplicaRequest:
    """Hold one request as the replica received it."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes


class ReplicaConnection:
    """Send answers on one connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        names: HeaderNames,
    ) -> None:
        """Wrap the streams of a connection; `names` are its headers."""
        self.statements = HTTPHeaders()  # of each answer
        self.reader = reader
        self.writer = writer
        self.names = names

    async def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def head(
        self, request: ReplicaRequest, status: int, *lines: str
    ) -> None:
        """Send the status line and the headers of an answer."""
        request_id = request.headers.get(self.names.request_id, "")
        head = [f"HTTP/1.1 {status} Told", *lines]
        head.append(f"{self.names.request_id}: {request_id}")
        head.append(f"{self.names.signature}: signed-{request_id}")
        head += [f"{name}: {text}" for name, text in self.statements.get_all()]
        await self.send("\r\n".join([*head, "", ""]).encode())

    async def answer(
        self, request: ReplicaRequest, body: bytes, status: int = 200
    ) -> None:
        """Send a complete answer."""
        await self.head(request, status, f"Content-Length: {len(body)}")
        await self.send(body)

    async def refuse(self, request: ReplicaRequest) -> None:
        """Answer that the request was not executed."""
        line = f"{self.names.not_executed}: 1"
        await self.head(request, 503, line, "Content-Length: 0")

    async def begin_stream(self, request: ReplicaRequest) -> None:
        """Send the head of a stream of events."""
        await self.head(
            request,
            200,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )

    async def chunk(self, data: bytes) -> None:
        """Send one chunk of a chunked body."""
        await self.send(b"%x\r\n%b\r\n" % (len(data), data))

    async def events(self, first: int, last: int, gap_s: float = 0) -> None:
        """Send the events with the ids from `first` to `last`."""
        for number in range(first, last + 1):
            await self.chunk(event(number))
            await asyncio.sleep(gap_s)

    async def end_stream(self) -> None:
        """Send the last chunk, which completes the stream."""
        await self.send(b"0\r\n\r\n")

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


Behave = Callable[[ReplicaConnection, ReplicaRequest], Awaitable[None]]


def event(number: int) -> bytes:
    """Return the event with the id `number`."""
    return b"id: %d\ndata: token-%d\n\n" % (number, number)


async def answer_ok(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    """Answer with a short body."""
    await connection.answer(request, b"done")


class ReplicaStandIn:
    """Serve on a port of one IP address and record the requests.

    `behave` answers each request and may be replaced at any time. A request
    that expects another incarnation is refused with status 421, as the
    platform's upstreams do.
    """

    def __init__(
        self,
        name: str,
        pool: str,
        names: HeaderNames,
        behave: Behave = answer_ok,
        failure_domain: str = "north",
        ip: str = LOOPBACK_IP,
        slots: int = 0,
    ) -> None:
        """Prepare; `start` begins to listen."""
        self.name = name
        self._ip = ip
        self.pool = pool
        self.names = names
        self.behave = behave
        self.failure_domain = failure_domain
        self.arrivals: list[ReplicaRequest] = []
        self.connections = 0
        self.address = ""  # "IP:port", once it listens
        self.state = "live"
        self.started_ms = 0  # as its entry in the list gives it
        # In the heads of its answers unless empty.
        self.rate_limit = ""
        self.leaving = ""
        self.retry_after = ""
        self.brittle = ""
        self.slots = slots  # requests that it runs at the same time; 0: untold
        self.cold_ms = 0.0
        self.written = 0  # to be increased with each change of `cold_ms`
        self.open: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._port: HeldPort | None = None

    async def start(self, address: str = "") -> None:
        """Listen on a free port, or again on its own after a crash."""
        if self._port is None or address != self._port.address:
            self._release_port()
            self._port = HeldPort(address or f"{self._ip}:0")
        self._server = await asyncio.start_server(
            self._serve, sock=self._port.listen()
        )
        self.address = self._port.address

    async def stop(self) -> None:
        """Close the port and every connection."""
        assert self._server is not None
        self._server.close()
        self._release_port()
        for task in list(self.open):
            task.cancel()
        if self.open:
            await asyncio.wait(self.open)

    def _release_port(self) -> None:
        if self._port is not None:
            self._port.release()
            self._port = None

    def crash(self) -> None:
        """Stop listening and cancel every connection but the current one."""
        assert self._server is not None
        self._server.close()
        current = asyncio.current_task()
        for task in self.open:
            if task is not current:
                task.cancel()

    def entry(self) -> ListEntry:
        """Return its entry in the list of upstreams."""
        return ListEntry(
            name=self.name,
            role=UPSTREAM_ROLE,
            pool=self.pool,
            address=self.address,
            failure_domain=self.failure_domain,
            state=self.state,
            kind="service",
            started_ms=self.started_ms,
            cold_ms=self.cold_ms,
            written=self.written,
            slots=self.slots,
        )

    def ids(self) -> list[str]:
        """Return the ids of the requests that arrived."""
        return [
            request.headers.get(self.names.request_id, "")
            for request in self.arrivals
        ]

    def _statements(self) -> HTTPHeaders:
        """Return the headers that say something about this upstream."""
        statements = {
            self.names.rate_limit: self.rate_limit,
            self.names.leaving: self.leaving,
            self.names.brittle: self.brittle,
            "Retry-After": self.retry_after,
        }
        return HTTPHeaders(
            {name: text for name, text in statements.items() if text}
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self.open.add(task)
        connection = ReplicaConnection(reader, writer, self.names)
        # Tests check what happens when the peer closes at any time.
        with suppress(ConnectionError, asyncio.CancelledError):
            await self._answer_requests(connection)
        writer.close()
        self.open.discard(task)

    async def _answer_requests(self, connection: ReplicaConnection) -> None:
        while (request := await _read_request(connection.reader)) is not None:
            expected = request.headers.get(self.names.expected_incarnation)
            if expected != self.name:
                await connection.head(request, 421, "Content-Length: 0")
                continue
            self.arrivals.append(request)
            connection.statements = self._statements()
            await self.behave(connection, request)


async def _read_request(reader: asyncio.StreamReader) -> ReplicaRequest | None:
    try:
        head = await reader.readuntil(_LINE_END * 2)
    except asyncio.IncompleteReadError:
        return None
    first, _, rest = head.decode("latin-1").partition("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = HTTPHeaders.parse(rest)
    length = int(headers.get("Content-Length", "0"))
    body = await reader.readexactly(length)
    return ReplicaRequest(method, target, headers, body)
