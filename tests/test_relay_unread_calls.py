"""What hosts together send to an upstream that stops, in virtual time."""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable, Sequence
from types import SimpleNamespace
from typing import cast

import attrs
import pytest
from _listed_engines import SCOPE, ListedEngines
from _shared_counts import SEND_DELAY_S, Counts, HostCounts
from _virtual_time import LoopClock, run_virtual

from balsamlift.peers import (
    CountsBasis,
    Peers,
    Permits,
    SilenceReports,
    Upstream,
    Upstreams,
)
from balsamlift.peers._messages import SilenceReport
from balsamlift.relay._balance import Balancer
from balsamlift.relay._request import Call
from balsamlift.relay._upstream_chooser import Silent, UpstreamChooser

UPSTREAMS = 6
SLOTS = 6
MOST = SLOTS + 2
WORK_S = (0.03, 0.3)
TIMEOUT_S = 4.0
HEARTBEAT_S = 1.0
FAN_OUT = 9  # hosts of which each receives the counts of all others
RECENT_S = 0.2
FORWARD_S = 0.03  # until a report has reached all hosts
CONNECT_S = 0.001
BURST = 72
STOP_S = 3.0
LISTED_S = 3.6  # after its stop
LENGTH_S = STOP_S + LISTED_S
SLOW_WORK_S = (0.1, 0.8)  # 90 calls a second are more than fits
KEPT_SHARE = 0.9


class Listed(ListedEngines):
    """Upstreams that say how many requests they run."""

    def __init__(self) -> None:
        super().__init__({f"u{n}": "north" for n in range(UPSTREAMS)})
        self._upstreams = [
            attrs.evolve(upstream, slots=SLOTS) for upstream in self._upstreams
        ]


class AgedCounts(HostCounts):
    """Counts that are as old as those of hosts, few or many."""

    def __init__(self, counts: Counts, host: int) -> None:
        super().__init__(counts, host)
        self.is_full_mesh = counts.hosts <= FAN_OUT
        self._sent = self._received = 0
        self._refreshed_s = -HEARTBEAT_S

    @property
    def counts_basis(self) -> CountsBasis:
        if self.is_full_mesh:
            return "heard"
        now_s = asyncio.get_running_loop().time()
        is_recent = now_s < self._refreshed_s + RECENT_S
        return "gathered" if is_recent else "old"

    def in_flight(self, upstream: str) -> int:
        if self.is_full_mesh:
            return self._counts.sums(self._host)[upstream]
        return super().in_flight(upstream)

    def send_counts(self) -> None:
        self._sent += 1
        asyncio.get_running_loop().call_later(
            SEND_DELAY_S, self._receive, self._sent, dict(self._own)
        )

    def _receive(self, number: int, counts: dict[str, int]) -> None:
        if number > self._received:  # timers of one moment run in any order
            self._received = number
            self._counts.by_host[self._host] = counts

    async def refresh_counts(self) -> None:
        if self.is_full_mesh:
            return
        await asyncio.sleep(SEND_DELAY_S / 2)
        self._counts.by_host[self._host] = dict(self._own)
        others = self._counts.sums(self._host)
        await asyncio.sleep(SEND_DELAY_S / 2)
        self._others = others
        self._refreshed_s = asyncio.get_running_loop().time()


class GrantedPermits:
    """Permits of upstreams that name no limit."""

    async def acquire(self, upstream: str) -> SimpleNamespace:
        return SimpleNamespace(is_granted=True)


