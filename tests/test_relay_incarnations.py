"""Upstreams that restart under the same id.

A restarted upstream is a new incarnation: connections, failures and
generations of the previous one no longer apply to it.
"""

import asyncio
from collections.abc import Callable

from _relay_helpers import (
    LAST_EVENT_ID,
    USAGE,
    hang_midway,
    run,
    stream,
    until_arrived,
)

from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaStandIn,
    event,
)

FIRST_MS = 1_700_000_000_000
SECOND_MS = FIRST_MS + 2_000
WHOLE = b"".join(event(number) for number in range(LAST_EVENT_ID + 1))


async def wait_until_known(world: RelayHarness, started_ms: int) -> None:
    """Wait until all upstreams are known with that start time."""
    while {u.started_ms for u in world.upstreams.all()} != {started_ms}:
        await asyncio.sleep(0.005)


def test_an_idle_connection_is_not_reused_after_a_restart() -> None:
    async def test() -> None:
        replica = ReplicaStandIn("plain-1", "plain", HEADER_NAMES)
        replica.started_ms = FIRST_MS
        async with RelayHarness([replica]) as world:
            world.configure()
            for number in range(3):
                answer = await world.call("/view/1", f"r{number}")
                assert answer.status == 200
            assert replica.connections == 1
            replica.started_ms = SECOND_MS
            await wait_until_known(world, SECOND_MS)
            answer = await world.call("/view/1", "r3")
            assert answer.status == 200
            assert replica.connections == 2
            expected = {
                r.headers[HEADER_NAMES.expected_incarnation]
                for r in replica.arrivals
            }
            assert expected == {"plain-1"}

    run(test())


def test_a_restart_clears_the_leaving_state() -> None:
    async def test() -> None:
        replica = ReplicaStandIn("plain-1", "plain", HEADER_NAMES)
        replica.started_ms = FIRST_MS
        async with RelayHarness([replica]) as world:
            world.configure()
            (before,) = world.upstreams.all()
            world.upstreams.mark(before.name, "leaving", "report")
            assert (await world.call("/view/1", "r1")).status == 503
            replica.started_ms = SECOND_MS
            await wait_until_known(world, SECOND_MS)
            assert (await world.call("/view/1", "r2")).status == 200

    run(test())


async def check_generation_survives(
    restart: Callable[[RelayHarness, ReplicaStandIn], None],
) -> None:
    """Restart the engine of a generation, which must still complete."""
    stand_ins = [
        ReplicaStandIn(f"model-{i}", "model", HEADER_NAMES) for i in range(2)
    ]
    for stand_in in stand_ins:
        stand_in.behave = hang_midway
        stand_in.started_ms = FIRST_MS
    async with RelayHarness(stand_ins) as world:
        world.configure()
        calling = asyncio.create_task(world.call("/draft/1", headers=USAGE))
        used = await until_arrived(stand_ins)
        for stand_in in stand_ins:
            stand_in.behave = stream
        await asyncio.sleep(0.05)
        restart(world, used)
        answer = await calling
    assert answer.is_whole
    assert answer.body == WHOLE
    # It resumed on the other engine: the restarted one has no memory of it.
    assert len(used.arrivals) == 1


def test_a_generation_leaves_an_engine_listed_as_restarted() -> None:
    def listed(world: RelayHarness, used: ReplicaStandIn) -> None:
        del world
        used.started_ms = SECOND_MS

    run(check_generation_survives(listed))


def test_a_generation_leaves_an_engine_that_reports_its_restart() -> None:
    """The restart is seen in the engine's report while the list is down."""

    def reported(world: RelayHarness, used: ReplicaStandIn) -> None:
        world.list.is_down = True
        world.engines.started_ms[used.name] = SECOND_MS

    run(check_generation_survives(reported))
