"""Upstreams that say in their answers that they are leaving."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest
from _relay_helpers import (
    hang_midway,
    stream,
)
from _relay_load import (
    PATHS,
    Load,
    Pool,
    begin_generation,
    begin_waiting_for_memory,
    run,
)
from _virtual_time import LoopClock

from balsamlift.peers import Upstream
from balsamlift.relay import MemoryCopy, Service
from balsamlift.testing._relay_harness import ENGINE
from balsamlift.testing._replica import Behave
from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

DRAIN_S = 2.0  # after a notice until the upstream gets no more requests
MAX_REFUSAL_S = 0.5
LENGTH_S = 30.0  # longer than any report of an upstream's state lasts


async def first_answer(load: Load, pool: Pool) -> float:
    """Return the time by which the first upstream has answered a call."""
    first = pool.stand_ins[0].name
    while not pool.arrivals[first]:
        await load.run(0.1)
    return asyncio.get_running_loop().time()


def late_arrivals(load: Load, pool: Pool, noticed_s: float) -> list[float]:
    """Return when requests arrived that were sent too long after a notice."""
    sent_s = {call.number: call.sent_s for call in load.calls}
    return [
        at_s
        for number, at_s in pool.arrivals[pool.stand_ins[0].name]
        if sent_s[number] > noticed_s + DRAIN_S
    ]


@attrs.frozen
class Noticed:
    """Two upstreams, of which the first has given notice."""

    world: RelayHarness
    pool: Pool
    load: Load
    noticed_s: float

    @property
    def first(self) -> ReplicaStandIn:
        return self.pool.stand_ins[0]

    def late_arrivals(self) -> list[float]:
        return late_arrivals(self.load, self.pool, self.noticed_s)

    async def share_of_calls(self, length_s: float) -> float:
        """Return the share of the first upstream in the next calls."""
        before = len(self.pool.arrivals[self.first.name])
        calls = await self.load.run(length_s)
        arrivals = len(self.pool.arrivals[self.first.name]) - before
        return arrivals / len(calls)


@asynccontextmanager
async def after_a_notice(written: int = 0) -> AsyncIterator[Noticed]:
    """Let one of two upstreams give notice; its entry is an update."""
    pool = Pool("plain", 2)
    first = pool.stand_ins[0]
    first.written, first.leaving = written, "1"
    async with RelayHarness(pool.stand_ins, LoopClock()) as world:
        world.configure()
        load = Load(world, "/order/1")
        noticed_s = await first_answer(load, pool)
        yield Noticed(world, pool, load, noticed_s)


@pytest.mark.parametrize("list_is_down", [False, True])
@pytest.mark.parametrize(("path", "service"), PATHS)
def test_an_upstream_that_gave_notice_gets_no_requests_though_listed_live(
    path: str, service: str, list_is_down: bool
) -> None:
    async def test() -> None:
        pool = Pool(service, 2)
        pool.stand_ins[0].leaving = "1"
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            world.list.is_down = list_is_down
            load = Load(world, path)
            noticed_s = await first_answer(load, pool)
            await load.run(LENGTH_S, per_s=5.0)
            assert late_arrivals(load, pool, noticed_s) == []
            assert {call.status for call in load.calls} == {200}

    run(test)


@pytest.mark.parametrize(("path", "service"), PATHS)
def test_calls_are_refused_at_once_if_all_upstreams_gave_notice(
    path: str, service: str
) -> None:
    async def test() -> None:
        pool = Pool(service, 1)
        pool.stand_ins[0].leaving = "1"
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            world.list.is_down = True
            load = Load(world, path)
            noticed_s = await first_answer(load, pool)
            await load.run(9.0)
            assert late_arrivals(load, pool, noticed_s) == []
            late = [c for c in load.calls if c.sent_s > noticed_s + DRAIN_S]
            assert {call.status for call in late} == {503}
            assert max(call.took_s for call in late) <= MAX_REFUSAL_S
            assert all(call.retry_after_s for call in late)

    run(test)


def test_a_restart_under_the_same_id_gets_requests_again() -> None:
    async def test() -> None:
        async with after_a_notice() as noticed:
            noticed.first.leaving, noticed.first.started_ms = "", 5
            await noticed.load.run(0.5)
            assert await noticed.share_of_calls(2.0) >= 1 / 4

    run(test)


def test_an_entry_that_comes_back_does_not_lift_a_notice() -> None:
    async def test() -> None:
        async with after_a_notice() as noticed:
            listed = noticed.world.list.replicas
            listed.remove(noticed.first)
            await noticed.load.run(1.0)
            listed.append(noticed.first)
            await noticed.load.run(5.0)
            assert noticed.late_arrivals() == []

    run(test)


def test_an_outage_of_the_list_ends_no_notice() -> None:
    async def test() -> None:
        async with after_a_notice() as noticed:
            listed = noticed.world.list
            listed.replicas.remove(noticed.first)
            await asyncio.sleep(1.0)
            listed.is_down = True
            await asyncio.sleep(70.0)
            listed.replicas.append(noticed.first)
            listed.is_down = False
            await noticed.load.run(4.0)
            assert noticed.late_arrivals() == []

    run(test)


@pytest.mark.parametrize("away_s", [5.0, 70.0])
def test_an_upstream_that_was_long_unlisted_is_still_bound_by_its_notice(
    away_s: float,
) -> None:
    async def test() -> None:
        async with after_a_notice(written=7) as noticed:
            listed = noticed.world.list.replicas
            await asyncio.sleep(1.0)
            listed.remove(noticed.first)
            await asyncio.sleep(away_s)
            noticed.first.written = 70
            listed.append(noticed.first)
            await noticed.load.run(4.0)
            assert noticed.late_arrivals() == []

    run(test)


def test_an_upstream_that_starts_again_after_long_gets_requests() -> None:
    """Its entry does not say when it started, but counts from the start."""

    async def test() -> None:
        async with after_a_notice(written=7) as noticed:
            listed = noticed.world.list.replicas
            await asyncio.sleep(1.0)
            listed.remove(noticed.first)
            await asyncio.sleep(70.0)
            noticed.first.written, noticed.first.leaving = 1, ""
            listed.append(noticed.first)
            assert await noticed.share_of_calls(2.0) >= 1 / 4

    run(test)


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_a_notice_in_any_answer_counts(status: int) -> None:
    async def fail(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await connection.answer(request, b"told", status)

    async def test() -> None:
        pool = Pool("plain", 2)
        pool.work = fail
        pool.stand_ins[0].leaving = "1"
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, "/order/1")
            noticed_s = await first_answer(load, pool)
            await load.run(4.0)
            assert late_arrivals(load, pool, noticed_s) == []

    run(test)


@pytest.mark.parametrize(("path", "service"), PATHS)
@pytest.mark.parametrize("values", [["1", "1"], ["1, 1"], ["true"], ["0"]])
def test_a_notice_given_twice_or_with_another_value_counts(
    values: list[str], path: str, service: str
) -> None:
    async def test() -> None:
        pool = Pool(service, 2)
        first = pool.stand_ins[0]
        answer = first.behave

        async def give_notice(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            for value in values:
                connection.statements.add(HEADER_NAMES.leaving, value)
            await answer(connection, request)

        first.behave = give_notice
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, path)
            noticed_s = await first_answer(load, pool)
            await load.run(4.0)
            assert late_arrivals(load, pool, noticed_s) == []

    run(test)


async def misdirect(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    await connection.head(request, 421, "Content-Length: 0")


async def answer_unsigned(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    lines = [
        f"{name}: {text}" for name, text in connection.statements.get_all()
    ]
    head = ["HTTP/1.1 200 OK", *lines, "Content-Length: 4", "", ""]
    await connection.send("\r\n".join(head).encode() + b"text")


@pytest.mark.parametrize("work", [misdirect, answer_unsigned])
def test_an_answer_that_is_not_the_upstreams_own_is_no_notice(
    work: Behave,
) -> None:
    async def test() -> None:
        pool = Pool("plain", 1)
        pool.work = work
        pool.stand_ins[0].leaving = "1"
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            await Load(world, "/order/1").run(0.5)
            assert world.upstreams.may_take_work("plain-0")

    run(test)


def test_a_call_that_no_other_upstream_can_take_is_served_for_a_while() -> (
    None
):
    """Half of the time for which a leaving upstream still works."""

    async def test() -> None:
        pool = Pool("plain", 1)
        pool.stand_ins[0].leaving = "1"
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            load = Load(world, "/order/1")
            noticed_s = await first_answer(load, pool)
            await load.run(1.0)
            soon = [c for c in load.calls if c.sent_s < noticed_s + 0.8]
            assert {call.status for call in soon} == {200}

    run(test)


def test_a_generation_leaves_an_engine_that_gave_notice_on_resuming() -> None:
    async def test() -> None:
        pool = Pool("model", 3)
        resumed: list[str] = []

        async def resume(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            resumed.append(request.headers[HEADER_NAMES.resume_source])
            if len(resumed) > 1:
                await stream(connection, request)
                return
            connection.statements[HEADER_NAMES.leaving] = "1"
            await connection.begin_stream(request)
            await connection.reader.read()

        pool.set_behaviour(hang_midway)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            calling, first = await begin_generation(world, pool)
            pool.set_behaviour(resume)
            first.state = "leaving"
            answer = await calling
            assert answer.is_whole
            assert len(resumed) == 2

    run(test)


def test_memory_is_not_moved_to_an_engine_that_gave_notice_meanwhile() -> None:
    async def test() -> None:
        pool = Pool("model", 3)
        traits = attrs.evolve(ENGINE, can_back_up=False)
        service = Service(name="model", max_connections=100, engine=traits)
        pool.set_behaviour(hang_midway)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure(services=(service,))
            calling, first = await begin_generation(world, pool)
            copied_to: list[str] = []
            copy = world.engines.copy

            async def copy_and_notice(
                source: Upstream,
                request_id: str,
                target: Upstream,
                *,
                stop: bool,
            ) -> MemoryCopy:
                copied_to.append(target.name)
                if len(copied_to) == 1:
                    world.upstreams.leaving_notices.record(
                        target.name, "answer"
                    )
                return await copy(source, request_id, target, stop=stop)

            world.engines.copy = copy_and_notice  # type: ignore[method-assign]
            stopped = asyncio.Event()
            world.engines.stop_events.append(stopped)
            pool.set_behaviour(stream)
            first.state = "leaving"
            await stopped.wait()
            for task in list(first.open):
                task.cancel()
            answer = await calling
            assert answer.is_whole
            assert len(set(copied_to)) == 2
            assert copied_to[-1] != copied_to[0]

    run(test)


def test_the_list_does_not_lift_the_notice_in_a_report() -> None:
    async def test() -> None:
        pool = Pool("model", 2)
        pool.set_behaviour(hang_midway)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            calling, first = await begin_generation(world, pool)
            pool.set_behaviour(stream)
            world.list.is_down = True
            world.engines.leaving.add(first.name)
            answer = await calling
            assert answer.is_whole
            world.list.is_down = False
            await asyncio.sleep(5.0)
            assert not world.upstreams.may_take_work(first.name)

    run(test)


def test_a_generation_that_waits_for_memory_is_refused_on_a_notice() -> None:
    async def test() -> None:
        pool = Pool("model", 1)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            first, second = await begin_waiting_for_memory(world, pool)
            loop = asyncio.get_running_loop()
            noticed_s = loop.time()
            world.upstreams.leaving_notices.record("model-0", "answer")
            assert (await second).status == 503
            assert loop.time() - noticed_s <= MAX_REFUSAL_S
            assert len(pool.stand_ins[0].arrivals) == 1
            first.cancel()

    run(test)
