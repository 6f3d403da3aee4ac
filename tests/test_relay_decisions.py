"""Each decision on a request is one log line; no line holds a key or a body.

Every log call of the relay must be reached by one of the scenarios below, so
a new log call requires a new scenario.
"""

import ast
import asyncio
import json
from collections.abc import Awaitable, Callable, Iterator
from functools import cache
from pathlib import Path
from typing import Any

import attrs
import pytest
from _relay_helpers import (
    DEADLINE_S,
    USAGE,
    behave_all,
    connect_slowly,
    hang,
    hang_midway,
    refuse,
    reset,
    stream,
    until_arrived,
)
from loguru import logger
from tornado.httputil import HTTPHeaders

import balsamlift.relay
from balsamlift.peers import CrashReport
from balsamlift.relay import CopyRefusedError
from balsamlift.relay._request import CallerRequest
from balsamlift.relay.crashes._fingerprint import fingerprint
from balsamlift.testing._relay_harness import DRAIN_S
from balsamlift.testing.relay import (
    HEADER_NAMES,
    KEY,
    LIMITS,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    configuration,
    event,
    request_bytes,
    route,
)

BODY = b"body-of-a-caller"
LARGE = [
    f"{HEADER_NAMES.token_usage}: 8000,500",
    f"{HEADER_NAMES.length_hint}: 100",
]
RELAY = Path(balsamlift.relay.__file__).parent

Scenario = Callable[[RelayHarness, list[ReplicaStandIn]], Awaitable[None]]


@attrs.frozen
class Expected:
    """The message and fields that a scenario must log."""

    scenario: Scenario
    text: str
    fields: tuple[str, ...]


