"""Streams with neither a length nor chunks, which end with their connection.

Such an end looks complete, whatever has caused it.
"""

import asyncio

import pytest
from _relay_helpers import LAST_EVENT_ID, USAGE, behave_all, first_event, run

from balsamlift.relay import (
    CopyError,
    CopyRefusedError,
    CopyRejectedError,
    EngineTraits,
    Service,
)
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    event,
)

STOPPED_AT = 4  # the last event before a stop
NO_BACKUPS = Service(
    name="model",
    max_connections=100,
    engine=EngineTraits(memory_tokens=10_000, can_move=True),
)


class Engines:
    """Engines whose streams have no length, and stop when they are told."""

    def __init__(self, count: int = 3) -> None:
        self.stop = asyncio.Event()
        self.stand_ins = [
            ReplicaStandIn(f"model-{i}", "model", HEADER_NAMES)
            for i in range(count)
        ]
        behave_all(self.stand_ins, self.stream)

    async def stream(
        self, connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        first = first_event(request)
        await connection.head(request, 200, "Content-Type: text/event-stream")
        for number in range(first, LAST_EVENT_ID + 1):
            if first == 0 and number > STOPPED_AT:
                await self.stop.wait()
                break
            await connection.send(event(number))
        connection.writer.close()

    def events(self, last: int) -> bytes:
        return b"".join(event(number) for number in range(last + 1))

    async def call_and_leave(self, world: RelayHarness) -> CallerAnswer:
        """Let the engine leave that runs a call; return the answer."""
        world.engines.stop_events.append(self.stop)
        calling = asyncio.create_task(world.call("/draft/1", headers=USAGE))
        while not any(s.arrivals for s in self.stand_ins):
            await asyncio.sleep(0.005)
        (used,) = [s for s in self.stand_ins if s.arrivals]
        await asyncio.sleep(0.05)
        used.state = "leaving"
        return await calling


@pytest.mark.parametrize("last_copy_s", [0.0, 0.1], ids=["before", "after"])
def test_a_stream_stopped_for_a_move_goes_on(last_copy_s: float) -> None:
    """Guard against a stop of our own that is told as a complete stream.

    The copy is complete before or after the stream ends.
    """

    async def test() -> None:
        engines = Engines()
        async with RelayHarness(engines.stand_ins) as world:
            world.configure(services=(NO_BACKUPS,))
            world.engines.last_copy_s = last_copy_s
            answer = await engines.call_and_leave(world)
        assert answer.body == engines.events(LAST_EVENT_ID)
        assert answer.is_whole

    run(test())


@pytest.mark.parametrize("last_copy_s", [0.0, 0.1], ids=["before", "after"])
def test_a_stream_is_cut_if_it_may_have_been_stopped(
    last_copy_s: float,
) -> None:
    """Guard against a lost answer to a stop: the end is not the stream's."""

    async def test() -> None:
        engines = Engines()
        async with RelayHarness(engines.stand_ins) as world:
            world.configure(services=(NO_BACKUPS,))
            world.engines.last_copy_s = last_copy_s
            world.engines.stop_error = CopyError("model-0", "no answer")
            answer = await engines.call_and_leave(world)
        assert answer.body == engines.events(STOPPED_AT)
        assert not answer.is_whole

    run(test())


@pytest.mark.parametrize(
    "error",
    [
        CopyRejectedError("model-0", "no such run"),
        CopyRefusedError("model-0", "no room"),
    ],
    ids=["rejected", "refused"],
)
def test_a_stream_that_ended_by_itself_is_whole(error: CopyError) -> None:
    """Guard against a cut where the engine says that it stopped nothing."""

    async def test() -> None:
        engines = Engines()
        async with RelayHarness(engines.stand_ins) as world:
            world.configure(services=(NO_BACKUPS,))
            world.engines.stop_error = error
            answer = await engines.call_and_leave(world)
        assert answer.body == engines.events(STOPPED_AT)
        assert answer.is_whole

    run(test())
