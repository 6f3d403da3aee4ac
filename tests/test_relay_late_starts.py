"""What a leaving host starts late, and what goes on there."""

import asyncio

import pytest
from _relay_helpers import Behave, behave_all, first_event, run, until_arrived

from balsamlift.relay import DrainLimits
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
LATE_S = 1.45  # a generation starts with 1.35 s left, at the latest
LONG_MS = 20_000


def configure(world: RelayHarness) -> None:
    world.configure(
        routes=(route("stream", "/draft/", "model", timeout_ms=LONG_MS),)
    )


def stream_with_gap(gap_s: float) -> Behave:
    async def behave(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        first = first_event(request)
        await connection.begin_stream(request)
        await connection.events(first, first + 2)
        await asyncio.sleep(gap_s)
        await connection.events(first + 3, first + 4)
        await connection.end_stream()

    return behave


def answer_status(status: int, delay_s: float) -> Behave:
    async def behave(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await asyncio.sleep(delay_s)
        await connection.answer(request, b"no", status=status)

    return behave


async def draft(world: RelayHarness, request_id: str) -> CallerAnswer:
    return await world.call("/draft/1", request_id, deadline_ms=LONG_MS)


def begin_exit(world: RelayHarness, left_s: float) -> asyncio.Task[None]:
    """Leave as if the time for estimates were over."""
    limits = DrainLimits(
        listed_s=left_s, estimates_s=0.0, responses_s=left_s, send_s=0.15
    )
    return asyncio.create_task(world.relay.shut_down(limits))


def test_a_carried_generation_goes_on_when_its_carrier_begins_to_leave() -> (
    None
):
    """One that is resumed for another host counts as not sent yet."""

    async def test() -> None:
        engine = ReplicaStandIn("model-0", "model", HEADER_NAMES)
        engine.behave = stream_with_gap(0.5)
        async with RelayHarness([engine]) as world:
            configure(world)
            assert (await draft(world, "learned")).is_whole
            engine.arrivals.clear()
            ip, _, port = world.forwarding_frontend.address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            headers = [
                "Balsamlift-Forwarded-By: host-2",
                "Balsamlift-Resume-At: model-0",
                "Balsamlift-Resume-Source: 127.0.0.1:1/x",
                "Balsamlift-Last-Event: 4",
            ]
            writer.write(
                request_bytes("/draft/1", headers=headers, deadline_ms=LONG_MS)
            )
            answering = asyncio.create_task(read_answer(reader))
            await until_arrived([engine])
            await asyncio.sleep(0.2)
            world.relay.leave(LEFT_S)  # four times what it takes
            answer = await answering
            writer.close()
        assert (answer.status, answer.is_whole) == (200, True)

    run(test())


@pytest.mark.parametrize("status", [500, 404])
def test_no_late_stream_starts_by_how_fast_others_failed(status: int) -> None:
    """Failures in some ms count as how long streams take."""

    async def test() -> None:
        engine = ReplicaStandIn("model-0", "model", HEADER_NAMES)
        engine.behave = answer_status(status, 0.005)
        async with RelayHarness([engine]) as world:
            configure(world)
            for number in range(3):
                failed = await draft(world, f"failed-{number}")
                assert failed.status >= 400
            engine.behave = stream_with_gap(2.0)
            ending = begin_exit(world, LEFT_S)
            await asyncio.sleep(LEFT_S - LATE_S)
            answer = await draft(world, "late")
            await ending
        assert answer.is_whole, answer.status

    run(test())


def test_no_late_stream_starts_by_one_that_its_caller_gave_up() -> None:
    """A stream that its caller left counts as how long streams take."""

    async def test() -> None:
        engine = ReplicaStandIn("model-0", "model", HEADER_NAMES)
        engine.behave = stream_with_gap(2.0)
        async with RelayHarness([engine]) as world:
            configure(world)
            left = asyncio.create_task(draft(world, "left"))
            await until_arrived([engine])
            left.cancel()
            await asyncio.sleep(0.1)
            ending = begin_exit(world, LEFT_S)
            await asyncio.sleep(LEFT_S - LATE_S)
            answer = await draft(world, "late")
            await ending
        assert answer.is_whole, answer.status

    run(test())


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_call_whose_upstream_broke_is_retried_in_an_exit(
    is_forwarded: bool,
) -> None:
    """A carrier ends what has run as if another host could take it."""

    async def test() -> None:
        stand_ins = [
            ReplicaStandIn(f"plain-{n}", "plain", HEADER_NAMES)
            for n in range(2)
        ]
        async with RelayHarness(stand_ins) as world:
            world.configure(
                routes=(
                    route("idempotent", "/view/", "plain", timeout_ms=LONG_MS),
                )
            )
            behave_all(stand_ins, answer_status(200, 0.4))
            for number in range(4):
                path = f"/view/{number}"
                learned = await world.call(path, f"l{number}", method="GET")
                assert learned.status == 200

            async def leave_and_break(
                connection: ReplicaConnection, request: ReplicaRequest
            ) -> None:
                world.relay.leave(LEFT_S)  # five times what it takes
                behave_all(stand_ins, answer_status(200, 0.4))
                connection.reset()

            behave_all(stand_ins, leave_and_break)
            frontends = world.frontend, world.forwarding_frontend
            ip, _, port = frontends[is_forwarded].address.rpartition(":")
            headers = ["Balsamlift-Forwarded-By: host-2"] * is_forwarded
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(
                request_bytes(
                    "/view/9",
                    method="GET",
                    headers=headers,
                    deadline_ms=LONG_MS,
                )
            )
            answer = await read_answer(reader)
            writer.close()
        assert answer.status == 200

    run(test())
