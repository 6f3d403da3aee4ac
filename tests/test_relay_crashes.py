"""Refusal of requests that crash upstreams, by the relay of one host."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from _relay_helpers import USAGE, run
from tornado.httputil import HTTPHeaders

from balsamlift.peers._crash_reports import REPORT_TTL_MS
from balsamlift.peers._messages import CrashReport
from balsamlift.relay._request import CallerRequest
from balsamlift.relay.crashes._fingerprint import fingerprint
from balsamlift.testing.relay import (
    HEADER_NAMES,
    HOST,
    KEY,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

CRASHING = b"a request that crashes"
HARMLESS = b"another request"
PATHS = ["/draft/1", "/view/1", "/order/1"]
UPSTREAMS = 8  # in each pool
CRASH_CHECK_S = 0.4  # exceeds the time until a crash is detected
MAX_CALLS = 8


def crash_or_answer(
    stand_in: ReplicaStandIn,
) -> Callable[[ReplicaConnection, ReplicaRequest], Awaitable[None]]:
    async def behave(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        is_stream = stand_in.pool == "model"
        if is_stream:
            await connection.begin_stream(request)
        if request.body == CRASHING:
            stand_in.crash()
            connection.reset()
        elif is_stream:
            await connection.events(0, 2)
            await connection.end_stream()
        else:
            await connection.answer(request, b"done")

    return behave


def make_stand_ins() -> list[ReplicaStandIn]:
    stand_ins = [
        ReplicaStandIn(f"{pool}-{number}", pool, HEADER_NAMES)
        for pool in ("plain", "model")
        for number in range(UPSTREAMS)
    ]
    for stand_in in stand_ins:
        stand_in.behave = crash_or_answer(stand_in)
    return stand_ins


def count_crashing_arrivals(stand_ins: list[ReplicaStandIn]) -> int:
    """Return how often the crashing request has arrived at an upstream."""
    return sum(
        request.body == CRASHING
        for stand_in in stand_ins
        for request in stand_in.arrivals
    )


async def call(
    world: RelayHarness, path: str, body: bytes, request_id: str
) -> CallerAnswer | None:
    """Return the answer, or None if the connection closed without one."""
    try:
        return await world.call(path, request_id, body=body, headers=USAGE)
    except asyncio.IncompleteReadError:
        return None


async def call_until_refused(
    world: RelayHarness, path: str
) -> CallerAnswer | None:
    for number in range(MAX_CALLS):
        answer = await call(world, path, CRASHING, f"r{number}")
        if answer is not None and answer.status == 400:
            return answer
        await asyncio.sleep(CRASH_CHECK_S)
    return None


@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_crashed_three_upstreams_is_refused(path: str) -> None:
    async def test() -> None:
        stand_ins = make_stand_ins()
        async with RelayHarness(stand_ins) as world:
            world.configure()
            answer = await call_until_refused(world, path)
            assert answer is not None
            assert "Retry-After" not in answer.headers
            reached = count_crashing_arrivals(stand_ins)
            assert 3 <= reached <= 5  # one call is sent up to three times
            again = await call(world, path, CRASHING, "again")
            assert again is not None
            assert again.status == 400
            assert count_crashing_arrivals(stand_ins) == reached
            other = await call(world, path, HARMLESS, "other")
            assert other is not None
            assert other.status == 200

    run(test())


def crash_reports(path: str, *upstreams: str) -> list[CrashReport]:
    """Return reports by other hosts about the crashing request."""
    digest = fingerprint(caller_request(path), KEY)
    return [
        CrashReport(digest, upstream, REPORT_TTL_MS) for upstream in upstreams
    ]


def caller_request(path: str) -> CallerRequest:
    return CallerRequest(
        method="POST",
        target=path,
        headers=HTTPHeaders(
            {
                "Host": HOST,
                "Authorization": f"Token {KEY}",
                HEADER_NAMES.request_id: "r1",
            }
        ),
        body=CRASHING,
        arrived_s=0.0,
    )


@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_crashed_upstreams_of_other_hosts_is_refused(
    path: str,
) -> None:
    async def test() -> None:
        stand_ins = make_stand_ins()
        async with RelayHarness(stand_ins) as world:
            world.configure()
            world.peers.crash_reports.add(crash_reports(path, "a", "b", "c"))
            answer = await call(world, path, CRASHING, "r1")
            assert answer is not None
            assert answer.status == 400
            assert count_crashing_arrivals(stand_ins) == 0
            world.peers.crash_reports.add(crash_reports(path, ""))
            # It has completed at another host, so it may run again.
            await call(world, path, CRASHING, "r2")
            assert count_crashing_arrivals(stand_ins) > 0

    run(test())


def test_a_refused_request_may_run_again_after_its_reports_expire() -> None:
    async def test() -> None:
        stand_ins = make_stand_ins()
        async with RelayHarness(stand_ins) as world:
            world.configure()
            short_lived = [
                CrashReport(report.fingerprint, report.upstream, 300)
                for report in crash_reports("/order/1", "a", "b", "c")
            ]
            world.peers.crash_reports.add(short_lived)
            answer = await call(world, "/order/1", CRASHING, "r1")
            assert answer is not None
            assert answer.status == 400
            await asyncio.sleep(1.5)  # expiry is checked every second
            await call(world, "/order/1", CRASHING, "r2")
            assert count_crashing_arrivals(stand_ins) == 1

    run(test())
