"""Callers of several hosts, some of which send what crashes engines."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Coroutine, Sequence

import attrs
from _relay_fleet import CuttableHost
from _relay_helpers import USAGE

from balsamlift.testing._replica import event
from balsamlift.testing.relay import (
    HEADER_NAMES,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

ENGINES = 8
EVENTS = 10
EVENT_GAP_S = 0.02
BEGIN_S = 0.03  # from the head of a response to its first event
RESTART_S = 2.0
SOUND_PER_S, CRASHING_PER_S = 14.0, 4.0
FIRST_PART = "aa01"
SHARED_PARTS = ["bb01", "bb02", "bb03"]
CONTACT_S = 3.0
CRASHES = 5  # after which the bounds count


@attrs.define
class Sent:
    """One request as its caller saw it."""

    at_s: float
    is_crashing: bool
    status: int = 0  # 0: no answer
    is_whole: bool = False
    ended_s: float = 0.0
    events: int = 0


@attrs.define
class Arrival:
    """One request at an engine."""

    part: str  # that crashes engines
    at_s: float


@attrs.define(kw_only=True)
class Crowd:
    """Sound and crashing requests that share their key and other parts."""

    hosts: Sequence[CuttableHost]
    engines: Sequence[ReplicaStandIn]
    crashing_parts: Sequence[str] = ("c0de",)
    # Where the crashing part stands in a prompt, before the last part.
    position: int = 1
    crash_after_events: int = 0
    is_framed: bool = True
    sound_events: int = EVENTS
    sent: list[Sent] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    crashes_s: list[float] = attrs.field(factory=list)
    rng: random.Random = attrs.field(factory=lambda: random.Random(5))
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Let the engines answer, and crash."""
        for engine in self.engines:
            engine.behave = self._behave_as(engine)

    async def run(self, sound_s: float, crashing_s: float) -> None:
        """Send sound requests alone, then crashing ones beside them."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + sound_s + crashing_s
        from_s = loop.time() + sound_s
        await asyncio.gather(
            self._send_until(until_s, SOUND_PER_S, is_crashing=False),
            self._send_from(from_s, until_s),
        )
        for task in list(self._tasks):
            await task

    async def crash(self, engine: ReplicaStandIn) -> None:
        """Let an engine crash and come back under another name."""
        self.crashes_s.append(asyncio.get_running_loop().time())
        address = engine.address
        engine.crash()
        await asyncio.sleep(RESTART_S)
        engine.name = f"engine-{next(self._numbers)}-again"
        await engine.start(address)

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Start work that `run` waits for."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def bound_s(self) -> float:
        """Return the time of the crash from which the bounds count."""
        return self.crashes_s[:CRASHES][-1]

    def late_arrivals(self, part: str = "c0de") -> int:
        """Return the arrivals that came too late after the fifth crash."""
        if len(self.crashes_s) < CRASHES:
            return 0
        late_s = self.bound_s + CONTACT_S
        return sum(a.part == part and a.at_s > late_s for a in self.arrivals)

    def sound_share(self, from_s: float, until_s: float) -> float:
        """Return the part of the sound requests that were served at once."""
        sound = [
            s
            for s in self.sent
            if not s.is_crashing and from_s <= s.at_s < until_s
        ]
        served = sum(s.is_whole and s.status == 200 for s in sound)
        return served / len(sound)

    async def _send_from(self, from_s: float, until_s: float) -> None:
        if from_s >= until_s:
            return
        loop = asyncio.get_running_loop()
        await asyncio.sleep(from_s - loop.time())
        await self._send_until(until_s, CRASHING_PER_S, is_crashing=True)

    async def _send_until(
        self, until_s: float, per_s: float, *, is_crashing: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            self.start(self._send_one(is_crashing))
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) / per_s)

    async def _send_one(self, is_crashing: bool) -> None:
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        sent = Sent(loop.time(), is_crashing)
        self.sent.append(sent)
        parts = [FIRST_PART, self.rng.choice(SHARED_PARTS), f"dd{number:06x}"]
        if is_crashing:
            part = self.crashing_parts[number % len(self.crashing_parts)]
            parts.insert(self.position, part)
        listed = ",".join(f"{part}:100" for part in parts)
        host = self.rng.choice(self.hosts)
        try:
            answer = await host.relay.call(
                "/draft/1",
                f"r{number}",
                body=b"body %d" % number,
                headers=[*USAGE, f"{HEADER_NAMES.prompt_parts}: {listed}"],
            )
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            sent.ended_s = loop.time()
        sent.status = answer.status
        sent.is_whole = answer.is_whole
        sent.events = answer.body.count(b"id: ")

    def _behave_as(
        self, engine: ReplicaStandIn
    ) -> Callable[[ReplicaConnection, ReplicaRequest], Awaitable[None]]:
        async def behave(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            part = self._crashing_part(request)
            if part:
                now_s = asyncio.get_running_loop().time()
                self.arrivals.append(Arrival(part, now_s))
            await self._begin(connection, request)
            await asyncio.sleep(BEGIN_S)
            for number in range(self.sound_events):
                if part and number == self.crash_after_events:
                    self.start(self.crash(engine))
                    await asyncio.sleep(1)  # ended by the crash
                data = event(number)
                await (
                    connection.chunk(data)
                    if self.is_framed
                    else connection.send(data)
                )
                await asyncio.sleep(EVENT_GAP_S)
            if self.is_framed:
                await connection.end_stream()
            else:
                connection.writer.close()

        return behave

    async def _begin(
        self, connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        if self.is_framed:
            await connection.begin_stream(request)
        else:
            await connection.head(
                request, 200, "Content-Type: text/event-stream"
            )

    def _crashing_part(self, request: ReplicaRequest) -> str:
        parts = request.headers.get(HEADER_NAMES.prompt_parts, "")
        listed = [part.partition(":")[0] for part in parts.split(",")]
        found = [part for part in self.crashing_parts if part in listed]
        return found[0] if found else ""


def make_engines(number: int = ENGINES) -> list[ReplicaStandIn]:
    """Return engines of the pool for generations."""
    return [
        ReplicaStandIn(f"engine-{n}", "model", HEADER_NAMES)
        for n in range(number)
    ]
