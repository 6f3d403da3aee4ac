"""Statuses by which callers know that a request has not run."""

import pytest
from _relay_fleet import relay_fleet
from _relay_helpers import USAGE, Behave, reset, run, stream

from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    route,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
RAN_STATUSES = (408, 429, 503)  # 421 is the word of another upstream
STATUSES = pytest.mark.parametrize("status", RAN_STATUSES)
PATHS = pytest.mark.parametrize("path", ["/order/1", "/draft/1"])
WORD_S = "1.500"


def stand_ins(behave: Behave, n: int = 2) -> list[ReplicaStandIn]:
    return [
        ReplicaStandIn(f"{pool}-{i}", pool, HEADER_NAMES, behave)
        for pool in ("plain", "model")
        for i in range(n)
    ]


def run_and_fail(status: int, *lines: str, is_signed: bool = True) -> Behave:
    """Run a request, then answer with a status that says otherwise."""

    async def behave(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        if is_signed:
            await connection.head(request, status, "Content-Length: 4", *lines)
        else:
            head = [f"HTTP/1.1 {status} Told", "Content-Length: 4", *lines]
            await connection.send("\r\n".join([*head, "", ""]).encode())
        await connection.send(b"busy")

    return behave


def not_run(status: int) -> Behave:
    """Answer as an upstream that did not run the request."""
    return run_and_fail(status, f"{HEADER_NAMES.not_executed}: 1")


def arrivals(replicas: list[ReplicaStandIn]) -> int:
    return sum(len(replica.arrivals) for replica in replicas)


async def call(world: RelayHarness, path: str) -> CallerAnswer:
    method = "GET" if path == "/view/1" else "POST"
    return await world.call(path, method=method, headers=USAGE)


def assert_promises_nothing(answer: CallerAnswer) -> None:
    assert answer.status == 502
    assert answer.is_whole
    assert HEADER_NAMES.signature not in answer.headers
    assert HEADER_NAMES.not_executed not in answer.headers


# A replica's own failure must not tell the caller of a run "has not run".
@STATUSES
@PATHS
@pytest.mark.parametrize("is_signed", [True, False], ids=["signed", "plain"])
def test_a_request_that_has_run_is_not_answered_as_one_that_has_not(
    path: str, status: int, is_signed: bool
) -> None:
    async def test() -> None:
        replicas = stand_ins(run_and_fail(status, is_signed=is_signed))
        async with RelayHarness(replicas) as world:
            world.configure()
            assert_promises_nothing(await call(world, path))
        assert arrivals(replicas) == 1

    run(test())


# The same over a host that carries the request for one without upstreams.
@STATUSES
@PATHS
@pytest.mark.parametrize("is_signed", [True, False], ids=["signed", "plain"])
def test_a_carried_request_that_has_run_is_not_answered_as_one_that_has_not(
    path: str, status: int, is_signed: bool
) -> None:
    async def test() -> None:
        replicas = stand_ins(run_and_fail(status, is_signed=is_signed))
        async with relay_fleet(replicas) as (lost, _):
            await lost.cut("reset")
            assert_promises_nothing(await call(lost.relay, path))
            assert arrivals(replicas) == 1

    run(test())


# A stream that may be resumed has run all the same.
@STATUSES
@pytest.mark.parametrize("attempts", [1, 2])
def test_a_resumable_stream_that_has_run_is_not_answered_as_not_run(
    status: int, attempts: int
) -> None:
    async def test() -> None:
        replicas = stand_ins(run_and_fail(status))
        stream_route = route(
            "stream",
            "/draft/",
            "model",
            can_resume=True,
            most_attempts=attempts,
        )
        async with RelayHarness(replicas) as world:
            world.configure(routes=(stream_route,))
            for _ in range(10):
                world.relay._retries.record_request("model")
            assert_promises_nothing(await call(world, "/draft/1"))
        assert arrivals(replicas) == attempts

    run(test())


@STATUSES
@PATHS
def test_the_time_that_an_upstream_names_reaches_the_caller(
    path: str, status: int
) -> None:
    async def test() -> None:
        word = f"Retry-After: {WORD_S}"
        replicas = stand_ins(run_and_fail(status, word))
        async with RelayHarness(replicas) as world:
            world.configure()
            answer = await call(world, path)
        assert answer.status == 502
        assert answer.headers["Retry-After"] == WORD_S

    run(test())


@pytest.mark.parametrize("value", ["soon", "-1", "Mon, 07 Dec 2026", "1e9"])
def test_a_time_that_cannot_be_read_is_not_passed_on(value: str) -> None:
    async def test() -> None:
        replicas = stand_ins(run_and_fail(503, f"Retry-After: {value}"))
        async with RelayHarness(replicas) as world:
            world.configure()
            answer = await call(world, "/order/1")
        assert answer.status == 502
        assert "Retry-After" not in answer.headers

    run(test())


@pytest.mark.parametrize("status", NOT_RUN_STATUSES)
@PATHS
def test_a_request_that_did_not_run_is_tried_elsewhere_or_refused(
    path: str, status: int
) -> None:
    async def test() -> None:
        replicas = stand_ins(not_run(status))
        async with RelayHarness(replicas) as world:
            world.configure()
            answer = await call(world, path)
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 0
            for replica in replicas[1:3]:
                replica.behave = stream
            assert (await call(world, path)).status == 200

    run(test())


# A caller of an idempotent request is served by the other replica.
@STATUSES
def test_an_idempotent_request_is_sent_elsewhere_after_such_a_status(
    status: int,
) -> None:
    async def test() -> None:
        replicas = stand_ins(run_and_fail(status))
        async with RelayHarness(replicas) as world:
            world.configure()
            refused = await call(world, "/view/1")
            assert (refused.status, refused.body) == (status, b"busy")
            assert arrivals(replicas) == 2
            replicas[1].behave = stream
            for _ in range(4):
                assert (await call(world, "/view/1")).status == 200

    run(test())


# What an upstream answers must not pass for the word of the host between.
@pytest.mark.parametrize("status", [400, 404, 409, 422])
@PATHS
def test_a_carried_failure_without_a_signature_is_passed_on(
    path: str, status: int
) -> None:
    async def test() -> None:
        replicas = stand_ins(run_and_fail(status, is_signed=False))
        async with relay_fleet(replicas) as (lost, _):
            await lost.cut("reset")
            answer = await call(lost.relay, path)
            assert (answer.status, answer.body) == (status, b"busy")
            assert arrivals(replicas) == 1
            names = [name.lower() for name in answer.headers]
            assert not [n for n in names if n.startswith("balsamlift")]

    run(test())


# An upstream cannot make a request run twice by a header between hosts.
@PATHS
def test_headers_between_hosts_are_not_taken_from_an_upstream(
    path: str,
) -> None:
    async def test() -> None:
        behave = run_and_fail(500, "Balsamlift-Unreached: 1", is_signed=False)
        replicas = stand_ins(behave)
        async with relay_fleet(replicas, 3) as (lost, *_):
            await lost.cut("reset")
            answer = await call(lost.relay, path)
            assert answer.status == 500
            assert arrivals(replicas) == 1

    run(test())


@PATHS
def test_an_upstream_that_breaks_off_promises_nothing(path: str) -> None:
    async def test() -> None:
        replicas = stand_ins(reset)
        async with RelayHarness(replicas) as world:
            world.configure()
            assert_promises_nothing(await call(world, path))

    run(test())
