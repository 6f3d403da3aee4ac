"""Many hosts follow the store through a few: number of calls, and delays.

The tests use the real followers, exchanges and limits. The store and the
connections between hosts are simulated in virtual time.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
from _virtual_time import LoopClock, run_virtual
from test_platform_decode import SETTINGS

from balsamlift.exceptions import HistoryLostError, StoreError
from balsamlift.metrics import Metrics
from balsamlift.peers import (
    Evacuations,
    EvacuationSnapshot,
    FallbackReads,
    Follower,
    Record,
    RecordBatch,
    RecordSources,
    SharedRecords,
)
from balsamlift.peers._aggregation import (
    ANSWER_TIMEOUT_MS,
    AggregatorHost,
    CountsAggregation,
)
from balsamlift.peers._host_ranks import is_reader, rank_hosts
from balsamlift.peers._host_roles import RECORD_READERS
from balsamlift.peers._messages import CountsSums, CountsUpdate
from balsamlift.peers._shared_records import is_too_large_to_send
from balsamlift.platform._decode import decode_evacuations
from balsamlift.platform._settings import NodeSettings, decode_node_settings

CALL_S = 0.005
SILENCE_S = 1.0  # timeout of a call without an answer
PAUSE_S = 0.2  # after a read, whether or not it succeeded
DEAD_S = 1.5  # until all hosts have detected a dead one
KNOWN_WITHIN_S = 60.0  # otherwise, virtual time would pass forever
LINK_BYTES_PER_S = 600_000.0  # of the smallest hosts, half in use
LISTED_FACTOR = 4 / 3  # in base64
NO_HOSTS: frozenset[str] = frozenset()
CONFIGURATION, LISTED = "configuration", "listed"


def node_settings(bound_ms: int, contact_ms: int) -> NodeSettings:
    bounds = {
        "ConfigApplyMs": bound_ms,
        "DrainMs": bound_ms,
        "ContactMs": contact_ms,
    }
    fields = {**SETTINGS, "Bounds": {**SETTINGS["Bounds"], **bounds}}
    return decode_node_settings(fields, "settings.toml")


LARGE = node_settings(4_000, 5_000)
GROWN = node_settings(3_000, 4_000)


class Store:
    """A store of two topics that can refuse or ignore some hosts."""

    def __init__(self) -> None:
        self.records: dict[str, list[Record]] = {CONFIGURATION: [], LISTED: []}
        self.changed = asyncio.Event()
        self.version_bytes = 1
        self.calls = 0
        self.configuration_bytes_read = 0
        self.refused: frozenset[str] = NO_HOSTS
        self.unanswered: frozenset[str] = NO_HOSTS
        self.era = 1

    def append(self, topic: str) -> int:
        return self._append(topic, "k", b"%d" % len(self.records[topic]))

    def evacuate(self, failure_domain: str) -> None:
        self._append(CONFIGURATION, f"evacuate/{failure_domain}", b"{}")

    def end_evacuation(self, failure_domain: str) -> None:
        self._append(CONFIGURATION, f"evacuate/{failure_domain}", None)

    def _append(self, topic: str, key: str, value: bytes | None) -> int:
        records = self.records[topic]
        records.append(Record(key, value, len(records)))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records)

    def restore(self, kept: int) -> None:
        """Restore a copy with the first `kept` records of each topic."""
        self.era += 1
        for records in self.records.values():
            del records[kept:]
        self.changed.set()
        self.changed = asyncio.Event()

    def newest(self, topic: str) -> RecordBatch:
        newest = {record.key: record for record in self.records[topic]}
        kept = [r for r in newest.values() if r.value is not None]
        return RecordBatch(kept, len(self.records[topic]), self.era)

    def evacuated(self) -> frozenset[str]:
        values = {r.key: b"" for r in self.newest(CONFIGURATION).records}
        return frozenset(decode_evacuations(values))


class HostStore:
    """The connection of one host to the store."""

    def __init__(self, store: Store, host: str) -> None:
        self._store = store
        self._host = host

    async def newest(self, topic: str) -> RecordBatch:
        await self._call()
        if topic == CONFIGURATION:
            await self._transfer(self._store.version_bytes * LISTED_FACTOR)
        return self._store.newest(topic)

    async def read(
        self,
        topic: str,
        start: int,
        wait_ms: int,
        on_large_answer: Callable[[int], None] | None = None,
    ) -> RecordBatch:
        await self._call()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1_000):
                while len(self._store.records[topic]) <= start:
                    await self._store.changed.wait()
        if self._host in self._store.unanswered:
            await asyncio.sleep(SILENCE_S)
            raise StoreError("no answer")
        records = self._store.records[topic]
        if start > len(records):
            raise HistoryLostError(topic)
        versions = sum(record.key == "k" for record in records[start:])
        is_large = versions and is_too_large_to_send(
            bytes(self._store.version_bytes)
        )
        if on_large_answer is not None and is_large:
            on_large_answer(len(records))
        if topic == CONFIGURATION:
            await self._transfer(versions * self._store.version_bytes)
        return RecordBatch(records[start:], len(records), self._store.era)

    async def _transfer(self, size: float) -> None:
        self._store.configuration_bytes_read += round(size)
        await asyncio.sleep(size / LINK_BYTES_PER_S)

    async def _call(self) -> None:
        self._store.calls += 1
        await asyncio.sleep(CALL_S)
        if self._host in self._store.unanswered:
            await asyncio.sleep(SILENCE_S)
            raise StoreError("no answer")
        if self._host in self._store.refused:
            raise StoreError("refused")


class HostAggregation(CountsAggregation):
    """Call other hosts of the test directly instead of over sockets."""

    hosts_by_name: dict[str, "Host"]

    async def _ask(
        self, found: AggregatorHost, update: CountsUpdate
    ) -> CountsSums | None:
        await asyncio.sleep(CALL_S)
        asked = self.hosts_by_name[found.host]
        if not asked.is_up:
            await asyncio.sleep(ANSWER_TIMEOUT_MS / 1_000)
            return None
        return asked.aggregation._aggregator.handle_update(update)


class Copy:
    """The configuration in force on one host."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.offset = 0

    @property
    def encoded(self) -> bytes:
        return (b"%d" % self.offset).ljust(self._store.version_bytes)

    def offer(self, data: bytes) -> None:
        self.offset = max(self.offset, int(data))


