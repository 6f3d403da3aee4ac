"""Data that hosts pass on to one that the platform refuses."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.exceptions import HostsUnavailableError
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import OperatorsServer
from balsamlift.peers import (
    ENTRY_ROLE,
    UPSTREAM_ROLE,
    EvacuationSnapshot,
    ListEntry,
    Peers,
    Upstreams,
)
from balsamlift.peers._shared_records import SEND_BURST_BYTES
from balsamlift.peers._sharing import SEND_LARGE_AFTER_S
from balsamlift.relay import Routing
from balsamlift.settings import (
    PeerSettings,
    PlatformSettings,
    PoolSettings,
    Settings,
)
from balsamlift.testing.relay import configuration
from balsamlift.timeline import Timeline

DEADLINE_S = 15.0


class SkippingClock(SystemClock):
    """A clock whose monotonic time can be advanced."""

    skipped_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.skipped_s


def engine(name: str, state: str = "live") -> ListEntry:
    return ListEntry(
        name=name,
        role=UPSTREAM_ROLE,
        pool="p",
        address="127.0.0.1:9",
        failure_domain="north",
        state=state,
        kind="service",
    )


class FakeList:
    """A list of upstreams that can be unavailable."""

    is_complete = False

    def __init__(self) -> None:
        self.entries: list[ListEntry] = []
        self.is_down = False
        self.reads = 0

    async def read(
        self, max_wait_ms: int | None = None
    ) -> list[ListEntry] | None:
        self.reads += 1
        if self.is_down:
            raise HostsUnavailableError("list is unavailable")
        return list(self.entries)


class Host:
    """One host with peers, upstreams and a configuration."""

    def __init__(self, name: str) -> None:
        settings = Settings(
            host=name,
            failure_domain="d1",
            callers_address="127.0.0.1:0",
            operators_address="127.0.0.1:0",
            peers_address="127.0.0.1:0",
            platform=PlatformSettings(
                log_address="127.0.0.1:9",
                hosts_address="127.0.0.1:9",
                hosts_poll_ms=20,
            ),
            pools={"q": PoolSettings(kind="service")},
            peers=PeerSettings(heartbeat_ms=50, silence_ms=1_000),
        )
        self.clock = SkippingClock()
        self.list = FakeList()
        self.routing = Routing()
        self.upstreams = Upstreams(
            settings, self.clock, HttpClient(max_calls=1), self.list
        )
        self.peers = Peers(
            settings, "first", "127.0.0.1:1", self.clock, random.Random(name)
        )
        self.peers.sharing.connect(lambda: self.routing.encoded, self.take)
        self.kernel = Kernel()
        for service in (
            OperatorsServer("127.0.0.1:0"),
            Timeline(name, self.clock, 100),
            Metrics(),
            self.routing,
            self.upstreams,
            self.peers,
        ):
            self.kernel.register(service)

    def take(self, data: bytes) -> None:
        self.routing.offer(configuration(int(data)), data, "peer")

    def entry(self) -> ListEntry:
        return ListEntry(
            name=self.peers.own.host,
            role=ENTRY_ROLE,
            peers_address=self.peers.address,
        )

    def names(self) -> set[str]:
        return {u.name for u in self.upstreams.in_pool("p")}

    async def reads(self, number: int = 3) -> None:
        """Wait for `number` more reads of the list."""
        wanted = self.list.reads + number
        await until(lambda: self.list.reads >= wanted)


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(DEADLINE_S):
        while not condition():
            await asyncio.sleep(0.01)


def run(scenario: Callable[[Host, Host], Awaitable[None]]) -> None:
    async def main() -> None:
        one, two = Host("one"), Host("two")
        listed = [one.entry(), two.entry(), engine("e1"), engine("e2")]
        for host in (one, two):
            host.list.entries = list(listed)
            await host.kernel.start()
        try:
            await until(lambda: one.peers.live() and two.peers.live())
            await scenario(one, two)
        finally:
            await one.kernel.stop()
            await two.kernel.stop()

    asyncio.run(main())


def test_a_refused_host_receives_the_configuration() -> None:
    async def scenario(one: Host, two: Host) -> None:
        two.list.is_down = True
        one.take(b"5")
        await until(lambda: two.routing.offset == 5)
        one.take(b"9")
        await until(lambda: two.routing.offset == 9)

    run(scenario)


def test_a_refused_host_receives_new_upstreams() -> None:
    async def scenario(one: Host, two: Host) -> None:
        two.list.is_down = True
        await until(lambda: two.upstreams.is_list_unavailable)
        one.list.entries += [engine("e3")]
        await until(lambda: "e3" in two.names())

    run(scenario)


def test_a_refused_host_removes_upstreams() -> None:
    async def scenario(one: Host, two: Host) -> None:
        two.list.is_down = True
        await until(lambda: two.upstreams.is_list_unavailable)
        one.list.entries = [e for e in one.list.entries if e.name != "e1"]
        await until(lambda: two.names() == {"e2"})

    run(scenario)


def test_a_host_that_reads_the_list_receives_no_entries() -> None:
    async def scenario(one: Host, two: Host) -> None:
        two.list.entries = [e for e in two.list.entries if e.name != "e2"]
        await until(lambda: two.names() == {"e1"})
        await two.reads()
        assert two.names() == {"e1"}

    run(scenario)


def test_a_removed_upstream_gets_no_more_work() -> None:
    async def scenario(one: Host, two: Host) -> None:
        one.list.entries = [e for e in one.list.entries if e.name != "e1"]
        await until(lambda: one.names() == {"e2"})

    run(scenario)


def test_entries_missing_after_an_outage_are_kept_for_a_grace_period() -> None:
    async def scenario(one: Host, two: Host) -> None:
        for host in (one, two):
            host.list.is_down = True
            await until(lambda host=host: host.upstreams.is_list_unavailable)
        for host in (one, two):
            host.list.entries = host.list.entries[:2]
            host.list.is_down = False
        await one.reads()
        assert one.names() == {"e1", "e2"}
        one.list.entries += [engine("e1")]
        await one.reads()
        one.clock.skipped_s = 2.5
        await until(lambda: one.names() == {"e1"})

    run(scenario)


def test_the_list_overrides_an_outdated_report_of_a_peer() -> None:
    """A host that was cut off may report a live upstream as gone."""

    async def scenario(one: Host, two: Host) -> None:
        two.list.entries = [e for e in two.list.entries if e.name != "e1"]
        await until(lambda: one.names() == {"e2"})
        two.list.entries += [engine("e1")]
        await until(lambda: two.names() == {"e1", "e2"})
        one.clock.skipped_s = 4.0
        await until(lambda: one.names() == {"e1", "e2"})

    run(scenario)


def test_a_notice_reaches_another_host_whose_list_does_not_lift_it() -> None:
    async def scenario(one: Host, two: Host) -> None:
        one.upstreams.leaving_notices.record("e1", "answer")
        await until(lambda: two.names() == {"e2"})
        two.clock.skipped_s = 40.0
        reads = two.list.reads
        await until(lambda: two.list.reads > reads + 2)
        assert two.names() == {"e2"}

    run(scenario)


def test_a_refused_host_receives_evacuations() -> None:
    async def scenario(one: Host, two: Host) -> None:
        one.upstreams.evacuations.offer(
            EvacuationSnapshot(4, ["north"]), "store"
        )
        await until(lambda: two.upstreams.evacuations.domains)
        assert two.names() == set()
        assert len(two.upstreams.evacuated("p")) == 2
        one.upstreams.evacuations.offer(EvacuationSnapshot(7, []), "store")
        await until(lambda: two.names() == {"e1", "e2"})
        assert two.upstreams.evacuated("p") == []

    run(scenario)


def test_evacuations_are_applied_before_the_configuration() -> None:
    """A host that starts in an outage gets both from other hosts."""

    async def scenario(one: Host, two: Host) -> None:
        one.upstreams.evacuations.offer(
            EvacuationSnapshot(4, ["north"]), "store"
        )
        known: list[frozenset[str]] = []
        two.routing.on_change(
            lambda _: known.append(two.upstreams.evacuations.domains)
        )
        one.take(b"5")
        await until(lambda: two.routing.offset == 5)
        assert known == [{"north"}]

    run(scenario)


def test_a_large_configuration_is_sent_only_after_a_delay() -> None:
    """Guard against many peers sending it at once over a small link.

    That would delay all other traffic.
    """

    async def scenario(one: Host, two: Host) -> None:
        one.take(b"5")
        one.routing.encoded = b"5".ljust(int(SEND_BURST_BYTES) + 1)
        lagged_s = time.monotonic()
        await until(lambda: two.routing.offset == 5)
        assert time.monotonic() - lagged_s >= SEND_LARGE_AFTER_S

    run(scenario)
