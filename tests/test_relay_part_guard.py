"""What callers are told of parts of prompts that crash engines."""

import asyncio

import pytest
from _relay_helpers import (
    USAGE,
    behave_all,
    hang,
    hang_midway,
    run,
    stream,
    until_arrived,
)

from balsamlift.peers import PartReport, PartState
from balsamlift.platform._prompt_parts import decode_prompt_parts
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaStandIn,
)

PARTS = "aa:1,c0de:1,ff:1"
_, CULPRIT = decode_prompt_parts(PARTS)
HEADERS = [*USAGE, f"{HEADER_NAMES.prompt_parts}: {PARTS}"]
SETTLE_S = 0.1


def engines(number: int = 2) -> list[ReplicaStandIn]:
    stand_ins = [
        ReplicaStandIn(f"model-{n}", "model", HEADER_NAMES)
        for n in range(number)
    ]
    behave_all(stand_ins, stream)
    return stand_ins


def arrivals(stand_ins: list[ReplicaStandIn]) -> int:
    return sum(len(stand_in.arrivals) for stand_in in stand_ins)


async def ask(world: RelayHarness, request_id: str) -> CallerAnswer:
    return await world.call("/draft/1", request_id, headers=HEADERS)


def report_crashes(world: RelayHarness, *upstreams: str) -> None:
    """Report crashes that were not at the same time."""
    for n, upstream in enumerate(upstreams):
        state = PartState.CRASHED_AFTER_HEAD
        world.peers.part_reports.add(
            [_aged(state, upstream, len(upstreams) - n)]
        )


def _aged(state: PartState, upstream: str, age_s: float) -> PartReport:
    ttl_ms = state.ttl_ms - int(age_s * 1_000)
    return PartReport(CULPRIT, upstream, state, ttl_ms)


@pytest.mark.parametrize("path", ["/draft/1", "/view/1", "/order/1"])
def test_a_blocked_part_is_refused_for_good_and_others_are_not(
    path: str,
) -> None:
    async def test() -> None:
        stand_ins = [
            *engines(),
            ReplicaStandIn("plain-0", "plain", HEADER_NAMES),
        ]
        async with RelayHarness(stand_ins) as world:
            world.configure()
            world.peers.part_reports.report(CULPRIT, PartState.BLOCKED)
            answer = await world.call(path, "r1", headers=HEADERS)
            assert answer.status == 400
            assert "Retry-After" not in answer.headers
            assert arrivals(stand_ins) == 0
            sound = "aa:1,bb:1,c0de:1"  # the last part is the request's own
            headers = [*USAGE, f"{HEADER_NAMES.prompt_parts}: {sound}"]
            other = await world.call(path, "r2", headers=headers)
            assert other.status == 200

    run(test())


def test_a_suspected_part_is_tried_once_and_cleared_if_it_runs() -> None:
    async def test() -> None:
        stand_ins = engines()
        behave_all(stand_ins, hang_midway)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            report_crashes(world, "a", "b")
            trial = asyncio.create_task(ask(world, "r1"))
            await until_arrived(stand_ins)
            second = await ask(world, "r2")
            assert second.status == 503
            assert float(second.headers["Retry-After"]) > 0
            assert arrivals(stand_ins) == 1
            trial.cancel()
            behave_all(stand_ins, stream)
            world.peers.part_reports.report(CULPRIT, PartState.SURVIVED, "a")
            assert (await ask(world, "r3")).status == 200

    run(test())


def test_a_block_ends_calls_that_wait_at_an_engine() -> None:
    async def test() -> None:
        stand_ins = engines()
        behave_all(stand_ins, hang)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            waiting = asyncio.create_task(ask(world, "r1"))
            used = await until_arrived(stand_ins)
            await asyncio.sleep(SETTLE_S)
            world.peers.part_reports.report(CULPRIT, PartState.BLOCKED)
            assert (await waiting).status == 400
            await asyncio.sleep(SETTLE_S)
            assert not used.open  # its engine was told to stop

    run(test())


def test_two_parts_that_are_blocked_at_once_end_a_waiting_call_once() -> None:
    async def test() -> None:
        stand_ins = engines()
        behave_all(stand_ins, hang)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            waiting = asyncio.create_task(ask(world, "r1"))
            await until_arrived(stand_ins)
            await asyncio.sleep(SETTLE_S)
            first, second = decode_prompt_parts(PARTS)
            loop = asyncio.get_running_loop()
            blocked: list[str] = []

            def block(part: str) -> None:
                world.peers.part_reports.report(part, PartState.BLOCKED)
                blocked.append(part)

            # The second comes between the end and what it cancels.
            loop.call_soon(block, first)
            loop.call_soon(loop.call_soon, block, second)
            assert (await waiting).status == 400
            assert blocked == [first, second]

    run(test())


def test_a_part_that_runs_after_all_is_allowed_again() -> None:
    async def test() -> None:
        stand_ins = engines()
        behave_all(stand_ins, hang_midway)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            running = asyncio.create_task(ask(world, "r1"))
            await until_arrived(stand_ins)
            await asyncio.sleep(SETTLE_S)
            world.peers.part_reports.report(CULPRIT, PartState.BLOCKED)
            assert (await ask(world, "r2")).status == 400
            world.peers.part_reports.report(CULPRIT, PartState.UNBLOCKED)
            behave_all(stand_ins, stream)
            assert (await ask(world, "r3")).status == 200
            running.cancel()

    run(test())
