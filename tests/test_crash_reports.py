"""Bounds on crash reports, and their propagation between hosts.

The simulation exchanges reports between hosts in memory and in virtual time,
with batching, heartbeats and latency like those of peer links.
"""

import asyncio
from collections.abc import Sequence
from typing import cast

import attrs
import pytest
from _host_mesh import HostMesh, MeshHost
from _virtual_time import LoopClock, run_virtual

from balsamlift.metrics import Metrics
from balsamlift.peers import (
    CrashReports,
    HostRank,
    PartReports,
    Upstream,
    Upstreams,
)
from balsamlift.peers._crash_reports import MAX_REPORTS, REPORT_TTL_MS
from balsamlift.peers._messages import PeerMessage, encode_message
from balsamlift.relay.crashes._crash_guard import CrashGuard
from balsamlift.relay.crashes._culprits import CRASH_THRESHOLD
from balsamlift.relay.crashes._part_guard import PartGuard

PROPAGATION_S = 3.0  # within which reports reach a host
CHECK_S = 0.05  # until a host has detected a crash
CONCURRENT_REQUESTS = 6  # harmless, on each upstream that crashes
REPEAT_PROBABILITY = 0.3  # of a harmless request
DURATION_S = 60.0
MAX_LATE_RUNS = 3  # after the third crash and PROPAGATION_S


@attrs.define(eq=False)
class Host(MeshHost):
    """The reports that one host holds, and its crash guard."""

    started_s: float = 0.0
    guard: CrashGuard = attrs.field(init=False)

    @property
    def reports(self) -> CrashReports:
        return cast(CrashReports, self.table)

    def refuses(self, request: str) -> bool:
        return request in self.guard._culprits


class NoUpstreams(Upstreams):
    """An empty list of upstreams."""

    def __init__(self) -> None:
        pass

    def find(self, name: str) -> Upstream | None:
        del name
        return None


NO_UPSTREAMS = NoUpstreams()


class Simulation(HostMesh):
    """Hosts that restart, and a crashing request that is repeated."""

    def __init__(self, hosts: int, seed: int) -> None:
        super().__init__(seed)
        self.hosts: list[Host] = []
        for number in range(hosts):
            self.hosts.append(self._make_host(number, -PROPAGATION_S))
        for number in range(hosts):
            self.link(number)
        self.crash_s: list[float] = []
        self.late_runs = 0
        self.harmless_refused = 0
        self.harmless_runs = 0
        self.to_repeat: list[str] = []  # harmless requests

    def mesh_hosts(self) -> Sequence[MeshHost]:
        return self.hosts

    def _make_host(self, number: int, started_s: float) -> Host:
        clock = LoopClock()
        host = Host(number, CrashReports(clock), started_s=started_s)
        host.reports.start(host.wake_event.set)
        parts = PartGuard(
            PartReports(clock), lambda _: HostRank(0, 1), clock, Metrics()
        )
        host.guard = CrashGuard(host.reports, NO_UPSTREAMS, clock, parts)
        self.begin_gossip(host)
        return host

    async def restart_hosts(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            number = self.rng.randrange(len(self.hosts))
            now_s = asyncio.get_running_loop().time()
            self.hosts[number] = self._make_host(number, now_s)
            self.send_all_to(number)

    def run_harmless_requests(self) -> list[tuple[Host, str]]:
        """Run harmless requests; return those not refused, by host."""
        fresh = [f"h{self.rng.random()}" for _ in range(CONCURRENT_REQUESTS)]
        concurrent = [*self.to_repeat[:CONCURRENT_REQUESTS], *fresh][
            :CONCURRENT_REQUESTS
        ]
        self.to_repeat = self.to_repeat[CONCURRENT_REQUESTS:]
        running = []
        for request in concurrent:
            host = self.rng.choice(self.hosts)
            self.harmless_runs += 1
            if host.refuses(request):
                self.harmless_refused += 1
                continue
            running.append((host, request))
            if self.rng.random() < REPEAT_PROBABILITY:
                self.to_repeat.append(request)
        return running

    async def crash_upstream(self, host: Host, number: int) -> None:
        upstream = f"i-{number}"
        running = self.run_harmless_requests()
        await asyncio.sleep(CHECK_S)
        host.reports.report_crash("bad", upstream, had_output=False)
        for other, request in running:
            other.reports.report_crash(
                request, upstream, had_output=self.rng.random() < 0.8
            )

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        self.spawn(self.restart_hosts())
        while loop.time() < DURATION_S:
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            host = self.rng.choice(self.hosts)
            if host.refuses("bad"):
                continue
            now_s = loop.time()
            self.crash_s.append(now_s)
            is_up_to_date = now_s - host.started_s >= PROPAGATION_S
            third_crash = self.crash_s[CRASH_THRESHOLD - 1 : CRASH_THRESHOLD]
            if (
                third_crash
                and now_s > third_crash[0] + PROPAGATION_S
                and is_up_to_date
            ):
                self.late_runs += 1
            await self.crash_upstream(host, len(self.crash_s))
        self.stop()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("hosts", [7, 87, 195])
def test_a_crashing_request_is_refused_by_all_hosts(
    hosts: int, seed: int
) -> None:
    """Guards against restarted hosts that run a known crashing request.

    A restarted host has no reports until its peers send them.
    """
    simulations: list[Simulation] = []

    async def main() -> None:
        simulations.append(Simulation(hosts, seed))
        await simulations[0].run()

    run_virtual(main)
    (simulation,) = simulations
    assert len(simulation.crash_s) >= CRASH_THRESHOLD
    assert simulation.late_runs <= MAX_LATE_RUNS
    assert simulation.harmless_runs
    assert simulation.harmless_refused == 0


def create_reports(count: int) -> CrashReports:
    created: list[CrashReports] = []

    async def main() -> None:
        reports = CrashReports(LoopClock())
        for number in range(count):
            reports.report_crash(f"r{number}", "i-1", had_output=False)
        created.append(reports)

    run_virtual(main)
    return created[0]


def test_reports_are_bounded_in_number() -> None:
    reports = create_reports(MAX_REPORTS + 10)
    assert len([*reports._table]) == MAX_REPORTS


def test_forwarded_reports_expire_at_about_the_same_time() -> None:
    async def main() -> None:
        one, other = CrashReports(LoopClock()), CrashReports(LoopClock())
        one.report_crash("r", "i-1", had_output=False)
        await asyncio.sleep(REPORT_TTL_MS / 1_000 - 1)
        other.add(one.changed_since(0))
        assert len(other.all()) == 1
        await asyncio.sleep(2)
        assert other.all() == []
        assert one.all() == []
        one.add(other.changed_since(0))
        assert one.all() == []

    run_virtual(main)


def test_a_report_is_sent_once_in_fewer_than_80_bytes() -> None:
    async def main() -> None:
        reports = CrashReports(LoopClock())
        reports.report_crash("0" * 24, "i-0123456789ab", had_output=True)
        sent_change = reports.change
        reports.report_crash("0" * 24, "i-0123456789ab", had_output=True)
        assert reports.changed_since(sent_change) == []
        message = PeerMessage("h", "i", 1, 0, 0, False, "", 0, False, False)
        without = len(encode_message(message))
        message = PeerMessage(
            *("h", "i", 1, 0, 0, False, "", 0, False, False),
            crash_reports=reports.changed_since(0),
        )
        assert len(encode_message(message)) - without < 80

    run_virtual(main)
