"""Test what a host that shuts down starts, refuses and ends."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from _relay_helpers import (
    USAGE,
    Behave,
    behave_all,
    hang,
    hang_midway,
    run,
    stream,
    until_arrived,
)

from balsamlift.relay import AddressAnswer, DrainLimits
from balsamlift.relay._request import CallerRequest, Refusal, Responder
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    read_answer,
    request_bytes,
    route,
)

LEFT_S = 2.0
LONG_MS = 20_000  # for which callers wait and the route lets them
SLOW_S = 0.4
SOON_S = 0.05
KINDS = ("order", "view")


def replicas(number: int = 2) -> list[ReplicaStandIn]:
    return [
        ReplicaStandIn(f"plain-{i}", "plain", HEADER_NAMES)
        for i in range(number)
    ]


def answer_after(delay_s: float) -> Behave:
    async def answer(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await asyncio.sleep(delay_s)
        await connection.answer(request, b"done")

    return answer


def configure(world: RelayHarness) -> None:
    """Let calls take longer than a host needs to shut down."""
    world.configure(
        routes=(
            route("idempotent", "/view/", "plain", timeout_ms=LONG_MS),
            route("non_idempotent", "/order/", "plain", timeout_ms=LONG_MS),
            route("stream", "/draft/", "model", timeout_ms=LONG_MS),
        )
    )


async def call(
    world: RelayHarness, kind: str, request_id: str, ms: int = LONG_MS
) -> CallerAnswer:
    return await world.call(f"/{kind}/1", request_id, deadline_ms=ms)


@pytest.mark.parametrize("kind", KINDS)
def test_a_leaving_host_starts_no_call_that_may_outlast_it(kind: str) -> None:
    """Guard against calls that are passed on and cut off by the exit."""

    async def test() -> None:
        stand_ins = replicas(1)
        async with RelayHarness(stand_ins) as world:
            configure(world)
            stand_ins[0].behave = answer_after(SLOW_S)
            assert (await call(world, kind, "learned")).status == 200
            world.relay.leave(LEFT_S)
            served = await call(world, kind, "served")
            await asyncio.sleep(LEFT_S - 2 * SLOW_S)
            began_s = asyncio.get_running_loop().time()
            refused = await call(world, kind, "refused")
            took_s = asyncio.get_running_loop().time() - began_s
        assert served.status == 200
        assert refused.status == 503
        assert refused.headers["Retry-After"] == "0.000"
        assert refused.headers["Connection"] == "close"
        assert took_s < SLOW_S
        assert stand_ins[0].ids() == ["learned", "served"]

    run(test())


@pytest.mark.parametrize(("ms", "status"), [(LONG_MS, 503), (1_000, 200)])
def test_a_leaving_host_that_knows_no_duration_trusts_the_time_allowed(
    ms: int, status: int
) -> None:
    async def test() -> None:
        async with RelayHarness(replicas()) as world:
            configure(world)
            world.relay.leave(LEFT_S)
            assert (await call(world, "order", "r1", ms)).status == status

    run(test())


def test_a_host_learns_durations_from_other_hosts() -> None:
    async def test() -> None:
        async with RelayHarness(replicas()) as world:
            configure(world)
            world.peers.counts_under = lambda prefix: {f"{prefix}10": 1}
            world.relay.leave(LEFT_S)
            assert (await call(world, "order", "r1")).status == 200

    run(test())


def test_a_generation_that_waits_is_refused_when_it_cannot_end() -> None:
    """Guard against one that starts when memory is free, and is cut off."""
    large = [f"{HEADER_NAMES.token_usage}: 8000,100"]
    release = asyncio.Event()

    async def stream_until_released(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.begin_stream(request)
        await connection.events(0, 4)
        await release.wait()
        await connection.end_stream()

    async def test() -> None:
        stand_in = ReplicaStandIn("model-0", "model", HEADER_NAMES)
        stand_in.behave = stream_until_released
        async with RelayHarness([stand_in]) as world:
            configure(world)

            def start(request_id: str) -> asyncio.Task[CallerAnswer]:
                return asyncio.create_task(
                    world.call("/draft/1", request_id, headers=large)
                )

            running = start("r1")
            await until_arrived([stand_in])
            waiting = start("r2")
            await asyncio.sleep(0.1)
            # Enough for its expected length, but not for its wait.
            world.relay.leave(3.2)
            await asyncio.sleep(0.8)
            release.set()
            refused = await waiting
            assert (refused.status, refused.is_whole) == (503, True)
            assert refused.headers["Retry-After"] == "0.000"
            assert (await running).is_whole
        assert stand_in.ids() == ["r1"]

    run(test())


@pytest.mark.parametrize(
    ("path", "behave", "status"),
    [("/order/1", hang, 502), ("/view/1", hang, 502), ("/draft/1", hang, 502)],
)
def test_what_outlasts_the_host_gets_a_true_response(
    path: str, behave: Behave, status: int
) -> None:
    """Guard against connections that are closed without a response."""

    async def test() -> None:
        stand_ins = [
            *replicas(1),
            ReplicaStandIn("model-0", "model", HEADER_NAMES),
        ]
        behave_all(stand_ins, behave)
        async with RelayHarness(stand_ins) as world:
            configure(world)
            calling = asyncio.create_task(
                world.call(path, headers=USAGE, deadline_ms=LONG_MS)
            )
            await until_arrived(stand_ins)
            world.relay.leave(0.2)
            answer = await calling
            assert (answer.status, answer.is_whole) == (status, True)
            assert answer.headers["Connection"] == "close"

    run(test())


def test_a_stream_that_outlasts_the_host_ends_as_cut() -> None:
    async def test() -> None:
        stand_in = ReplicaStandIn("model-0", "model", HEADER_NAMES)
        stand_in.behave = hang_midway
        async with RelayHarness([stand_in]) as world:
            configure(world)
            calling = asyncio.create_task(
                world.call("/draft/1", headers=USAGE, deadline_ms=LONG_MS)
            )
            await until_arrived([stand_in])
            world.relay.leave(0.2)
            answer = await calling
        assert answer.status == 200
        assert not answer.is_whole

    run(test())


async def forward(world: RelayHarness) -> CallerAnswer:
    """Send a call as another host that does not reach its upstreams."""
    ip, _, port = world.forwarding_frontend.address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    headers = ["Balsamlift-Forwarded-By: host-2"]
    writer.write(
        request_bytes("/order/1", headers=headers, deadline_ms=LONG_MS)
    )
    try:
        return await read_answer(reader)
    finally:
        writer.close()


def test_a_forwarded_call_is_left_to_other_hosts() -> None:
    """Guard against a refusal that is passed on as another host may run it."""

    async def test() -> None:
        async with RelayHarness(replicas()) as world:
            configure(world)
            world.relay.leave(LEFT_S)
            answer = await forward(world)
        assert answer.status == 503
        assert "Balsamlift-Unreached" in answer.headers

    run(test())


def test_a_leaving_host_starts_no_forwarded_call_by_estimates() -> None:
    """A host that does not leave lost its callers' calls to one that does."""

    async def test() -> None:
        stand_ins = replicas(1)
        async with RelayHarness(stand_ins) as world:
            configure(world)
            stand_ins[0].behave = answer_after(SLOW_S)
            assert (await call(world, "order", "learned")).status == 200
            world.relay.leave(LEFT_S)
            answer = await forward(world)
        assert answer.status == 503
        assert "Balsamlift-Unreached" in answer.headers
        assert stand_ins[0].ids() == ["learned"]

    run(test())


