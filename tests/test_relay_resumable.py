"""Streams that may be resumed go on at another engine without its memory."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence

import attrs
import pytest
from _relay_fleet import CuttableHost, relay_fleet
from _relay_helpers import (
    LAST_EVENT_ID,
    USAGE,
    Behave,
    behave_all,
    first_event,
    hang,
    refuse,
    reset,
    run,
    stream,
)

from balsamlift.relay import EngineTraits, Service
from balsamlift.relay.generations._events import parse_event_id
from balsamlift.testing._cuts import Cut
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    event,
    request_bytes,
    route,
)

LAST_EVENT = HEADER_NAMES.last_event_id
SOURCE = HEADER_NAMES.resume_source
PLAIN = EngineTraits(memory_tokens=10_000)  # neither moves nor backups
MOVING = EngineTraits(memory_tokens=10_000, can_move=True)


def events(first: int, last: int = LAST_EVENT_ID) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


def engines(n: int = 3, pool: str = "model") -> list[ReplicaStandIn]:
    return [
        ReplicaStandIn(f"{pool}-{i}", pool, HEADER_NAMES) for i in range(n)
    ]


def configure(
    world: RelayHarness, traits: EngineTraits = PLAIN, **fields: object
) -> None:
    """Let streams be resumed, with enough of a retry budget."""
    values = {"can_resume": True, "most_attempts": 2, **fields}
    world.configure(
        7,
        routes=(
            route("stream", "/draft/", "model", **values),
            route("idempotent", "/view/", "plain"),
        ),
        services=(
            Service(name="plain", max_connections=100),
            Service(name="model", max_connections=100, engine=traits),
        ),
    )
    for _ in range(10):
        world.relay._retries.record_request("model")


def arrivals(stand_ins: Sequence[ReplicaStandIn]) -> list[ReplicaRequest]:
    """Return the generations that arrived."""
    return [r for s in stand_ins for r in s.arrivals if r.method == "POST"]


async def until_arrived(stand_ins: list[ReplicaStandIn], n: int) -> None:
    while len(arrivals(stand_ins)) < n:
        await asyncio.sleep(0.005)


def count(world: RelayHarness, name: str) -> int:
    return world.metrics.snapshot().counters.get(f"generations.{name}", 0)


@attrs.frozen
class Result:
    answer: CallerAnswer
    repeated: int
    failed: int  # repeats
    held: int  # tokens of engine memory


async def call(
    stand_ins: list[ReplicaStandIn],
    position: int | None = None,
    **fields: object,
) -> Result:
    """Call a route that may be resumed; `fields` override any of it."""
    headers = [] if position is None else [f"{LAST_EVENT}: {position}"]
    async with RelayHarness(stand_ins) as world:
        configure(world, **fields)  # type: ignore[arg-type]
        answer = await world.call("/draft/1", headers=[*USAGE, *headers])
        held = sum(world.relay._balancer.load(s.name) for s in stand_ins)
        counts = count(world, "repeated"), count(world, "repeat_failed")
    return Result(answer, *counts, held)


def lose_first(
    stand_ins: list[ReplicaStandIn], lose: Behave, then: Behave = stream
) -> None:
    """Let the first request end in `lose`, and later ones in `then`."""

    async def behave(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        is_first = len(arrivals(stand_ins)) == 1
        await (lose if is_first else then)(connection, request)

    behave_all(stand_ins, behave)


def lose_after(n: int, *, within: bool = False, ends: bool = False) -> Behave:
    """Return the loss of a stream after `n` events, or within the next one."""

    async def lose(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        first = first_event(request)
        await connection.begin_stream(request)
        await connection.events(first, first + n - 1)
        if within:
            await connection.chunk(b"id: %d\nda" % (first + n))
        if ends:
            await connection.end_stream()
        else:
            await asyncio.sleep(0.05)
            connection.reset()

    return lose


async def fail(connection: ReplicaConnection, request: ReplicaRequest) -> None:
    await connection.answer(request, b"broken", status=500)


async def ignore_position(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.begin_stream(request)
    await connection.events(0, LAST_EVENT_ID)
    await connection.end_stream()


# Losses, and how many events the caller got before them.
LOSSES = [
    pytest.param(reset, 0, id="before the head"),
    pytest.param(fail, 0, id="error response"),
    pytest.param(lose_after(0), 0, id="without an event"),
    pytest.param(lose_after(1), 1, id="after an event"),
    pytest.param(lose_after(1, within=True), 1, id="within an event"),
    pytest.param(
        lose_after(2, within=True, ends=True), 2, id="ended within an event"
    ),
]


@pytest.mark.parametrize("position", [None, 4])
@pytest.mark.parametrize(("lose", "had"), LOSSES)
def test_callers_get_each_event_once_when_an_engine_is_lost(
    lose: Behave, had: int, position: int | None
) -> None:
    """Also callers who resume after the event `position`."""

    async def test() -> None:
        first = 0 if position is None else position + 1
        stand_ins = engines()
        lose_first(stand_ins, lose)
        result = await call(stand_ins, position)
        assert (result.answer.status, result.answer.is_whole) == (200, True)
        assert result.answer.body == events(first)
        assert (result.repeated, result.failed, result.held) == (1, 0, 0)
        assert sorted(len(s.arrivals) for s in stand_ins) == [0, 1, 1]
        sent = arrivals(stand_ins)
        assert {first_event(r) for r in sent} == {first, first + had}
        assert not any(SOURCE in r.headers for r in sent)

    run(test())


@pytest.mark.parametrize(("lose", "had"), LOSSES)
def test_streams_of_other_routes_run_once(lose: Behave, had: int) -> None:
    async def test() -> None:
        stand_ins = engines()
        lose_first(stand_ins, lose)
        result = await call(stand_ins, can_resume=False)
        assert (result.repeated, result.failed) == (0, 0)
        assert len(arrivals(stand_ins)) == 1
        assert result.answer.status in (500, 502) or not result.answer.is_whole
        if result.answer.status == 200:
            assert result.answer.body == events(0, had - 1)

    run(test())


@pytest.mark.parametrize("most", [1, 2, 3])
@pytest.mark.parametrize(("lose", "had"), LOSSES)
def test_a_stream_is_sent_to_no_more_engines_than_allowed(
    lose: Behave, had: int, most: int
) -> None:
    async def test() -> None:
        stand_ins = engines(4)
        behave_all(stand_ins, lose)
        result = await call(stand_ins, most_attempts=most)
        assert result.repeated == most - 1
        assert len(arrivals(stand_ins)) == most
        assert result.answer.status in (500, 502) or not result.answer.is_whole
        if result.answer.status == 200:
            assert result.answer.body == events(0, had * most - 1)

    run(test())


def spend_budget(world: RelayHarness) -> None:
    while world.relay._retries.spend("model"):
        pass


def leave(world: RelayHarness) -> None:
    world.relay.leave(within_s=0.5)


def drop_route(world: RelayHarness) -> None:
    world.configure(8, routes=())


@pytest.mark.parametrize("lose", [reset, lose_after(1)])
@pytest.mark.parametrize("forbid", [spend_budget, leave, drop_route])
def test_a_stream_is_not_sent_again(
    lose: Behave, forbid: Callable[[RelayHarness], None]
) -> None:
    """The retry budget is spent, the host leaves, or the route is gone."""

    async def test() -> None:
        stand_ins = engines()
        async with RelayHarness(stand_ins) as world:

            async def forbid_and_lose(
                connection: ReplicaConnection, request: ReplicaRequest
            ) -> None:
                forbid(world)
                await lose(connection, request)

            lose_first(stand_ins, forbid_and_lose)
            configure(world)
            answer = await world.call("/draft/1", headers=USAGE)
            assert count(world, "repeat_failed") == 1
        assert len(arrivals(stand_ins)) == 1
        assert answer.status == 502 or not answer.is_whole

    run(test())


async def stream_slowly(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await asyncio.sleep(0.6)
    await stream(connection, request)


def test_a_stream_goes_on_at_another_engine_late_in_an_exit() -> None:
    """One that had begun was ended, as it would not have been started."""

    async def test() -> None:
        stand_ins = engines()
        async with RelayHarness(stand_ins) as world:

            async def leave_and_lose(
                connection: ReplicaConnection, request: ReplicaRequest
            ) -> None:
                world.relay.leave(within_s=4.5, estimates_s=0.0)
                await lose_after(1)(connection, request)

            configure(world)
            behave_all(stand_ins, stream_slowly)
            await world.call("/draft/1", headers=USAGE)
            behave_all(stand_ins, leave_and_lose)
            calling = asyncio.create_task(
                world.call("/draft/1", headers=USAGE, deadline_ms=5_000)
            )
            await until_arrived(stand_ins, 2)
            behave_all(stand_ins, stream)
            answer = await calling
        assert (answer.status, answer.is_whole) == (200, True)
        assert answer.body == events(0)

    run(test())


@pytest.mark.parametrize(
    ("lose", "goes_on"),
    [(reset, False), (lose_after(0), False), (lose_after(1), True)],
)
def test_a_request_that_crashed_its_engine_at_once_is_not_sent_again(
    lose: Behave, goes_on: bool
) -> None:
    async def test() -> None:
        stand_ins = engines()

        async def crash(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            (used,) = [s for s in stand_ins if s.arrivals]
            used.crash()
            await lose(connection, request)

        lose_first(stand_ins, crash)
        answer = (await call(stand_ins)).answer
        assert len(arrivals(stand_ins)) == 1 + goes_on
        assert (answer.status == 200 and answer.is_whole) is goes_on

    run(test())


@pytest.mark.parametrize("then", [refuse, fail, ignore_position])
def test_a_stream_ends_truncated_if_the_next_engine_does_not_go_on(
    then: Behave,
) -> None:
    async def test() -> None:
        stand_ins = engines()
        lose_first(stand_ins, lose_after(2), then)
        result = await call(stand_ins)
        assert not result.answer.is_whole
        assert result.answer.body == events(0, 1)
        assert len(arrivals(stand_ins)) == 2

    run(test())


@pytest.mark.parametrize(("first", "status"), [(refuse, 503), (reset, 502)])
def test_a_refusal_is_retryable_only_if_no_engine_may_have_run_it(
    first: Behave, status: int
) -> None:
    async def test() -> None:
        stand_ins = engines(2)
        lose_first(stand_ins, first, refuse)
        assert (await call(stand_ins)).answer.status == status

    run(test())


@pytest.mark.parametrize("can_resume", [True, False])
def test_a_caller_who_resumes_gets_no_event_twice(can_resume: bool) -> None:
    """Where streams may be resumed; other routes leave it to the engine."""

    async def test() -> None:
        stand_ins = engines(1)
        behave_all(stand_ins, ignore_position)
        result = await call(stand_ins, position=4, can_resume=can_resume)
        assert result.answer.body == (b"" if can_resume else events(0))
        assert result.answer.is_whole is not can_resume

    run(test())


@pytest.mark.parametrize(
    ("text", "event_id"),
    [("0", 0), ("17", 17)]
    + [(text, -1) for text in ("", "-1", "x", "1.5", "9" * 5_000, "²")],
)
def test_the_position_of_a_caller_is_a_number(
    text: str, event_id: int
) -> None:
    assert parse_event_id(text) == event_id


@pytest.mark.parametrize("is_freed", [True, False])
def test_a_repeat_waits_for_memory_while_callers_stay(is_freed: bool) -> None:
    """Callers wait two seconds for an event, and memory may take one."""

    async def test() -> None:
        stand_ins = engines(2)
        lose_first(stand_ins, lose_after(1))
        async with RelayHarness(stand_ins) as world:
            configure(world, target_ms=200)
            balancer = world.relay._balancer
            balancer.add("model-1", PLAIN.memory_tokens)
            calling = asyncio.create_task(
                world.call("/draft/1", headers=USAGE)
            )
            await until_arrived(stand_ins, 1)
            await asyncio.sleep(0.4)  # the target has passed
            assert not calling.done()
            if is_freed:
                balancer.add("model-1", -PLAIN.memory_tokens)
            async with asyncio.timeout(1.6):
                answer = await calling
            assert count(world, "repeat_failed") == (not is_freed)
        assert answer.is_whole is is_freed
        assert answer.body == (events(0) if is_freed else events(0, 0))

    run(test())


def test_the_second_engine_may_leave() -> None:
    async def test() -> None:
        stand_ins = engines()
        stopped = asyncio.Event()

        async def run_until_moved(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            if SOURCE in request.headers:
                await stream(connection, request)
                return
            await connection.begin_stream(request)
            await connection.events(first_event(request), 4)
            await stopped.wait()
            connection.reset()

        lose_first(stand_ins, lose_after(2), run_until_moved)
        async with RelayHarness(stand_ins) as world:
            configure(world, MOVING)
            world.engines.stop_events.append(stopped)
            calling = asyncio.create_task(
                world.call("/draft/1", headers=USAGE)
            )
            await until_arrived(stand_ins, 2)
            await asyncio.sleep(0.1)
            (second,) = [
                s
                for s in stand_ins
                if any(LAST_EVENT in r.headers for r in s.arrivals)
            ]
            second.state = "leaving"
            answer = await calling
        assert answer.is_whole
        assert answer.body == events(0)

    run(test())


def test_a_caller_who_leaves_ends_a_repeat() -> None:
    async def test() -> None:
        stand_ins = engines()
        lose_first(stand_ins, lose_after(1), hang)
        async with RelayHarness(stand_ins) as world:
            configure(world)
            _, writer = await world.connect()
            writer.write(request_bytes("/draft/1", headers=USAGE))
            await until_arrived(stand_ins, 2)
            writer.close()
            async with asyncio.timeout(0.5):  # of 2 s until its deadline
                while any(s.open for s in stand_ins):
                    await asyncio.sleep(0.005)
            loads = [world.relay._balancer.load(s.name) for s in stand_ins]
        assert loads == [0, 0, 0]

    run(test())


@pytest.mark.parametrize("seed", range(3))
def test_callers_beside_failing_engines_get_events_in_order(seed: int) -> None:
    """A third of all sends fail: callers get most streams, none garbled."""
    rng = random.Random(seed)
    runs = Counter[str]()

    async def behave(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        n = rng.randint(0, LAST_EVENT_ID - first_event(request))
        losses = [reset, fail, refuse, lose_after(n)]
        losses.append(lose_after(n, within=True, ends=rng.random() < 0.5))
        chosen = rng.choice(losses) if rng.random() < 1 / 3 else stream
        runs[request.headers[HEADER_NAMES.request_id]] += chosen is not refuse
        await chosen(connection, request)

    async def test() -> None:
        stand_ins = engines(6)
        behave_all(stand_ins, behave)
        async with RelayHarness(stand_ins) as world:
            configure(world)
            answers = await asyncio.gather(
                *(
                    world.call(f"/draft/{n}", f"r{n}", headers=USAGE)
                    for n in range(40)
                )
            )
        streams = [a for a in answers if a.status == 200]
        for answer in streams:
            assert events(0).startswith(answer.body)
            assert answer.is_whole == (answer.body == events(0))
        assert max(runs.values()) <= 2
        assert sum(a.is_whole for a in streams) > 40 * 2 / 3

    run(test())


def fleet_replicas() -> list[ReplicaStandIn]:
    return [*engines(), *engines(pool="plain")]


async def begin_and_cut(
    lost: CuttableHost,
    replicas: list[ReplicaStandIn],
    cut: Cut,
    headers: Sequence[str] = (),
) -> asyncio.Task[CallerAnswer]:
    """Start a stream; cut its host off the engines after the event 4."""
    calling = asyncio.create_task(
        lost.relay.call("/draft/1", headers=[*USAGE, *headers])
    )
    await until_arrived(replicas, 1)
    await asyncio.sleep(0.1)
    await lost.cut(cut)
    await lost.relay.call("/view/1", "v1", method="GET")
    return calling


async def hang_unless_resumed(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    first = first_event(request)
    if request.method == "GET":
        await connection.answer(request, b"done")
    elif first > 4:
        await stream(connection, request)
    else:
        await connection.begin_stream(request)
        await connection.events(first, 4)
        await connection.reader.read()


@pytest.mark.parametrize("is_carrier_old", [False, True])
@pytest.mark.parametrize("has_position", [False, True])
@pytest.mark.parametrize("cut", ["hang", "reset", "one_way"])
def test_another_host_goes_on_where_the_engines_are_not_reached(
    cut: Cut, has_position: bool, is_carrier_old: bool
) -> None:
    """A host of an older version knows of no route that may be resumed."""

    async def test() -> None:
        replicas = fleet_replicas()
        behave_all(replicas, hang_unless_resumed)
        headers = [f"{LAST_EVENT}: 1"] if has_position else []
        async with relay_fleet(replicas, 2) as (lost, carrier):
            configure(lost.relay)
            configure(carrier.relay, can_resume=not is_carrier_old)
            calling = await begin_and_cut(lost, replicas, cut, headers)
            answer = await calling
            assert count(lost.relay, "repeated") == 1
        assert answer.is_whole
        assert answer.body == events(2 if has_position else 0)
        positions = [
            r.headers.get_list(LAST_EVENT) for r in arrivals(replicas)
        ]
        assert sorted(positions) == [["1"] if has_position else [], ["4"]]

    run(test())


@pytest.mark.parametrize("most", [2, 3])
def test_both_hosts_together_keep_to_the_attempts(most: int) -> None:
    async def lose_resumed(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        if first_event(request) > 4:
            await lose_after(1)(connection, request)
        else:
            await hang_unless_resumed(connection, request)

    async def test() -> None:
        replicas = fleet_replicas()
        behave_all(replicas, lose_resumed)
        async with relay_fleet(replicas, 3) as fleet:
            for host in fleet:
                configure(host.relay, most_attempts=most)
            calling = await begin_and_cut(fleet[0], replicas, "reset")
            answer = await calling
        assert not answer.is_whole
        assert answer.body == events(0, 4 + most - 1)
        assert len(arrivals(replicas)) == most

    run(test())


def test_a_host_that_carries_a_request_sends_it_again() -> None:
    async def test() -> None:
        replicas = fleet_replicas()
        async with relay_fleet(replicas, 2) as (lost, carrier):
            configure(lost.relay)
            configure(carrier.relay)
            await lost.cut("reset")
            lose_first(replicas, lose_after(2))
            answer = await lost.relay.call("/draft/1", headers=USAGE)
            assert answer.body == events(0)
            for replica in replicas:
                replica.arrivals.clear()
            behave_all(replicas, reset)
            refused = await lost.relay.call("/draft/1", "r2", headers=USAGE)
            assert len(arrivals(replicas)) == 2
        assert refused.status == 502

    run(test())