class Host:
    """One host that follows both topics and asks others once a second."""

    def __init__(self, name: str, cluster: "Cluster") -> None:
        clock = LoopClock()
        self.name = name
        self.is_up = True  # otherwise dead or frozen
        self.copy = Copy(cluster.store)
        self.evacuations = Evacuations()
        store = HostStore(cluster.store, name)
        self.configuration = Follower(
            store,
            CONFIGURATION,
            clock,
            cluster.node_settings.configuration_pace,
        )
        self.listed = Follower(
            store, LISTED, clock, cluster.node_settings.list_pace
        )
        self.records = SharedRecords(clock)
        self.records.connect(
            RecordSources(
                configuration=self.configuration,
                listed=self.listed,
                copy=self.copy,
                offer=self.copy.offer,
                is_list_complete=lambda: True,
                evacuations=self.evacuations,
                snapshot_records=self._snapshot_records,
            )
        )
        self.aggregation = HostAggregation(
            name, clock, dict, "i", "127.0.0.1:0", self.records
        )
        self.aggregation.hosts_by_name = cluster.hosts
        self.aggregation._hosts = lambda: cluster.others(name)
        self.aggregation._metrics = Metrics()
        fallback_reads = FallbackReads(clock, random.Random(name))
        for follower in (self.configuration, self.listed):
            follower.share(lambda: self._reads(cluster), fallback_reads)

    def _snapshot_records(self, end: int) -> list[Record]:
        version = b"%d" % (self.copy.offset - 1)
        return [
            Record("k", version, end - 1),
            *(
                Record(f"evacuate/{domain}", b"{}", end - 1)
                for domain in self.evacuations.domains
            ),
        ]

    def _reads(self, cluster: "Cluster") -> bool:
        others = {each.host for each in cluster.others(self.name)}
        is_ranked = is_reader(self.name, others, RECORD_READERS)
        return is_ranked or self.records.has_recent_requests

    async def follow_configuration(self) -> None:
        while True:
            try:
                await self.configuration.follow()
            except StoreError:
                await asyncio.sleep(PAUSE_S)
                continue
            values = self.configuration.values()
            assert self.configuration.end is not None
            self.evacuations.offer(
                EvacuationSnapshot(
                    self.configuration.end,
                    decode_evacuations(values),
                    self.configuration.era,
                ),
                "store",
            )
            value = values.get("k")
            if value is not None:
                self.copy.offer(b"%d" % (int(value) + 1))

    async def follow_list(self) -> None:
        while True:
            with suppress(StoreError):
                await self.listed.follow()
            await asyncio.sleep(PAUSE_S)


