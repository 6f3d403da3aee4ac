"""Constant load on one relay with stand-ins, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from _relay_helpers import USAGE, hang_midway, refuse, stream, until_arrived
from _virtual_time import run_virtual

from balsamlift.testing._replica import Behave, answer_ok
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

PATHS = [("/view/1", "plain"), ("/order/1", "plain"), ("/draft/1", "model")]
PER_S = 25.0
IO_WAIT_S = 0.002
TIME_LIMIT_S = 120.0


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in virtual time, whatever else the machine does."""

    async def bounded() -> None:
        async with asyncio.timeout(TIME_LIMIT_S):
            await test()

    run_virtual(bounded, IO_WAIT_S)


@attrs.define
class Call:
    """One call as its caller saw it; times of the event loop."""

    number: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    retry_after_s: float | None = None

    @property
    def took_s(self) -> float:
        return self.ended_s - self.sent_s


class Pool:
    """Stand-ins of one pool, with the times at which requests arrived."""

    def __init__(self, pool: str, number: int) -> None:
        self.stand_ins = [
            ReplicaStandIn(f"{pool}-{n}", pool, HEADER_NAMES)
            for n in range(number)
        ]
        self.arrivals: dict[str, list[tuple[int, float]]] = {}
        self.refusing: set[str] = set()
        self.work: Behave = stream if pool == "model" else answer_ok
        for stand_in in self.stand_ins:
            self.attach(stand_in)

    def set_behaviour(self, behave: Behave) -> None:
        """Let all stand-ins answer like that, without recording times."""
        for stand_in in self.stand_ins:
            stand_in.behave = behave

    def attach(self, stand_in: ReplicaStandIn) -> None:
        arrivals = self.arrivals[stand_in.name] = []

        async def behave(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            number = int(request.headers[HEADER_NAMES.request_id][1:])
            arrivals.append((number, asyncio.get_running_loop().time()))
            if stand_in.name in self.refusing:
                await refuse(connection, request)
            else:
                await self.work(connection, request)

        stand_in.behave = behave


async def begin_generation(
    world: RelayHarness, pool: Pool
) -> tuple[asyncio.Task[CallerAnswer], ReplicaStandIn]:
    """Return a call whose first events have arrived, and its engine."""
    calling = asyncio.create_task(world.call("/draft/1", headers=USAGE))
    used = await until_arrived(pool.stand_ins)
    await asyncio.sleep(0.1)
    return calling, used


class Load:
    """Calls at a constant rate."""

    def __init__(self, world: RelayHarness, path: str) -> None:
        self.world = world
        self.path = path
        self.calls: list[Call] = []

    async def run(self, length_s: float, per_s: float = PER_S) -> list[Call]:
        """Return the calls of that time once all of them have ended."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + length_s
        tasks = []
        while loop.time() < until_s:
            call = Call(len(self.calls), loop.time())
            self.calls.append(call)
            tasks.append(asyncio.create_task(self._call(call)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)
        return self.calls[-len(tasks) :]

    async def _call(self, call: Call) -> None:
        answer = await self.world.call(
            self.path, f"r{call.number}", headers=USAGE
        )
        call.ended_s = asyncio.get_running_loop().time()
        call.status = answer.status
        retry_after = answer.headers.get("Retry-After")
        if retry_after is not None:
            call.retry_after_s = float(retry_after)


async def begin_waiting_for_memory(
    world: RelayHarness, pool: Pool
) -> tuple[asyncio.Task[CallerAnswer], asyncio.Task[CallerAnswer]]:
    """Fill the only engine with a generation, and let another one wait."""
    pool.set_behaviour(hang_midway)
    full = [
        f"{HEADER_NAMES.token_usage}: 8000,500",
        f"{HEADER_NAMES.length_hint}: 100",
    ]
    first = asyncio.create_task(world.call("/draft/1", "r1", headers=full))
    await until_arrived(pool.stand_ins)
    second = asyncio.create_task(world.call("/draft/1", "r2", headers=full))
    await asyncio.sleep(0.2)
    assert not second.done()
    return first, second