async def repeat(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.begin_stream(request)
    await connection.events(0, 2)
    await connection.events(2, 4)
    await connection.end_stream()


# Plain calls


async def unknown_key(world: RelayHarness, _: list[ReplicaStandIn]) -> None:
    await world.call("/order/1", "r1", body=BODY, key="another-key")


async def unknown_route(world: RelayHarness, _: list[ReplicaStandIn]) -> None:
    await world.call("/nowhere/1", "r1", body=BODY)


async def answered(world: RelayHarness, _: list[ReplicaStandIn]) -> None:
    await world.call("/order/1", "r1", body=BODY)


async def rate_limit_named(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    used, other = stand_ins[:2]
    other.state = "leaving"
    while world.upstreams.may_take_work(other.name):
        await asyncio.sleep(0.01)
    for used.rate_limit in ("2.5", "two", ""):
        answer = await world.call("/order/1", "r1", body=BODY)
        while answer.status == 503:  # rate limited
            await asyncio.sleep(0.1)
            answer = await world.call("/order/1", "r1", body=BODY)


async def notice_given(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    for stand_in in stand_ins:
        for stand_in.leaving in ("soon", "1"):
            await world.call("/order/1", "r1", body=BODY)


async def notice_lost(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    await notice_given(world, stand_ins)
    world.upstreams.leaving_notices._notices.clear()
    world.upstreams._table.refresh_all()
    await asyncio.sleep(DRAIN_S + 0.1)
    await world.call("/order/1", "r1", body=BODY)


async def asked_for_no_requests(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    behave_all(stand_ins, refuse)
    for stand_in in stand_ins:
        stand_in.retry_after = "soon"
    await world.call("/order/1", "r1", body=BODY)
    for stand_in in stand_ins:
        stand_in.retry_after = "0.3"
    await world.call("/order/1", "r1", body=BODY)
    while world.metrics.snapshot().gauges["relay.retry_after_upstreams"]:
        await asyncio.sleep(0.1)


async def broken_and_retried(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    behave_all(stand_ins, reset)
    await world.call("/view/1", "r1", method="GET")


async def slow_and_retried(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    behave_all(stand_ins, hang)
    headers = [f"{HEADER_NAMES.deadline_ms}: 400"]
    await world.call("/view/1", "r1", method="GET", headers=headers)


async def budget_spent(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    behave_all(stand_ins, refuse)
    world.relay._retries.spend = lambda service: False  # type: ignore[method-assign]
    await world.call("/order/1", "r1", body=BODY)


# Request heads


async def large_head(world: RelayHarness, _: list[ReplicaStandIn]) -> None:
    reader, writer = await world.connect()
    writer.write(request_bytes("/order/1")[:-2] + b"Filler: " + b"x" * 262_100)
    await reader.read()
    writer.close()


async def idle_caller(world: RelayHarness, _: list[ReplicaStandIn]) -> None:
    limits = attrs.evolve(LIMITS, idle_timeout_ms=100)
    world.configure(2, limits=limits)
    reader, writer = await world.connect()
    assert await reader.read() == b""
    writer.close()


async def leaves_unanswered(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    behave_all(stand_ins, hang)
    call = asyncio.create_task(world.call("/order/1", "r1", body=BODY))
    used = await until_arrived(stand_ins)
    used.state = "leaving"
    while world.upstreams.may_take_work(used.name):
        await asyncio.sleep(0.01)
    call.cancel()
    await asyncio.wait([call])


async def slow_head(world: RelayHarness, _: list[ReplicaStandIn]) -> None:
    limits = attrs.evolve(LIMITS, head_timeout_ms=100)
    world.configure(2, limits=limits)
    reader, writer = await world.connect()
    writer.write(request_bytes("/order/1")[:-2])
    await reader.read()
    writer.close()


# Shutdown


async def call_refused_by_leaving_host(
    world: RelayHarness, _: list[ReplicaStandIn]
) -> None:
    world.relay.leave(within_s=1.0)
    await world.call("/order/1")


async def call_outlasting_its_host(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    behave_all(stand_ins, hang)
    calling = asyncio.create_task(world.call("/order/1"))
    await until_arrived(stand_ins)
    world.relay.leave(within_s=0.05)
    await calling


async def slow_reader(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    async def answer_much(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.answer(request, bytes(4_000_000))

    behave_all(stand_ins, answer_much)
    _, writer = await connect_slowly(world)
    writer.write(request_bytes("/order/1"))
    while not world.frontend.unsent_count:
        await asyncio.sleep(0.005)
    await world.frontend.close(0.05)
    writer.close()


# Generations


async def begin_generation(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> tuple[asyncio.Task[Any], ReplicaStandIn]:
    behave_all(stand_ins, hang_midway)
    calling = asyncio.create_task(
        world.call("/draft/1", "r1", body=BODY, headers=USAGE)
    )
    used = await until_arrived(stand_ins)
    await asyncio.sleep(0.05)
    return calling, used


def generation_scenario(how: Any) -> Scenario:
    """Return a scenario of a generation where all engines behave like this."""

    async def scenario(
        world: RelayHarness, stand_ins: list[ReplicaStandIn]
    ) -> None:
        behave_all(stand_ins, how)
        await world.call("/draft/1", "r1", body=BODY, headers=USAGE)

    scenario.__name__ = f"engines_{how.__name__}"
    return scenario


generated = generation_scenario(stream)
engines_refuse = generation_scenario(refuse)
engines_reset = generation_scenario(reset)
engines_repeat = generation_scenario(repeat)


async def no_memory(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    routes = configuration().routes
    routes = (*routes[:2], route("stream", "/draft/", "model", target_ms=100))
    world.configure(2, routes=routes)
    behave_all(stand_ins, hang_midway)
    tasks = [
        asyncio.create_task(world.call("/draft/1", f"l{n}", headers=LARGE))
        for n in range(3)
    ]
    await asyncio.sleep(0.1)
    await world.call("/draft/1", "r1", body=BODY, headers=LARGE)
    for task in tasks:
        task.cancel()


async def caller_leaves(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    behave_all(stand_ins, hang_midway)
    _, writer = await world.connect()
    writer.write(request_bytes("/draft/1", "r1", headers=USAGE))
    while not any(s.arrivals for s in stand_ins):
        await asyncio.sleep(0.01)
    writer.close()
    while any(s.open for s in stand_ins):
        await asyncio.sleep(0.01)


async def resumed_at_backup(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    calling, used = await begin_generation(world, stand_ins)
    behave_all(stand_ins, stream)
    used.state = "leaving"
    await calling


async def engine_lost(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    calling, used = await begin_generation(world, stand_ins)
    behave_all(stand_ins, refuse)
    for task in list(used.open):
        task.cancel()
    await calling


async def moved(world: RelayHarness, stand_ins: list[ReplicaStandIn]) -> None:
    calling, used = await begin_generation(world, stand_ins)
    stopped = asyncio.Event()
    world.engines.stop_events.append(stopped)

    async def not_from_backup(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        if request.headers[HEADER_NAMES.resume_source].endswith("/r1"):
            await connection.refuse(request)
        else:
            await stream(connection, request)

    behave_all(stand_ins, not_from_backup)
    used.state = "leaving"
    await stopped.wait()
    for task in list(used.open):
        task.cancel()
    await calling


async def move_refused(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    calling, used = await begin_generation(world, stand_ins)

    async def copy(*_: object, **__: object) -> None:
        raise CopyRefusedError("model-0", "no room")

    world.engines.copy = copy  # type: ignore[assignment]
    behave_all(stand_ins, refuse)
    used.state = "leaving"
    await asyncio.sleep(0.5)
    calling.cancel()


async def reported_failing(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    counts = {"model-0/failing": 2, "model-0/trial": 2}
    world.peers._load.peer_counts.update("another", counts, full=True)
    behave_all(stand_ins, stream)
    await world.call("/draft/1", headers=USAGE)


async def engines_on_trial(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    counts = {f"{stand_in.name}/trial": 2 for stand_in in stand_ins}
    world.peers._load.peer_counts.update("another", counts, full=True)
    behave_all(stand_ins, stream)
    await world.call("/draft/1", headers=USAGE)


async def engine_crashes(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    async def crash(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.begin_stream(request)
        for stand_in in stand_ins:
            if stand_in.arrivals:
                stand_in.crash()
        connection.reset()

    behave_all(stand_ins, crash)
    await world.call("/draft/1", headers=USAGE)
    await asyncio.sleep(0.3)


async def all_refuse_at_once(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    async def crash(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.begin_stream(request)
        for stand_in in stand_ins:
            stand_in.crash()
        connection.reset()

    behave_all(stand_ins, crash)
    await world.call("/draft/1", headers=USAGE)
    await asyncio.sleep(0.3)


def caller_request() -> CallerRequest:
    return CallerRequest(
        method="POST",
        target="/draft/1",
        headers=HTTPHeaders(),
        body=b"",
        arrived_s=0.0,
    )


async def crashes_reported(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    request = caller_request()
    digest = fingerprint(request, KEY)
    reports = [CrashReport(digest, upstream, 60_000) for upstream in "abc"]
    world.peers.crash_reports.add(reports)
    answer = await world.call("/draft/1", headers=USAGE)
    assert answer.status == 400
    world.peers.crash_reports.report_completed(digest)


async def newer_version_reported(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    world.routing.record_version(world.routing.offset + 1, "another")
    await unknown_route(world, stand_ins)


REFUSED = (
    *("request", "status", "path"),
    *("version", "newest_version", "version_age_ms"),
)
IN_FORCE = (
    *("version", "source", "size_bytes"),
    *("decode_ms", "index_ms", "known_for_ms"),
)
NEWER = ("version", "in_force", "source")
CRASHED = ("request", "fingerprint", "upstream", "had_output")
SHUTDOWN = ("request", "route", "phase", "left_ms", "longest_ms")
PLACED = (
    *("request", "upstream", "tokens", "load", "counts"),
    *("waited_ms", "expected_wait_ms", "priority", "workspace"),
)
NO_MEMORY = (
    *("request", "tokens", "waited_ms", "expected_wait_ms", "retry_after_ms"),
    *("ahead_tokens", "free_tokens", "used_tokens", "counts", "late_share"),
)
ENDED = ("request", "fingerprint", "route", "service", "version", "took_ms")


async def handling_fails(world: RelayHarness, _: list[ReplicaStandIn]) -> None:
    admission = world.relay._admission
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(admission, "admit", lambda request: 1 / 0)
        await world.call("/order/1", "r1", body=BODY)


async def release_fails(world: RelayHarness, _: list[ReplicaStandIn]) -> None:
    world.relay._balancer.on_release(lambda: [].pop())
    await world.call("/order/1", "r1", body=BODY)


async def sends_too_much(
    world: RelayHarness, stand_ins: list[ReplicaStandIn]
) -> None:
    async def send_interim_responses(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.send(b"HTTP/1.1 100 Continue\r\n\r\n" * 100)
        await hang(connection, request)

    behave_all(stand_ins, send_interim_responses)
    await world.call("/order/1", "r1", body=BODY)


EXPECTED = [
    Expected(handling_fails, "could not handle a request", ("path",)),
    Expected(release_fails, "could not use released load", ()),
    Expected(sends_too_much, "too many bytes", ("upstream", "form")),
    Expected(unknown_key, "unknown key", REFUSED),
    Expected(unknown_route, "no route", REFUSED),
    Expected(answered, "answered 200", (*ENDED, "upstream", "sends")),
    Expected(answered, "configuration in force", IN_FORCE),
    Expected(slow_and_retried, "timed out", (*ENDED, "sent_to")),
    Expected(
        rate_limit_named, "rate limit named", ("upstream", "limit_per_s")
    ),
    Expected(rate_limit_named, "rate limit is not", ("upstream", "named")),
    Expected(rate_limit_named, "rate limit ended", ("upstream", "age_ms")),
    Expected(rate_limit_named, "rate limited", ENDED),
    Expected(notice_given, "leaving notice is not", ("upstream", "named")),
    Expected(
        notice_given,
        "sent despite a statement",
        ("request", "path", "state", "time_ms"),
    ),
    Expected(
        notice_lost,
        "sent to an upstream whose notice",
        ("request", "upstream", "path", "heard_from", "heard_ms", "state"),
    ),
    Expected(
        asked_for_no_requests, "Retry-After is not", ("upstream", "named")
    ),
    Expected(
        asked_for_no_requests,
        "upstream asked for no requests",
        ("upstream", "retry_after_ms"),
    ),
    Expected(
        asked_for_no_requests, "upstream takes requests again", ("upstream",)
    ),
    Expected(newer_version_reported, "newer configuration reported", NEWER),
    Expected(broken_and_retried, "ejected: ", ("request", "out_ms")),
    Expected(
        broken_and_retried,
        "retrying on another upstream",
        ("request", "sends"),
    ),
    Expected(slow_and_retried, "ejected: no answer", ("request",)),
    Expected(budget_spent, "retry budget spent", ("request", "sends")),
    Expected(budget_spent, "upstreams full", ENDED),
    Expected(large_head, "head too large", ("status", "peer")),
    Expected(slow_head, "timed out reading a head", ("status", "peer")),
    Expected(idle_caller, "closed as idle", ("peer", "idle_ms", "limit_ms")),
    Expected(
        leaves_unanswered,
        "leaves with requests unanswered",
        ("upstream", "requests", "oldest_ms", "silent_ms"),
    ),
    Expected(
        call_refused_by_leaving_host,
        "refused as the host shuts down",
        SHUTDOWN,
    ),
    Expected(call_refused_by_leaving_host, "host is leaving", ENDED),
    Expected(
        call_outlasting_its_host, "cut off as the host shuts down", SHUTDOWN
    ),
    Expected(slow_reader, "responses not sent in time", ("connections",)),
    Expected(generated, "placed", (*PLACED, "unread", "backup")),
    Expected(generated, "stream: whole", ("request", "upstream", "first_ms")),
    Expected(generated, "whole", (*ENDED, "upstream", "sends")),
    Expected(engines_refuse, "engine refused", ("request", "load")),
    Expected(engines_reset, "ejected: ", ("request", "out_ms")),
    Expected(engines_reset, "engine gave no answer", ENDED),
    Expected(engine_crashes, "upstream crashed while it ran", CRASHED),
    Expected(all_refuse_at_once, "not taken for a crash", CRASHED),
    Expected(
        crashes_reported,
        "refusing a request that crashes upstreams",
        ("fingerprint",),
    ),
    Expected(
        crashes_reported, "no longer refusing a request", ("fingerprint",)
    ),
    Expected(crashes_reported, "request crashes upstreams, not run", ENDED),
    Expected(engines_repeat, "", ("request",)),
    Expected(reported_failing, "avoided", ("upstream", "hosts_failing")),
    Expected(engines_on_trial, "trial started", ("upstream", "hosts_careful")),
    Expected(
        engines_on_trial, "trial succeeded", ("upstream", "failed_trials")
    ),
    Expected(no_memory, "no room", ENDED),
    Expected(no_memory, "no memory: ", NO_MEMORY),
    Expected(caller_leaves, "caller gone", ENDED),
    Expected(
        resumed_at_backup,
        "resumed on another engine",
        ("request", "target", "event"),
    ),
    Expected(engine_lost, "could not resume", ("request", "target", "event")),
    Expected(engine_lost, "engine lost", ENDED),
    Expected(moved, "move: started", ("request", "target", "tokens")),
    Expected(moved, "move: copied", ("request", "target", "tokens")),
    Expected(move_refused, "move: ", ("request", "target", "tokens")),
]


def make_stand_ins() -> list[ReplicaStandIn]:
    plain = [
        ReplicaStandIn(f"plain-{i}", "plain", HEADER_NAMES) for i in range(2)
    ]
    models = [
        ReplicaStandIn(f"model-{i}", "model", HEADER_NAMES) for i in range(3)
    ]
    return [*plain, *models]


@cache
def records(scenario: Scenario) -> list[dict[str, Any]]:
    """Run a scenario; return the log records it produced."""
    logged: list[dict[str, Any]] = []

    async def run_scenario() -> None:
        async with asyncio.timeout(DEADLINE_S):
            stand_ins = make_stand_ins()
            async with RelayHarness(stand_ins) as world:
                world.configure()
                await scenario(world, stand_ins)

    number = logger.add(lambda m: logged.append(dict(m.record)), level=0)
    try:
        asyncio.run(run_scenario())
    finally:
        logger.remove(number)
    return logged


@pytest.mark.parametrize(
    "expected", EXPECTED, ids=lambda e: f"{e.scenario.__name__}-{e.text}"
)
def test_a_decision_is_logged_with_its_context(expected: Expected) -> None:
    found = [
        record
        for record in records(expected.scenario)
        if record["message"].startswith(expected.text)
        and all(field in record["extra"] for field in expected.fields)
    ]
    assert found
    if "request" in expected.fields:
        named = [record["extra"]["request"] for record in found]
        assert "r1" in named


def log_calls() -> Iterator[tuple[str, range]]:
    """Yield the file name and line range of each log call in the relay."""
    for path in RELAY.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in ("info", "warning", "error", "exception")
                and ast.unparse(node.func).startswith("log")
            ):
                assert node.end_lineno is not None
                yield path.name, range(node.lineno, node.end_lineno + 1)


def test_every_log_call_of_the_relay_is_reached() -> None:
    reached = {
        (record["file"].name, record["line"])
        for expected in EXPECTED
        for record in records(expected.scenario)
    }
    missed = [
        (name, lines.start)
        for name, lines in log_calls()
        if not any((name, line) in reached for line in lines)
    ]
    assert missed == []


def test_no_line_holds_a_key_or_a_body() -> None:
    lines = [
        json.dumps([record["message"], record["extra"]], default=str)
        for expected in EXPECTED
        for record in records(expected.scenario)
    ]
    assert len(lines) > len(EXPECTED)
    secrets = (KEY, "another-key", BODY.decode(), event(1).decode()[:12])
    assert [
        line for line in lines if any(secret in line for secret in secrets)
    ] == []
