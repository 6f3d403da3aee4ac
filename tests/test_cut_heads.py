"""Test answers that stop in their head, or in what comes before or after."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing

import pytest
from _relay_fleet import relay_fleet
from _relay_helpers import USAGE, first_event, run

from balsamlift._address import join_address
from balsamlift._http import Answer, CallError, HttpClient
from balsamlift._streaming import StallLimits
from balsamlift._tasks import end_task
from balsamlift.clock import SystemClock
from balsamlift.exceptions import UpstreamBrokenError
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.platform._engines import PlatformEngines
from balsamlift.relay import CopyError, ReportError, UpstreamHttp
from balsamlift.relay._connection import UpstreamConnection
from balsamlift.relay._pool import ConnectionPool
from balsamlift.relay.forwarding._reply import ForwardedReply
from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    event,
    route,
)

HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 12\r\nX-A: b\r\n"
EARLY = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LENGTH = HEAD + b"Content-Length: 4\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = {
    "length": LENGTH + b"body",
    "empty": HEAD + b"Content-Length: 0\r\n\r\n",
    "chunks": CHUNKED + b"4\r\nbody\r\n0\r\n\r\n",
    "trailers": CHUNKED + b"4\r\nbody\r\n0\r\nX-T: 1\r\nX-U: 2\r\n\r\n",
    "interim": CONTINUE + EARLY + LENGTH + b"body",
    "no content": HEAD.replace(b"200 OK", b"204 No") + b"\r\n",
}
ENDS = pytest.mark.parametrize("is_reset", [False, True], ids=["end", "reset"])
IDLE_S = 0.2


def reset_at_close(connection: socket.socket) -> None:
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@asynccontextmanager
async def server(
    data: bytes, *, is_reset: bool = False, is_idle: bool = False
) -> AsyncIterator[str]:
    """Answer each request with the same bytes, then end the connection."""

    serving = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        serving.add(asyncio.current_task())
        with closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            if is_idle:
                await reader.read()
            if is_reset:
                reset_at_close(writer.get_extra_info("socket"))

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with listener:
        yield join_address(*listener.sockets[0].getsockname())
        for task in serving:
            await end_task(task)


async def open_connection(address: str) -> UpstreamConnection:
    connection = UpstreamConnection("u-1", address, SystemClock())
    await connection.connect()
    connection.send("GET", "/x", [("Host", address)], b"")
    return connection


async def read_answer(connection: UpstreamConnection) -> bytes:
    head = await connection.read_head(lambda _: True)
    chunks = [chunk async for chunk in connection.read_body(head)]
    return b"".join(chunks)


@pytest.mark.parametrize("name", WHOLE)
@ENDS
def test_an_answer_that_stops_before_its_end_is_broken(
    name: str, is_reset: bool
) -> None:
    """Cut at each point; the connection is that of all requests passed on."""

    async def test() -> None:
        whole = WHOLE[name]
        for cut in range(len(whole)):
            async with server(whole[:cut], is_reset=is_reset) as address:
                connection = await open_connection(address)
                with pytest.raises(UpstreamBrokenError):
                    await read_answer(connection)
                assert not connection.is_reusable()
        async with server(whole) as address:
            body = await read_answer(await open_connection(address))
            assert body in (b"body", b"")

    run(test())


@pytest.mark.parametrize("name", WHOLE)
@ENDS
def test_a_report_or_copy_that_stops_before_its_end_is_none(
    name: str, is_reset: bool
) -> None:
    async def test() -> None:
        whole = WHOLE[name].replace(b"body", b"{}  ")
        for cut in range(len(whole)):
            async with server(whole[:cut], is_reset=is_reset) as address:
                engine = Upstream(
                    name="i-1",
                    pool="p",
                    kind="service",
                    address=address,
                    failure_domain="d",
                )
                engines = PlatformEngines(
                    UpstreamHttp(SystemClock(), Metrics())
                )
                with pytest.raises(ReportError):
                    await engines.report(engine)
                with pytest.raises(CopyError):
                    await engines.copy(engine, "r1", engine, stop=True)

    run(test())


async def call_by_curl(address: str, *, is_read: bool) -> Answer:
    http = HttpClient(max_calls=1)
    try:
        if is_read:
            limits = StallLimits(first_byte_ms=200, silence_ms=200)
            return await http.read(f"http://{address}/x", limits)
        return await http.call("GET", f"http://{address}/x", timeout_ms=200)
    finally:
        http.close()


@pytest.mark.parametrize("name", WHOLE)
@pytest.mark.parametrize("is_read", [False, True], ids=["call", "read"])
@ENDS
def test_an_answer_of_the_store_that_stops_before_its_end_is_none(
    name: str, is_read: bool, is_reset: bool
) -> None:
    async def test() -> None:
        whole = WHOLE[name]
        taken = []
        for cut in range(len(whole)):
            async with server(whole[:cut], is_reset=is_reset) as address:
                try:
                    answer = await call_by_curl(address, is_read=is_read)
                except CallError:
                    continue
                taken.append((whole[:cut][-20:], answer))
        assert taken == []

    run(test())


@pytest.mark.parametrize(
    "data",
    [b"", b"HTTP/1.1 2", HEAD, HEAD[:-2], EARLY, CONTINUE + HEAD, CHUNKED],
)
def test_a_head_that_stops_and_stays_open_is_no_answer(data: bytes) -> None:
    async def test() -> None:
        async with server(data, is_idle=True) as address:
            for is_read in (False, True):
                with pytest.raises(CallError):
                    await call_by_curl(address, is_read=is_read)
            engine = Upstream(
                name="i-1",
                pool="p",
                kind="service",
                address=address,
                failure_domain="d",
            )
            engines = PlatformEngines(UpstreamHttp(SystemClock(), Metrics()))
            with pytest.raises(ReportError):
                await engines.report(engine)

    run(test())


def test_an_answer_of_another_host_without_an_end_is_broken() -> None:
    async def test() -> None:
        async with server(HEAD + b"\r\nbody") as address:
            connection = await open_connection(address)
            head = await connection.read_head(lambda _: True)
            pool = ConnectionPool(SystemClock(), Metrics(), "forwarding")
            reply = ForwardedReply("h-2", head, connection, pool)
            body = reply.read_body()
            assert await anext(body) == b"body"
            with pytest.raises(UpstreamBrokenError):
                await anext(body)

    run(test())


ENGINE_FORMS = {
    "length": "Content-Length: 400",
    "chunks": "Transfer-Encoding: chunked",
    "no length": "X-A: b",
}


@pytest.mark.parametrize("form", ENGINE_FORMS)
@pytest.mark.parametrize("cut", [1, 9, 12, 15, 20, 30, 60, -6, -3, -2, -1])
@ENDS
def test_a_generation_whose_next_engine_stops_in_its_head_is_not_whole(
    form: str, cut: int, is_reset: bool
) -> None:
    """The first engine breaks off after five events, all others so."""

    async def behave(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        if first_event(request) == 0 and not arrivals:
            arrivals.append(request)
            await connection.begin_stream(request)
            await connection.events(0, 4)
        else:
            request_id = request.headers[HEADER_NAMES.request_id]
            head = (
                "HTTP/1.1 200 Told\r\nContent-Type: text/event-stream\r\n"
                f"{HEADER_NAMES.request_id}: {request_id}\r\n"
                f"{HEADER_NAMES.signature}: signed-{request_id}\r\n"
                f"{ENGINE_FORMS[form]}\r\n\r\n"
            ).encode()
            await connection.send(head[:cut])
        if is_reset:
            await asyncio.sleep(0.01)
            connection.reset()
        connection.writer.close()

    arrivals: list[ReplicaRequest] = []

    async def test() -> None:
        stand_ins = [
            ReplicaStandIn(f"model-{n}", "model", HEADER_NAMES, behave)
            for n in range(3)
        ]
        async with RelayHarness(stand_ins) as world:
            world.configure()
            answer = await world.call("/draft/1", headers=USAGE)
        assert not answer.is_whole
        assert answer.body == b"".join(event(n) for n in range(5))

    run(test())


@pytest.mark.parametrize("path", ["/order/1", "/view/1", "/draft/1"])
@pytest.mark.parametrize("cut", [0, 1, 9, 12, 15, 20, 30, 60, -6, -3, -2, -1])
@ENDS
def test_an_upstream_that_stops_in_its_head_behind_a_hop_is_no_success(
    path: str, cut: int, is_reset: bool
) -> None:
    async def behave(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        request_id = request.headers[HEADER_NAMES.request_id]
        head = (
            "HTTP/1.1 200 Told\r\n"
            f"{HEADER_NAMES.request_id}: {request_id}\r\n"
            f"{HEADER_NAMES.signature}: signed-{request_id}\r\n"
            "X-A: b\r\n\r\n"
        ).encode()
        await connection.send(head[:cut])
        if is_reset:
            connection.reset()
        connection.writer.close()

    async def test() -> None:
        stand_ins = [
            ReplicaStandIn(f"{pool}-{n}", pool, HEADER_NAMES, behave)
            for pool in ("plain", "model")
            for n in range(2)
        ]
        async with relay_fleet(stand_ins) as (lost, _):
            await lost.cut("reset")
            method = "GET" if path == "/view/1" else "POST"
            answer = await lost.relay.call(path, method=method, headers=USAGE)
        assert answer.status == 502

    run(test())


@pytest.mark.parametrize("path", ["/call/1", "/stream/1"])
@pytest.mark.parametrize("data", [EARLY, CONTINUE + HEAD, HEAD, HEAD[:11]])
def test_a_head_that_stops_until_the_timeout_of_its_route_is_no_success(
    path: str, data: bytes
) -> None:
    async def behave(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.send(data)
        await connection.reader.read()

    async def test() -> None:
        stand_in = ReplicaStandIn("plain-1", "plain", HEADER_NAMES, behave)
        async with RelayHarness([stand_in]) as world:
            world.configure(
                routes=[
                    route("idempotent", "/call/", "plain", timeout_ms=400),
                    route("stream", "/stream/", "plain", timeout_ms=400),
                ]
            )
            answer = await world.call(path, headers=USAGE)
        assert answer.status in (502, 504)

    run(test())