Send = Callable[[RelayHarness], Awaitable[CallerAnswer]]


async def send_on_kept(world: RelayHarness) -> Callable[[], Awaitable[None]]:
    """Open a connection that carries a request once the end has begun."""
    reader, writer = await world.connect()
    writer.write(request_bytes("/order/1", "before"))
    assert (await read_answer(reader)).status == 200

    async def send() -> None:
        writer.write(request_bytes("/order/1", "after"))
        answer = await read_answer(reader)
        assert (answer.status, answer.is_whole) == (503, True)

    return send


async def send_on_new(world: RelayHarness) -> Callable[[], Awaitable[None]]:
    async def send() -> None:
        assert (await world.call("/order/1", "after")).status == 503

    return send


@pytest.mark.parametrize("prepare", [send_on_kept, send_on_new])
def test_a_request_during_the_end_is_not_passed_on(
    prepare: Callable[
        [RelayHarness], Awaitable[Callable[[], Awaitable[None]]]
    ],
) -> None:
    """Guard against requests that are taken while the tasks are ended."""

    async def test() -> None:
        stand_ins = replicas(1)
        async with RelayHarness(stand_ins) as world:
            configure(world)
            send = await prepare(world)
            limits = DrainLimits(
                listed_s=0.0, estimates_s=0.0, responses_s=0.0, send_s=5.0
            )
            sending = asyncio.create_task(send())
            await asyncio.sleep(0)  # its bytes are on their way
            await world.relay.shut_down(limits)
            await sending
        assert "after" not in stand_ins[0].ids()

    run(test())


