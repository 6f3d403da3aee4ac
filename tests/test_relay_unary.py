"""Unary calls: at-most-once execution, complete responses, true refusals."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from _relay_helpers import behave_all, hang, refuse, reset, run

from balsamlift.relay import Caller
from balsamlift.testing.relay import (
    HEADER_NAMES,
    HOST,
    KEY,
    WORKSPACE,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    read_answer,
    request_bytes,
    route,
)


def replicas(n: int = 2) -> list[ReplicaStandIn]:
    return [
        ReplicaStandIn(f"plain-{i}", "plain", HEADER_NAMES) for i in range(n)
    ]


def all_arrivals(stand_ins: list[ReplicaStandIn]) -> list[str]:
    return sorted(name for r in stand_ins for name in r.ids())


async def fail(connection: ReplicaConnection, request: ReplicaRequest) -> None:
    await connection.answer(request, b"broken", status=500)


async def truncate(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.head(request, 200, "Content-Length: 100")
    await connection.send(b"half")
    connection.writer.close()


async def unsigned(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def foreign_bytes(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.send(b"\x16\x03\x01\x02\x00\r\n\r\n")


async def encoded(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.head(
        request, 200, "Content-Encoding: gzip", "Content-Length: 2"
    )
    await connection.send(b"ok")


def test_forwards_the_request_unchanged() -> None:
    async def test() -> None:
        stand_ins = replicas(1)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            answer = await world.call(
                "/order/7?a=%20b&c",
                body=b"two bytes\x00",
                headers=["X-Own: kept", "Workspace: forged", "Priority: 0"],
            )
        (arrived,) = stand_ins[0].arrivals
        assert answer.status == 200
        assert answer.body == b"done"
        assert answer.headers[HEADER_NAMES.signature] == "signed-r1"
        assert arrived.target == "/order/7?a=%20b&c"
        assert arrived.body == b"two bytes\x00"
        assert arrived.headers["X-Own"] == "kept"
        assert arrived.headers["Host"] == HOST
        assert arrived.headers.get_list(HEADER_NAMES.workspace) == [WORKSPACE]
        assert HEADER_NAMES.priority not in arrived.headers
        assert "Authorization" not in arrived.headers
        assert 0 < int(arrived.headers[HEADER_NAMES.deadline_ms]) <= 3_000

    run(test())


@pytest.mark.parametrize(
    "behave", [reset, truncate, unsigned, foreign_bytes, encoded]
)
def test_never_resends_a_request_that_may_have_run(
    behave: Callable[..., Awaitable[None]],
) -> None:
    async def test() -> None:
        stand_ins = replicas()
        behave_all(stand_ins, behave)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            answer = await world.call("/order/1")
        assert answer.status == 502
        assert "Retry-After" not in answer.headers
        assert HEADER_NAMES.signature not in answer.headers
        assert all_arrivals(stand_ins) == ["r1"]

    run(test())


@pytest.mark.parametrize("behave", [reset, truncate, unsigned, fail])
def test_retries_an_idempotent_request(
    behave: Callable[..., Awaitable[None]],
) -> None:
    async def test() -> None:
        stand_ins = replicas()
        stand_ins[0].behave = behave
        async with RelayHarness(stand_ins) as world:
            world.configure()
            for n in range(4):
                answer = await world.call(f"/view/{n}", f"r{n}", method="GET")
                assert (answer.status, answer.body) == (200, b"done")

    run(test())


def test_a_reset_on_a_reused_connection_causes_no_resend() -> None:
    """A client that resends on its own would make r2 arrive twice."""

    async def answer_then_close(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        if request.headers[HEADER_NAMES.request_id] == "r2":
            connection.reset()
            return
        await connection.answer(request, b"done")

    async def test() -> None:
        stand_ins = replicas(1)
        stand_ins[0].behave = answer_then_close
        async with RelayHarness(stand_ins) as world:
            world.configure()
            assert (await world.call("/order/1", "r1")).status == 200
            assert (await world.call("/order/2", "r2")).status == 502
            assert (await world.call("/order/3", "r3")).status == 200
        assert stand_ins[0].ids() == ["r1", "r2", "r3"]

    run(test())


def test_a_late_second_response_is_dropped() -> None:
    async def answer_twice(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.answer(request, b"first")
        await asyncio.sleep(0.05)
        await connection.answer(request, b"extra")

    async def test() -> None:
        stand_ins = replicas(1)
        stand_ins[0].behave = answer_twice
        async with RelayHarness(stand_ins) as world:
            world.configure()
            for n in range(3):
                answer = await world.call(f"/order/{n}", f"r{n}")
                assert answer.body == b"first"
                assert answer.headers[HEADER_NAMES.request_id] == f"r{n}"
                await asyncio.sleep(0.03 * n)

    run(test())


def test_refusals_of_all_upstreams_return_503() -> None:
    async def test() -> None:
        stand_ins = replicas()
        behave_all(stand_ins, refuse)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            for n in range(20):
                await world.call(f"/order/{n}", f"a{n}")
            answer = await world.call("/order/1")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) >= 0
        assert HEADER_NAMES.signature not in answer.headers

    run(test())


def test_an_error_response_is_forwarded_unchanged() -> None:
    async def test() -> None:
        stand_ins = replicas()
        behave_all(stand_ins, fail)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            answer = await world.call("/order/1")
        assert (answer.status, answer.body) == (500, b"broken")
        assert answer.headers[HEADER_NAMES.signature] == "signed-r1"
        assert all_arrivals(stand_ins) == ["r1"]

    run(test())


def test_a_response_without_length_ends_when_closed() -> None:
    async def without_length(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.head(request, 200, "Connection: close")
        await connection.send(b"as long as ")
        await connection.send(b"it is")
        connection.writer.close()

    async def test() -> None:
        stand_ins = replicas(1)
        stand_ins[0].behave = without_length
        async with RelayHarness(stand_ins) as world:
            world.configure()
            answer = await world.call("/order/1")
        assert (answer.status, answer.body) == (200, b"as long as it is")

    run(test())


def test_a_silent_upstream_ends_at_the_timeout_of_the_route() -> None:
    async def test() -> None:
        stand_ins = replicas(1)
        stand_ins[0].behave = hang
        async with RelayHarness(stand_ins) as world:
            world.configure(
                routes=(
                    route(
                        "non_idempotent", "/order/", "plain", timeout_ms=200
                    ),
                )
            )
            answer = await world.call("/order/1")
            assert answer.status == 504
            while stand_ins[0].open:
                await asyncio.sleep(0.01)  # the upstream is disconnected

    run(test())


def test_a_disconnecting_caller_ends_the_call() -> None:
    async def test() -> None:
        stand_ins = replicas(1)
        stand_ins[0].behave = hang
        async with RelayHarness(stand_ins) as world:
            world.configure()
            _, writer = await world.connect()
            writer.write(request_bytes("/order/1"))
            while not stand_ins[0].arrivals:
                await asyncio.sleep(0.01)
            writer.close()
            async with asyncio.timeout(1.5):  # of 3 s until its deadline
                while stand_ins[0].open:
                    await asyncio.sleep(0.01)

    run(test())


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/1", KEY, 404), ("/order/1", "unknown", 401)],
)
def test_refuses_unknown_routes_and_keys(
    path: str, key: str, status: int
) -> None:
    async def test() -> None:
        stand_ins = replicas(1)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            answer = await world.call(path, key=key)
        assert answer.status == status
        assert not stand_ins[0].arrivals

    run(test())


def test_is_not_ready_before_its_first_configuration() -> None:
    async def test() -> None:
        async with RelayHarness(replicas(1)) as world:
            answer = await world.call("/nowhere/1", key="unknown")
            assert answer.status == 503
            assert not world.directory.is_ready
            assert world.directory.find(Caller("north")).addresses == []
            world.configure()
            assert world.directory.is_ready

    run(test())


def test_a_leaving_upstream_gets_no_new_call() -> None:
    async def test() -> None:
        stand_ins = replicas()
        async with RelayHarness(stand_ins) as world:
            world.configure()
            stand_ins[0].state = "leaving"
            while len(world.upstreams.in_pool("plain")) == 2:
                await asyncio.sleep(0.01)
            for n in range(5):
                await world.call(f"/order/{n}", f"r{n}")
        assert stand_ins[0].arrivals == []
        assert len(stand_ins[1].arrivals) == 5

    run(test())


def test_an_upstream_with_another_id_runs_nothing() -> None:
    async def test() -> None:
        stand_ins = replicas()
        async with RelayHarness(stand_ins) as world:
            world.configure()
            # The list is not read again before the call.
            stand_ins[0].name = "reborn"
            answer = await world.call("/order/1")
        assert answer.status == 200
        assert len(all_arrivals(stand_ins)) == 1

    run(test())


def test_responds_to_pipelined_requests_in_order() -> None:
    async def test() -> None:
        async with RelayHarness(replicas()) as world:
            world.configure()
            reader, writer = await world.connect()
            for n in range(3):
                writer.write(request_bytes(f"/order/{n}", f"r{n}"))
            for n in range(3):
                answer = await read_answer(reader)
                assert answer.headers[HEADER_NAMES.request_id] == f"r{n}"
            writer.close()

    run(test())


def test_tells_callers_to_close_while_leaving() -> None:
    async def test() -> None:
        async with RelayHarness(replicas()) as world:
            world.configure()
            world.frontend.drain()
            answer = await world.call("/order/1")
        assert answer.status == 200
        assert answer.headers["Connection"] == "close"

    run(test())


def test_a_body_over_the_limit_is_not_forwarded() -> None:
    async def test() -> None:
        stand_ins = replicas(1)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            answer = await world.call("/order/1", body=b"x" * 1_000_001)
        assert answer.status == 413
        assert not stand_ins[0].arrivals

    run(test())


def test_retry_after_without_an_upstream_is_within_the_deadline() -> None:
    async def test() -> None:
        async with RelayHarness([]) as world:
            world.configure()
            answer = await world.call("/order/1")
        assert answer.status == 503
        assert 0.8 <= float(answer.headers["Retry-After"]) <= 0.9

    run(test())


@pytest.mark.parametrize(
    ("is_crash", "status"), [(True, 502), (False, 200)], ids=["crash", "end"]
)
def test_an_unframed_answer_is_whole_unless_its_upstream_has_crashed(
    is_crash: bool, status: int
) -> None:
    async def test() -> None:
        stand_ins = replicas(1)

        async def answer(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            await connection.head(request, 200)
            await connection.send(b"all, or half")
            if is_crash:
                stand_ins[0].crash()
            connection.writer.close()

        behave_all(stand_ins, answer)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            told = await world.call("/order/1", body=b"x")
            assert told.status == status
            assert len(all_arrivals(stand_ins)) == 1

    run(test())


def test_an_unframed_answer_ended_by_a_planned_exit_is_not_whole() -> None:
    """Guard against a part of an answer that is told as all of it.

    An upstream that leaves exits at its time, whatever it still sends.
    """

    async def test() -> None:
        (stand_in,) = replicas(1)
        async with RelayHarness([stand_in]) as world:

            async def answer(
                connection: ReplicaConnection, request: ReplicaRequest
            ) -> None:
                await connection.head(request, 200)
                await connection.send(b"a part")
                stand_in.state = "leaving"
                while not world.upstreams.is_leaving(stand_in.name):
                    await asyncio.sleep(0.01)
                stand_in.crash()
                connection.writer.close()

            stand_in.behave = answer
            world.configure()
            told = await world.call("/order/1", body=b"x")
            assert told.status == 502

    run(test())


def test_bytes_after_a_whole_answer_answer_no_other_request() -> None:
    """Guard against a refusal, so told to the caller, of what has run.

    They are sent together with the answer, and name no request.
    """

    async def answer_twice(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.send(
            b"HTTP/1.1 200 Told\r\nContent-Length: 4\r\n"
            b"%b: %b\r\n%b: signed\r\n\r\ndone"
            b"HTTP/1.1 503 Told\r\nContent-Length: 0\r\n%b: 1\r\n\r\n"
            % (
                HEADER_NAMES.request_id.encode(),
                request.headers[HEADER_NAMES.request_id].encode(),
                HEADER_NAMES.signature.encode(),
                HEADER_NAMES.not_executed.encode(),
            )
        )

    async def test() -> None:
        stand_ins = replicas(1)
        behave_all(stand_ins, answer_twice)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            for number in range(3):
                told = await world.call("/order/1", f"r{number}")
                assert (told.status, told.body) == (200, b"done")
        assert stand_ins[0].ids() == ["r0", "r1", "r2"]

    run(test())