class World:
    """Hosts that share upstreams, one of which may stop."""

    def __init__(self, hosts: int, seed: int) -> None:
        self.rng = random.Random(seed)
        counts = Counts(hosts)
        self.peers = [AgedCounts(counts, host) for host in range(hosts)]
        self.silences = [SilenceReports(LoopClock()) for _ in range(hosts)]
        for reports in self.silences:
            reports.on_new_reports(functools.partial(self._forward, reports))
        self.balancers = [
            Balancer(
                cast(Upstreams, Listed()),
                cast(Peers, peer),
                LoopClock(),
                random.Random(f"{seed}/{host}"),
                "north",
                silences=self.silences[host],
            )
            for host, peer in enumerate(self.peers)
        ]
        self.choosers = [
            UpstreamChooser(balancer, cast(Permits, GrantedPermits()))
            for balancer in self.balancers
        ]
        self.slots = {
            f"u{n}": asyncio.Semaphore(SLOTS) for n in range(UPSTREAMS)
        }
        self.work_s = WORK_S
        self.stopped = ""
        self.calls = 0
        self.served = 0
        self.unread_s: list[float] = []  # when each was sent

    def _forward(
        self, own: SilenceReports, new: Sequence[SilenceReport]
    ) -> None:
        for other in self.silences:
            if other is not own:
                asyncio.get_running_loop().call_later(
                    FORWARD_S, other.add, new
                )

    async def send_heartbeats(self, host: int) -> None:
        await asyncio.sleep(self.rng.uniform(0, HEARTBEAT_S))
        while True:
            self.peers[host].send_counts()
            await self.peers[host].refresh_counts()
            self.balancers[host].discard_expired()
            await asyncio.sleep(HEARTBEAT_S)

    async def call(self, host: int) -> None:
        self.calls += 1
        until_s = asyncio.get_running_loop().time() + TIMEOUT_S
        call = SimpleNamespace(
            scope=SCOPE, service=SCOPE.pool, timeout_at_s=until_s
        )
        chosen = await self.choosers[host].choose(cast(Call, call), ())
        if isinstance(chosen, Silent):
            return
        assert isinstance(chosen, Upstream)
        balancer = self.balancers[host]
        with balancer.count_in_flight(chosen.name, 1):
            if balancer.is_silent(chosen.name):
                balancer.publish()
            await asyncio.sleep(CONNECT_S)
            request = balancer.unanswered.open(chosen)
            try:
                async with asyncio.timeout_at(until_s):
                    await self._work(chosen.name)
            except TimeoutError:
                request.give_up()
                return
            request.record_bytes()
            request.end()
        self.served += 1

    async def _work(self, name: str) -> None:
        if name == self.stopped:
            self.unread_s.append(asyncio.get_running_loop().time())
        async with self.slots[name]:
            await asyncio.sleep(self.rng.uniform(*self.work_s))
        if name == self.stopped:
            await asyncio.Event().wait()

    async def run(self, arrivals: Callable[[], Awaitable[None]]) -> None:
        """Run hosts until their calls have ended."""
        heartbeats = [
            asyncio.create_task(self.send_heartbeats(host))
            for host in range(len(self.peers))
        ]
        await arrivals()
        for heartbeat in heartbeats:
            heartbeat.cancel()
        await asyncio.gather(*heartbeats, return_exceptions=True)

    async def send_burst(self, calls: int) -> None:
        """Send calls at once, by all hosts."""
        hosts = len(self.peers)
        await asyncio.gather(*(self.call(n % hosts) for n in range(calls)))

    async def send_calls(self, calls_per_s: float, length_s: float) -> None:
        """Send calls at a rate, each by some host."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + length_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < until_s:
                host = self.rng.randrange(len(self.peers))
                group.create_task(self.call(host))
                await asyncio.sleep(self.rng.expovariate(calls_per_s))


def test_a_burst_that_meets_a_stop_leaves_few_calls_unread() -> None:
    async def check() -> None:
        world = World(hosts=4, seed=1)
        world.stopped = "u0"
        await world.run(lambda: world.send_burst(BURST))
        assert 0 < len(world.unread_s) <= MOST
        assert world.served + len(world.unread_s) == BURST

    run_virtual(check)


def test_calls_of_many_hosts_leave_few_unread_at_a_stop() -> None:
    async def check() -> None:
        world = World(hosts=20, seed=3)

        def stop() -> None:
            world.stopped = "u0"

        asyncio.get_running_loop().call_later(STOP_S, stop)
        await world.run(lambda: world.send_calls(200.0, LENGTH_S))
        unread_s = [at_s for at_s in world.unread_s if at_s <= LENGTH_S]
        assert 0 < len(unread_s) <= MOST

    run_virtual(check)


@pytest.mark.parametrize("hosts", [4, 9])
def test_slow_upstreams_that_answer_get_what_they_can_run(hosts: int) -> None:
    async def check() -> None:
        world = World(hosts, seed=1)
        world.work_s = SLOW_WORK_S
        await world.run(lambda: world.send_calls(90.0, LENGTH_S))
        assert world.served >= KEPT_SHARE * world.calls

    run_virtual(check)