def test_a_request_held_after_a_stall_is_refused_as_its_host_ends() -> None:
    """Requests held for news of upstreams got no response at the end."""

    async def test() -> None:
        async with RelayHarness(replicas(1)) as world:
            configure(world)
            world.routing.set_age_source(lambda: 90.0, 1.0)
            await asyncio.sleep(SLOW_S)
            time.sleep(SLOW_S)  # the whole event loop stalls
            await asyncio.sleep(SOON_S)
            held = asyncio.create_task(call(world, "order", "held"))
            await asyncio.sleep(SOON_S)
            limits = DrainLimits(
                listed_s=0.0, estimates_s=0.0, responses_s=0.0, send_s=0.2
            )
            await world.relay.shut_down(limits)
            answer = await held
        assert (answer.status, answer.is_whole) == (503, True)

    run(test())


def test_what_a_starved_host_has_read_is_answered_as_it_ends() -> None:
    """Connections closed by the clock, before their requests had a turn."""

    async def refuse_slowly(
        request: CallerRequest, responder: Responder
    ) -> None:
        for _ in range(3):
            time.sleep(SOON_S)  # the whole event loop stalls
            await asyncio.sleep(0)
        responder.refuse(Refusal(status=503, reason="host is leaving"))

    async def test() -> None:
        async with RelayHarness(replicas(1)) as world:
            configure(world)
            world.frontend.serve(refuse_slowly)
            calling = asyncio.create_task(call(world, "order", "read"))
            while not world.frontend.tasks:
                await asyncio.sleep(0)
            await world.frontend.close(within_s=0.0)
            answer = await calling
        assert (answer.status, answer.is_whole) == (503, True)

    run(test())


def test_durations_of_a_route_do_not_hold_for_its_next_service() -> None:
    """Calls were started by how long the service before had taken."""

    async def test() -> None:
        stand_ins = replicas(1)
        stand_ins.append(ReplicaStandIn("other-0", "other", HEADER_NAMES))
        async with RelayHarness(stand_ins) as world:
            configure(world)
            assert (await call(world, "order", "r1")).status == 200
            moved = route(
                "non_idempotent", "/order/", "other", timeout_ms=LONG_MS
            )
            world.configure(2, routes=(moved,))
            world.relay.leave(LEFT_S)
            assert (await call(world, "order", "r2")).status == 503
        assert stand_ins[1].ids() == []

    run(test())


def test_a_refused_caller_learns_which_hosts_may_take_its_request() -> None:
    async def test() -> None:
        async with RelayHarness(replicas()) as world:
            configure(world)
            own = world.frontend.address
            answer = AddressAnswer([own, "127.0.0.2:7100"], 2_000)
            world.directory.find = lambda caller: answer
            world.relay.leave(LEFT_S)
            refused = await call(world, "order", "r1")
        expected = 'http%2F1.1="127.0.0.2:7100"; ma=5'
        assert refused.status == 503
        assert refused.headers["Alt-Svc"] == expected

    run(test())


def test_a_call_ends_whole_though_its_route_is_taken_away() -> None:
    async def test() -> None:
        stand_ins = replicas(1)
        stand_ins[0].behave = answer_after(SLOW_S)
        async with RelayHarness(stand_ins) as world:
            configure(world)
            calling = asyncio.create_task(call(world, "order", "r1"))
            await until_arrived(stand_ins)
            world.configure(2, routes=(), workspaces=())
            answer = await calling
        assert (answer.status, answer.body) == (200, b"done")

    run(test())


@pytest.mark.parametrize("path", ["/order/1", "/draft/1"])
def test_what_its_own_time_ends_first_is_started(path: str) -> None:
    """Guard against refusals without need, for one long request before."""

    async def test() -> None:
        stand_ins = [
            *replicas(1),
            ReplicaStandIn("model-0", "model", HEADER_NAMES),
        ]
        stand_ins[1].behave = stream
        async with RelayHarness(stand_ins) as world:
            configure(world)
            world.peers.counts_under = lambda prefix: {f"{prefix}100": 1}
            world.relay.leave(7.0)
            answer = await world.call(path, headers=USAGE, deadline_ms=6_000)
        assert answer.status == 200

    run(test())