class Cluster:
    """All hosts, in one event loop."""

    def __init__(self, settings: NodeSettings, number: int) -> None:
        self.node_settings = settings
        self.store = Store()
        self.hosts: dict[str, Host] = {}
        self._killed_s: dict[str, float] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        for n in range(number):
            self.hosts[f"h{n}"] = Host(f"h{n}", self)

    def others(self, own: str) -> list[AggregatorHost]:
        now_s = asyncio.get_running_loop().time()
        return [
            AggregatorHost(name, name)
            for name in self.hosts
            if name != own and now_s - self._killed_s.get(name, now_s) < DEAD_S
        ]

    def ranked(self) -> list[str]:
        return rank_hosts(self.hosts)

    async def start(self) -> None:
        rng = random.Random(7)
        for name, host in self.hosts.items():
            self._tasks[name] = [
                asyncio.create_task(host.follow_configuration()),
                asyncio.create_task(host.follow_list()),
                asyncio.create_task(self._gather(host, rng.random())),
            ]
        await asyncio.sleep(10)

    async def _gather(self, host: Host, phase_s: float) -> None:
        await asyncio.sleep(phase_s)
        await host.aggregation._keep_sending()

    def kill(self, name: str) -> None:
        self.hosts[name].is_up = False
        self._killed_s[name] = asyncio.get_running_loop().time()
        for task in self._tasks[name]:
            task.cancel()

    def hosts_up(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.is_up]

    async def wait_until_known(self, hosts: list[Host]) -> float:
        """Return the time until these hosts know all records of the store."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        version = max(
            int(record.value or b"0") + 1
            for record in self.store.records[CONFIGURATION]
            if record.key == "k"
        )
        evacuated = self.store.evacuated()
        while not all(
            host.copy.offset >= version
            and (host.listed.end or 0) >= len(self.store.records[LISTED])
            and host.evacuations.domains == evacuated
            for host in hosts
        ):
            assert loop.time() < began_s + KNOWN_WITHIN_S
            await asyncio.sleep(0.01)
        return loop.time() - began_s

    async def stop(self) -> None:
        for name, host in self.hosts.items():
            for task in self._tasks[name]:
                task.cancel()
            await host.aggregation.stop()


def run(
    test: Callable[[Cluster], Awaitable[None]],
    settings: NodeSettings,
    number: int,
) -> None:
    async def main() -> None:
        cluster = Cluster(settings, number)
        cluster.store.append(CONFIGURATION)
        cluster.store.append(LISTED)
        await cluster.start()
        await test(cluster)
        await cluster.stop()

    run_virtual(main)


@pytest.mark.parametrize("settings", [LARGE, GROWN])
def test_calls_do_not_increase_with_the_number_of_hosts(
    settings: NodeSettings,
) -> None:
    """Guard against one call a second by each host: 195 with 195 hosts."""
    rates: list[float] = []

    async def test(cluster: Cluster) -> None:
        before = cluster.store.calls
        for _ in range(15):
            await asyncio.sleep(4)
            cluster.store.append(LISTED)  # upstreams come and go
        rates.append((cluster.store.calls - before) / 60)

    for number in (14, 74, 195):
        run(test, settings, number)
    assert max(rates) < 6
    assert max(rates) < 1.2 * min(rates)


def one_reader_frozen(cluster: Cluster) -> None:
    cluster.hosts[cluster.ranked()[0]].is_up = False


def readers_killed(cluster: Cluster) -> None:
    for name in cluster.ranked()[:RECORD_READERS]:
        cluster.kill(name)


def half_killed(cluster: Cluster) -> None:
    for name in cluster.ranked()[: len(cluster.hosts) // 2]:
        cluster.kill(name)


def readers_cut_off(cluster: Cluster) -> None:
    cluster.store.unanswered = frozenset(cluster.ranked()[:RECORD_READERS])


def third_refused(cluster: Cluster) -> None:
    ranked = cluster.ranked()
    cluster.store.refused = frozenset(ranked[: len(ranked) // 3])


def no_fault(cluster: Cluster) -> None:
    del cluster


FAULTS = [
    no_fault,
    one_reader_frozen,
    readers_killed,
    half_killed,
    readers_cut_off,
    third_refused,
]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("settings", [LARGE, GROWN])
@pytest.mark.parametrize("fault", FAULTS)
def test_changes_arrive_in_time(
    fault: Callable[[Cluster], None], settings: NodeSettings, seed: int
) -> None:
    """Guard against delays when readers fail just before a change."""

    async def test(cluster: Cluster) -> None:
        rng = random.Random(seed)
        await asyncio.sleep(rng.uniform(0, 5))
        fault(cluster)
        await asyncio.sleep(rng.uniform(0, 2.5))
        cluster.store.append(CONFIGURATION)
        cluster.store.append(LISTED)
        store = cluster.store
        cut_off = store.refused | store.unanswered
        reachable = [h for h in cluster.hosts_up() if h.name not in cut_off]
        took_s = await cluster.wait_until_known(reachable)
        assert took_s <= min(settings.apply_ms, settings.drain_ms) / 1_000

    run(test, settings, 40)


def test_an_outage_causes_few_calls_and_changes_arrive_after_it() -> None:
    """Guard against too many calls by 195 hosts in an outage of 8 s.

    One call a second by each host would make 1,560. With a separate back-off
    for each of the two topics, there were 900.
    """

    async def test(cluster: Cluster) -> None:
        cluster.store.refused = frozenset(cluster.hosts)
        before = cluster.store.calls
        await asyncio.sleep(8)
        assert cluster.store.calls - before < 700
        cluster.store.refused = NO_HOSTS
        cluster.store.append(CONFIGURATION)
        cluster.store.append(LISTED)
        took_s = await cluster.wait_until_known(cluster.hosts_up())
        assert took_s < 4

    run(test, LARGE, 195)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("settings", [LARGE, GROWN])
@pytest.mark.parametrize("fault", FAULTS)
def test_evacuations_arrive_in_time(
    fault: Callable[[Cluster], None], settings: NodeSettings, seed: int
) -> None:
    """Start one evacuation, then a second, then end the first."""

    async def test(cluster: Cluster) -> None:
        rng = random.Random(seed)
        store = cluster.store
        await asyncio.sleep(rng.uniform(0, 5))
        fault(cluster)
        cut_off = store.refused | store.unanswered
        reachable = [h for h in cluster.hosts_up() if h.name not in cut_off]
        for change in (
            lambda: store.evacuate("north"),
            lambda: store.evacuate("south"),
            lambda: store.end_evacuation("north"),
        ):
            await asyncio.sleep(rng.uniform(0, 2.5))
            change()
            took_s = await cluster.wait_until_known(reachable)
            assert took_s <= settings.apply_ms / 1_000

    run(test, settings, 40)


def test_an_evacuation_that_ends_during_an_outage_ends_soon_after_it() -> None:
    async def test(cluster: Cluster) -> None:
        store = cluster.store
        store.evacuate("north")
        await cluster.wait_until_known(cluster.hosts_up())
        store.refused = frozenset(cluster.hosts)
        await asyncio.sleep(2)
        store.end_evacuation("north")
        await asyncio.sleep(5)
        assert cluster.hosts_up()[0].evacuations.domains == {"north"}
        store.refused = NO_HOSTS
        took_s = await cluster.wait_until_known(cluster.hosts_up())
        assert took_s < 4

    run(test, GROWN, 87)


def test_hosts_do_not_read_versions_received_from_others() -> None:
    """Hosts that take over reading fetch only records unknown to them."""

    async def test(cluster: Cluster) -> None:
        cluster.store.version_bytes = 30_000
        for _ in range(12):
            cluster.store.append(CONFIGURATION)
            await asyncio.sleep(2)
        await cluster.wait_until_known(cluster.hosts_up())
        before = cluster.store.configuration_bytes_read
        half_killed(cluster)
        await asyncio.sleep(8)
        assert cluster.store.configuration_bytes_read == before

    run(test, GROWN, 87)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("size", [40_000, 330_000, 460_000, 600_000])
def test_large_configurations_arrive_in_time(size: int, seed: int) -> None:
    """Guard against late reads of two successive large configurations.

    Both are too large for the answers of other hosts. Hosts that are not
    readers used to wait until their records were too old, and then read both
    over a small link.
    """

    async def test(cluster: Cluster) -> None:
        rng = random.Random(seed)
        await asyncio.sleep(rng.uniform(0, 5))
        cluster.store.version_bytes = size
        cluster.store.append(CONFIGURATION)
        await asyncio.sleep(0.88)
        cluster.store.append(CONFIGURATION)
        took_s = await cluster.wait_until_known(cluster.hosts_up())
        assert took_s <= GROWN.apply_ms / 1_000

    run(test, GROWN, 87)


@pytest.mark.parametrize("seed", range(4))
def test_hosts_read_a_large_configuration_concurrently(seed: int) -> None:
    """Guard against waiting for a reader, and against reading twice."""

    async def test(cluster: Cluster) -> None:
        rng = random.Random(seed)
        await asyncio.sleep(rng.uniform(0, 5))
        store = cluster.store
        store.version_bytes = 900_000
        before = store.configuration_bytes_read
        store.append(CONFIGURATION)
        took_s = await cluster.wait_until_known(cluster.hosts_up())
        assert took_s <= GROWN.apply_ms / 1_000
        await asyncio.sleep(5)
        one_read_each = store.version_bytes * len(cluster.hosts)
        assert store.configuration_bytes_read - before <= one_read_each

    run(test, GROWN, 87)


def third_cut_off(cluster: Cluster) -> None:
    cluster.store.unanswered = frozenset(cluster.ranked()[2::3])


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("hosts", [8, 87, 195])
@pytest.mark.parametrize(
    "fault", [no_fault, readers_killed, half_killed, third_cut_off]
)
def test_changes_arrive_in_time_after_the_store_was_restored(
    fault: Callable[[Cluster], None], hosts: int, seed: int
) -> None:
    """Guard against comparing offsets of different eras."""

    async def test(cluster: Cluster) -> None:
        rng = random.Random(seed)
        store = cluster.store
        for _ in range(3):
            store.append(CONFIGURATION)
            store.append(LISTED)
        store.evacuate("north")
        await cluster.wait_until_known(cluster.hosts_up())
        fault(cluster)
        await asyncio.sleep(rng.uniform(0, 2.5))
        kept = len(store.records[CONFIGURATION]) - 2
        value = len(store.records[CONFIGURATION]) - 1
        store.restore(kept)
        store._append(CONFIGURATION, "k", b"%d" % value)
        store.evacuate("south")
        store.append(LISTED)
        store.unanswered = NO_HOSTS
        took_s = await cluster.wait_until_known(cluster.hosts_up())
        assert took_s <= GROWN.contact_ms / 1_000

    run(test, GROWN, hosts)
