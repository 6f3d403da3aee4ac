"""Streams with neither a length nor chunks, which end with their connection.

Such an end looks complete, whatever has caused it.
"""

import asyncio

import pytest
from _relay_helpers import LAST_EVENT_ID, USAGE, behave_all, first_event, run

from balsamlift.peers import Upstream
from balsamlift.relay import (
    CopyError,
    CopyRefusedError,
    CopyRejectedError,
    EngineTraits,
    MemoryCopy,
    Service,
    _exchange,
)
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    event,
    route,
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


async def answer_done(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.answer(request, b"done")


async def end_midway(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    """Send a part of an answer without a length, and close."""
    await connection.head(request, 200, "Content-Type: text/event-stream")
    await connection.send(event(0))
    await asyncio.sleep(0.05)
    connection.writer.close()


@pytest.mark.parametrize("state", ["leaving", "gone", "live"])
@pytest.mark.parametrize("answer", ["refuses", "silent"])
@pytest.mark.parametrize("path", ["/draft/1", "/order/1", "/view/1"])
def test_an_end_that_cannot_be_known_is_not_told_as_whole(
    path: str, answer: str, state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a part of an answer that is told as all of it.

    Its upstream exits or is not reached as the answer ends, with or without
    notice. Only what may be repeated is served by another.
    """

    async def test() -> None:
        pool = "model" if path == "/draft/1" else "plain"
        stand_ins = [
            ReplicaStandIn(f"r-{i}", pool, HEADER_NAMES) for i in "12"
        ]

        async def leave_midway(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            behave_all(stand_ins, answer_done)
            (used,) = [s for s in stand_ins if s.arrivals]
            monkeypatch.setattr(_exchange, "try_connection", ask_in_vain)
            if state == "leaving":
                used.state = "leaving"
            elif state == "gone":
                world.list.replicas.remove(used)
            await end_midway(connection, request)

        async def ask_in_vain(address: str) -> str:
            return answer

        behave_all(stand_ins, leave_midway)
        async with RelayHarness(stand_ins) as world:
            world.configure(
                services=(NO_BACKUPS, Service(name="plain", max_connections=9))
            )
            told = await world.call(path, headers=USAGE)
        if path == "/draft/1":
            assert not told.is_whole
        elif path == "/order/1":
            assert told.status == 502
        else:
            assert (told.status, told.body) == (200, b"done")

    run(test())


@pytest.mark.parametrize("state", ["leaving", "live"])
def test_an_answer_without_a_length_is_whole_while_its_upstream_serves(
    state: str,
) -> None:
    """Guard against an upstream that leaves being taken for one that exits."""

    async def test() -> None:
        stand_ins = [ReplicaStandIn("r-1", "plain", HEADER_NAMES)]

        async def leave(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            stand_ins[0].state = state
            await end_midway(connection, request)

        behave_all(stand_ins, leave)
        async with RelayHarness(stand_ins) as world:
            world.configure()
            told = await world.call("/order/1")
        assert (told.status, told.body) == (200, event(0))

    run(test())


def test_a_move_does_not_outlive_the_engine_that_it_leaves() -> None:
    """Guard against the stop of a previous run that speaks for the next end.

    The generation is sent elsewhere while the call to stop it is unanswered.
    """

    async def test() -> None:
        engines = Engines(2)

        async def keep_silent(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            behave_all(engines.stand_ins, engines.stream)
            await connection.begin_stream(request)
            await connection.events(0, STOPPED_AT)
            await connection.reader.read()

        behave_all(engines.stand_ins, keep_silent)
        async with RelayHarness(engines.stand_ins) as world:
            repeatable = route(
                "stream", "/draft/", "model", can_resume=True, most_attempts=2
            )
            world.configure(routes=(repeatable,), services=(NO_BACKUPS,))
            world.engines.last_copy_s = 30.0
            asking = asyncio.create_task(engines.call_and_leave(world))
            await engines.stop.wait()
            for generation in world.relay._generations._running:
                generation.check_links(lambda pool: True)
            answer = await asking
        assert answer.body == engines.events(LAST_EVENT_ID)
        assert answer.is_whole

    run(test())


def test_a_target_that_begins_to_leave_during_the_copy_is_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a run that is stopped for an engine that leaves too."""

    async def test() -> None:
        engines = Engines()
        async with RelayHarness(engines.stand_ins) as world:
            world.configure(services=(NO_BACKUPS,))
            copy = world.engines.copy
            targets: list[str] = []

            async def copy_meanwhile(
                source: Upstream,
                request_id: str,
                target: Upstream,
                *,
                stop: bool,
            ) -> MemoryCopy:
                targets.append(target.name)
                if len(targets) == 1:
                    (used,) = [
                        s for s in engines.stand_ins if s.name == target.name
                    ]
                    used.state = "leaving"
                    while not world.upstreams.is_leaving(target.name):
                        await asyncio.sleep(0.005)
                return await copy(source, request_id, target, stop=stop)

            monkeypatch.setattr(world.engines, "copy", copy_meanwhile)
            answer = await engines.call_and_leave(world)
        assert answer.body == engines.events(LAST_EVENT_ID)
        assert answer.is_whole
        assert targets[0] not in targets[1:]

    run(test())
