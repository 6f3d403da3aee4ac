"""What hosts know of upstreams that gave notice, and from whom."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import cast

import attrs
import pytest
from _host_mesh import LINK_S, HostMesh, MeshHost
from _manual_clock import ManualClock
from _virtual_time import LoopClock, run_virtual

from balsamlift.peers import LeavingNotices
from balsamlift.peers._leaving_notices import (
    FORGOTTEN_S,
    MAX_NOTICES,
    UNLISTED_TTL_S,
)
from balsamlift.peers._messages import LeavingReport

UPSTREAM = "e1"
DRAIN_S = 2.0
KNOWN_S = 1.0  # until all hosts that are in contact know of a notice
PER_S = 25.0  # requests that callers send to all hosts
LENGTH_S = 40.0


@attrs.define(eq=False)
class Host(MeshHost):
    """A host, and when it passed on a notice first."""

    told_s: float | None = None

    @property
    def notices(self) -> LeavingNotices:
        return cast(LeavingNotices, self.table)


class Fleet(HostMesh):
    """Hosts whose only upstream says in all answers that it is leaving."""

    def __init__(self, hosts: int) -> None:
        super().__init__(seed=hosts)
        self.hosts: list[Host] = []
        self.arrivals: list[tuple[float, Host, float | None]] = []
        for number in range(hosts):
            self.hosts.append(self._make_host(number))
        for number in range(hosts):
            self.link(number)

    def mesh_hosts(self) -> Sequence[MeshHost]:
        return self.hosts

    def _make_host(self, number: int) -> Host:
        host = Host(number, LeavingNotices(LoopClock()))
        host.notices.share(host.wake_event.set)
        self.begin_gossip(host)
        return host

    def restart(self, number: int) -> None:
        self.hosts[number] = self._make_host(number)
        self.send_all_to(number)

    async def run(self, length_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + length_s
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(PER_S))
            host = self.rng.choice(self.hosts)
            if not host.is_frozen and not host.notices.has(UPSTREAM):
                self.spawn(self._request(host))

    async def _request(self, host: Host) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(LINK_S)
        self.arrivals.append((loop.time(), host, host.told_s))
        await asyncio.sleep(LINK_S)
        if host.told_s is None:
            host.told_s = loop.time()
        host.notices.record(UPSTREAM, "answer")

    def unaware(self) -> list[str]:
        return [h.name for h in self.hosts if not h.notices.has(UPSTREAM)]


async def calm(fleet: Fleet) -> None:
    pass


async def hosts_restart(fleet: Fleet) -> None:
    for number in range(len(fleet.hosts)):
        await asyncio.sleep(30.0 / len(fleet.hosts))
        fleet.restart(number)


async def some_hosts_freeze(fleet: Fleet) -> None:
    frozen = fleet.hosts[::3]
    for host in frozen:
        host.is_frozen = True
    await asyncio.sleep(20.0)
    for host in frozen:
        host.is_frozen = False
        fleet.send_all_to(host.number)  # as on a link that was lost


async def halves_are_cut_off(fleet: Fleet) -> None:
    for host in fleet.hosts:
        host.side = host.number % 2
    await asyncio.sleep(31.0)
    for host in fleet.hosts:
        host.side = 0
        fleet.send_all_to(host.number)


DISTURBANCES = [calm, hosts_restart, some_hosts_freeze, halves_are_cut_off]


@pytest.mark.parametrize("disturb", DISTURBANCES)
@pytest.mark.parametrize("hosts", [1, 7, 87, 195])
def test_all_hosts_stop_sending_to_an_upstream_that_gave_notice(
    hosts: int, disturb: Callable[[Fleet], Awaitable[None]]
) -> None:
    async def test() -> None:
        fleet = Fleet(hosts)
        disturbing = asyncio.ensure_future(disturb(fleet))
        await fleet.run(LENGTH_S)
        await asyncio.sleep(KNOWN_S)
        disturbing.cancel()
        assert [
            host.name
            for at_s, host, told_s in fleet.arrivals
            if told_s is not None and at_s > told_s + DRAIN_S
        ] == []
        # Also hosts that were out of contact know of it now.
        assert fleet.unaware() == []
        fleet.stop()

    run_virtual(test)


@pytest.mark.parametrize("hosts", [7, 87, 195])
def test_hosts_learn_of_a_notice_before_their_own_request(hosts: int) -> None:
    async def test() -> None:
        fleet = Fleet(hosts)
        while not fleet.arrivals:
            await fleet.run(0.1)
        await asyncio.sleep(KNOWN_S)
        assert fleet.unaware() == []
        before = len(fleet.arrivals)
        await fleet.run(LENGTH_S)
        assert len(fleet.arrivals) == before
        fleet.stop()

    run_virtual(test)


def test_a_report_gives_the_age_of_the_notice() -> None:
    clock, later = ManualClock(100.0), ManualClock(900.0)
    known, other = LeavingNotices(clock), LeavingNotices(later)
    known.record("e1", "answer")
    clock.now_s += 1.5
    other.add(known.changed_since(0))
    assert other.age_s("e1") == pytest.approx(1.5)
    assert other.age_s("e2") is None


def test_a_notice_is_reported_once() -> None:
    notices = LeavingNotices(ManualClock(100.0))
    notices.record("e1", "answer")
    change = notices.change
    notices.record("e1", "answer")
    notices.add([LeavingReport("e1", 700)])
    assert notices.changed_since(change) == []
    notices.record("e2", "answer")
    assert [r.upstream for r in notices.changed_since(change)] == ["e2"]


@pytest.mark.parametrize(
    "report", [LeavingReport("", 0), LeavingReport("e1", -5)]
)
def test_an_invalid_report_changes_nothing(report: LeavingReport) -> None:
    notices = LeavingNotices(ManualClock(100.0))
    notices.add([report])
    assert notices.changed_since(0) == []


def test_notices_are_bounded_in_number() -> None:
    notices = LeavingNotices(ManualClock(100.0))
    for number in range(MAX_NOTICES + 10):
        notices.record(f"e{number}", "answer")
    assert len(notices.changed_since(0)) == MAX_NOTICES
    assert notices.has(f"e{MAX_NOTICES + 9}")


def test_a_notice_holds_until_another_incarnation_is_listed() -> None:
    clock = ManualClock(100.0)
    notices = LeavingNotices(clock)
    notices.record("e1", "answer")
    for written in (7, None, 8, None, 70, None):
        clock.now_s += UNLISTED_TTL_S + 1.0
        notices.prune(lambda _, written=written: written)
        assert notices.has("e1")
    clock.now_s += UNLISTED_TTL_S - 1.0
    notices.prune(lambda _: 1)  # from an older list
    assert notices.has("e1")
    notices.prune(lambda _: None)
    clock.now_s += UNLISTED_TTL_S + 1.0
    notices.prune(lambda _: 1)
    assert not notices.has("e1")


def test_a_notice_is_discarded_long_after_its_upstream_is_gone() -> None:
    clock = ManualClock(100.0)
    notices = LeavingNotices(clock)
    notices.record("e1", "answer")
    notices.prune(lambda _: None)
    clock.now_s += FORGOTTEN_S - 1.0
    notices.prune(lambda _: None)
    assert notices.has("e1")
    clock.now_s += 2.0
    notices.prune(lambda _: None)
    assert not notices.has("e1")


def test_an_older_list_lifts_no_notice_within_a_minute() -> None:
    clock = ManualClock(0.0)
    notices = LeavingNotices(clock)
    notices.record("i-1", "answer")
    for at_s, written in ((1.0, 8), (2.0, None), (61.0, 3)):
        clock.now_s = at_s
        notices.prune(lambda _, written=written: written)
    assert notices.has("i-1")
    for at_s, written in ((70.0, None), (131.0, 3)):
        clock.now_s = at_s
        notices.prune(lambda _, written=written: written)
    assert not notices.has("i-1")
