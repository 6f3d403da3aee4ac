"""An upstream that starts again under its id holds nothing of before."""

import asyncio
from collections.abc import Callable

from _relay_bench import (
    LAST,
    USAGE,
    hang_midway,
    run,
    stream,
    until_arrived,
)

from balsamlift.testing.relay import (
    NAMES,
    RelayWorld,
    ReplicaStandIn,
    event,
)

FIRST_MS = 1_700_000_000_000
SECOND_MS = FIRST_MS + 2_000
WHOLE = b"".join(event(number) for number in range(LAST + 1))


async def until_known(world: RelayWorld, started_ms: int) -> None:
    """Wait until all upstreams are known by that start."""
    while {u.started_ms for u in world.upstreams.all()} != {started_ms}:
        await asyncio.sleep(0.005)


def test_a_kept_connection_ends_with_its_incarnation() -> None:
    async def test() -> None:
        replica = ReplicaStandIn("plain-1", "plain", NAMES)
        replica.started_ms = FIRST_MS
        async with RelayWorld([replica]) as world:
            world.configure()
            for number in range(3):
                answer = await world.call("/view/1", f"r{number}")
                assert answer.status == 200
            assert replica.connections == 1
            replica.started_ms = SECOND_MS
            await until_known(world, SECOND_MS)
            answer = await world.call("/view/1", "r3")
            assert answer.status == 200
            assert replica.connections == 2
            expected = {
                r.headers[NAMES.expected_incarnation] for r in replica.arrivals
            }
            assert expected == {"plain-1"}

    run(test())


def test_failures_of_the_one_before_are_not_held_against_it() -> None:
    async def test() -> None:
        replica = ReplicaStandIn("plain-1", "plain", NAMES)
        replica.started_ms = FIRST_MS
        async with RelayWorld([replica]) as world:
            world.configure()
            (before,) = world.upstreams.all()
            world.upstreams.mark(before.name, "leaving", "report")
            assert (await world.call("/view/1", "r1")).status == 503
            replica.started_ms = SECOND_MS
            await until_known(world, SECOND_MS)
            assert (await world.call("/view/1", "r2")).status == 200

    run(test())


async def draft_over(
    start_again: Callable[[RelayWorld, ReplicaStandIn], None],
) -> None:
    """Have the engine of a draft start again; the draft has to end whole."""
    stand_ins = [
        ReplicaStandIn(f"model-{i}", "model", NAMES) for i in range(2)
    ]
    for stand_in in stand_ins:
        stand_in.behave = hang_midway
        stand_in.started_ms = FIRST_MS
    async with RelayWorld(stand_ins) as world:
        world.configure()
        calling = asyncio.create_task(world.call("/draft/1", headers=USAGE))
        used = await until_arrived(stand_ins)
        for stand_in in stand_ins:
            stand_in.behave = stream
        await asyncio.sleep(0.05)
        start_again(world, used)
        answer = await calling
    assert answer.is_whole
    assert answer.body == WHOLE
    # It went on at the other: what started again knows nothing of it.
    assert len(used.arrivals) == 1


def test_a_generation_leaves_an_engine_that_has_started_again() -> None:
    def listed(world: RelayWorld, used: ReplicaStandIn) -> None:
        del world
        used.started_ms = SECOND_MS

    run(draft_over(listed))


def test_an_engine_tells_itself_that_it_has_started_again() -> None:
    """The list is out of reach while the engine crashes and comes back."""

    def reported(world: RelayWorld, used: ReplicaStandIn) -> None:
        world.list.is_down = True
        world.engines.started_ms[used.name] = SECOND_MS

    run(draft_over(reported))
