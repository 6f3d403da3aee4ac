"""Hosts whose guards share crash reports, beside engines, in virtual time."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from typing import cast

import attrs
from _host_mesh import HostMesh, MeshHost
from _virtual_time import LoopClock

from balsamlift.metrics import Metrics
from balsamlift.peers import HostRank, PartReports
from balsamlift.peers._host_ranks import find_rank
from balsamlift.relay._request import Call
from balsamlift.relay.crashes._crash_detector import BrokenCall
from balsamlift.relay.crashes._part_guard import PartGuard, Verdict

CONTACT_S = 3.0
CRASHES = 5  # after which the bounds count
CHECK_S = 0.055  # until a host knows of a crash
AWAY_S = 4.0
BEGIN_S = 0.05  # from the head of a response to its first output
SOUND_S = 2.0  # after which a running request is sound
SHARED_PARTS = 6
RESTART_INTERVAL_S = 2.0


@attrs.define(eq=False)
class Host(MeshHost):
    """A host with a guard."""

    started_s: float = 0.0
    guard: PartGuard = attrs.field(init=False)


@attrs.frozen
class FakeCall:
    """What a guard needs of a call."""

    request_id: str
    prompt_parts: tuple[str, ...]


@attrs.define(eq=False)
class Running:
    """A request at an engine."""

    host: Host
    call: FakeCall
    has_begun: bool = False
    had_output: bool = False


@attrs.define(eq=False)
class Engine:
    """An engine, until it crashes."""

    name: str
    running: list[Running] = attrs.field(factory=list)


@attrs.frozen
class Asked:
    """A request and what its host decided."""

    at_s: float
    culprits: tuple[str, ...]
    verdict: Verdict
    is_in_touch: bool


@attrs.define(kw_only=True)
class Crowd:
    """Who asks for what, and what crashes."""

    sound_per_s: float = 20.0
    crashing_per_s: float = 2.0
    culprits: tuple[str, ...] = ("culprit",)
    longest_s: float = 2.0
    new_part_share: float = 0.1  # of sound requests, in groups of a few
    own_crashes_per_s: float = 0.0
    engines: int = 12
    crash_after_output: bool = False
    from_s: float = 5.0  # sound requests only before


class Fleet(HostMesh):
    """Hosts and engines under a crowd."""

    def __init__(self, hosts: int, seed: int, crowd: Crowd) -> None:
        super().__init__(seed=seed)
        self.crowd = crowd
        self._numbers = itertools.count()
        self.hosts: list[Host] = []
        self.engines = [self._make_engine() for _ in range(crowd.engines)]
        self.crashes_s: dict[str, list[float]] = {}
        self.asked: list[Asked] = []
        for number in range(hosts):
            self.hosts.append(self._make_host(number, -CONTACT_S))
        for number in range(hosts):
            self.link(number)

    def mesh_hosts(self) -> Sequence[MeshHost]:
        return self.hosts

    async def run(self, length_s: float, *, restarts: bool = False) -> None:
        self.spawn(self._send_sound())
        self.spawn(self._send_crashing())
        self.spawn(self._crash_by_itself())
        self.spawn(self._discard_expired())
        if restarts:
            self.spawn(self._restart_hosts())
        await asyncio.sleep(length_s)
        self.stop()

    def late_arrivals(self, culprit: str) -> int:
        """Return the requests sent too late after the fifth crash."""
        crashes_s = self.crashes_s.get(culprit, [])
        if len(crashes_s) < CRASHES:
            return 0
        late_s = crashes_s[CRASHES - 1] + CONTACT_S
        return sum(
            culprit in asked.culprits
            and asked.verdict == "allowed"
            and asked.is_in_touch
            and asked.at_s > late_s
            for asked in self.asked
        )

    def sound(self, verdict: Verdict, from_s: float = 0.0) -> int:
        """Return the sound requests that got a verdict."""
        return sum(
            not asked.culprits
            and asked.verdict == verdict
            and asked.at_s >= from_s
            for asked in self.asked
        )

    # Hosts

    def _make_host(self, number: int, started_s: float) -> Host:
        reports = PartReports(LoopClock())
        host = Host(number, reports, started_s=started_s)
        reports.start(host.wake_event.set)
        host.guard = PartGuard(
            reports,
            lambda part: self._rank(number, part),
            LoopClock(),
            Metrics(),
        )
        self.begin_gossip(host)
        return host

    def _rank(self, number: int, part: str) -> HostRank:
        others = [h.name for h in self.hosts if h.number != number]
        return find_rank(self.hosts[number].name, others, part)

    async def _restart_hosts(self) -> None:
        while True:
            await asyncio.sleep(RESTART_INTERVAL_S)
            number = self.rng.randrange(len(self.hosts))
            self.hosts[number] = self._make_host(number, self._now_s())
            self.send_all_to(number)

    async def _discard_expired(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for host in self.hosts:
                host.guard.discard_expired()

    # Engines

    def _make_engine(self) -> Engine:
        return Engine(f"i-{next(self._numbers)}")

    async def _crash_by_itself(self) -> None:
        if not self.crowd.own_crashes_per_s:
            return
        while True:
            await asyncio.sleep(1 / self.crowd.own_crashes_per_s)
            if self.engines:
                self.spawn(self._crash(self.rng.choice(self.engines)))

    async def _crash(self, engine: Engine) -> None:
        if engine not in self.engines:
            return
        self.engines.remove(engine)
        running, engine.running = engine.running, []
        await asyncio.sleep(CHECK_S)
        for each in running:
            if self.hosts[each.host.number] is each.host:
                each.host.guard.record_crash(
                    BrokenCall(
                        "",
                        each.call.request_id,
                        each.call.prompt_parts,
                        engine.name,
                        each.had_output,
                        each.has_begun,
                    )
                )
        await asyncio.sleep(AWAY_S - CHECK_S)
        self.engines.append(self._make_engine())

    # Requests

    async def _send_sound(self) -> None:
        group, left = "", 0
        while True:
            await asyncio.sleep(self.rng.expovariate(self.crowd.sound_per_s))
            parts = ["first", f"shared-{self.rng.randrange(SHARED_PARTS)}"]
            if left == 0 and self.rng.random() < self.crowd.new_part_share / 4:
                group, left = f"new-{next(self._numbers)}", 4
            if left:
                parts.append(group)
                left -= 1
            self._ask(tuple(parts), ())

    async def _send_crashing(self) -> None:
        await asyncio.sleep(self.crowd.from_s)
        if not self.crowd.culprits:
            return
        while True:
            await asyncio.sleep(
                self.rng.expovariate(self.crowd.crashing_per_s)
            )
            parts = ["first", f"shared-{self.rng.randrange(SHARED_PARTS)}"]
            culprit = self.rng.choice(self.crowd.culprits)
            parts.insert(self.rng.randrange(3), culprit)
            self._ask(tuple(parts), (culprit,))

    def _ask(self, parts: tuple[str, ...], culprits: tuple[str, ...]) -> None:
        if not self.engines:
            return
        host = self.rng.choice(self.hosts)
        call = FakeCall(f"r{next(self._numbers)}", parts)
        verdict = host.guard.check(cast(Call, call))
        now_s = self._now_s()
        is_in_touch = now_s - host.started_s >= CONTACT_S
        self.asked.append(Asked(now_s, culprits, verdict, is_in_touch))
        if verdict == "allowed":
            self.spawn(self._run(Running(host, call), culprits))

    async def _run(self, running: Running, culprits: tuple[str, ...]) -> None:
        engine = min(self.engines, key=lambda each: len(each.running))
        engine.running.append(running)
        await asyncio.sleep(self.rng.uniform(0.01, 0.1))
        running.has_begun = True
        await asyncio.sleep(BEGIN_S)
        running.had_output = self.crowd.crash_after_output or not culprits
        if running not in engine.running:
            return
        if culprits:
            self.crashes_s.setdefault(culprits[0], []).append(self._now_s())
            await self._crash(engine)
            return
        length_s = self.rng.uniform(0.1, self.crowd.longest_s)
        await asyncio.sleep(min(length_s, SOUND_S))
        if running in engine.running:
            running.host.guard.record_run(cast(Call, running.call))
        await asyncio.sleep(max(length_s - SOUND_S, 0.0))
        if running in engine.running:
            engine.running.remove(running)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
