"""Following the platform's store through each of its faults."""

import asyncio
import json
import struct
import time
from collections.abc import Awaitable, Callable

import pytest
from loguru import logger
from test_platform_decode import ENTRY, MANIFEST, SETTINGS

import balsamlift.platform._store as store_module
import balsamlift.platform._watch as watch_module
from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.exceptions import (
    HistoryLostError,
    HostsUnavailableError,
    StoreError,
)
from balsamlift.kernel import Kernel
from balsamlift.peers import Evacuations, Follower, Newest, Pace
from balsamlift.platform._decode import HostRecord
from balsamlift.platform._names import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    EVACUATION_PREFIX,
    HOSTS_TOPIC,
    UPSTREAMS_TOPIC,
)
from balsamlift.platform._settings import decode_node_settings
from balsamlift.platform._store import Store, _decode_read
from balsamlift.platform._watch import (
    ConfigurationWatch,
    HostRegistration,
    UpstreamsSource,
)
from balsamlift.relay import Routing
from balsamlift.testing.platform import Fault, KeyedStore

DEADLINE_S = 20.0
MOST_CALLS = 8
PACE = Pace(wait_ms=1_000, most_age_s=1.5)


def run(test: Callable[[KeyedStore, Store], Awaitable[None]]) -> None:
    async def main() -> None:
        stand_in = KeyedStore()
        await stand_in.start()
        store = Store(stand_in.address, HttpClient(max_calls=MOST_CALLS))
        try:
            async with asyncio.timeout(DEADLINE_S):
                await test(stand_in, store)
        finally:
            await stand_in.stop()

    asyncio.run(main())


async def until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def manifest(version: int) -> bytes:
    return json.dumps({**MANIFEST, "Version": version}).encode()


def upstream(state: str = "ready") -> bytes:
    return json.dumps({**ENTRY, "LifecycleState": state}).encode()


def test_reads_all_pages_of_the_newest_records() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        for number in range(8):
            stand_in.topic("keyed.t").append(f"k{number}", b"%d" % number)
        newest = await store.newest("keyed.t")
        assert len(newest.records) == 8
        assert newest.end == 8

    run(test)


def test_appends_what_it_reads_back() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        await store.append("keyed.t", "name", b"value")
        news = await store.read("keyed.t", 0, 0)
        assert [(r.key, r.value) for r in news.records] == [("name", b"value")]

    run(test)


@pytest.mark.parametrize("fault", ["silent", "busy", "many"])
def test_each_fault_is_typed_and_passes(
    fault: Fault, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 200)

    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.fault = fault
        with pytest.raises(StoreError):
            await store.newest("keyed.t")
        stand_in.fault = ""
        assert (await store.newest("keyed.t")).records == []

    run(test)


def collect_store_logs(lines: list[str]) -> int:
    """Append the messages logged by the store; return the sink's id."""
    return logger.add(
        lambda line: lines.append(line.record["message"]),
        filter=lambda record: record["extra"].get("part") == "store",
    )


def test_a_changed_kind_of_failure_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 200)

    async def test(stand_in: KeyedStore, store: Store) -> None:
        lines: list[str] = []
        sink = collect_store_logs(lines)
        faults: tuple[Fault, ...] = ("busy", "many", "silent", "silent")
        for stand_in.fault in faults:
            with pytest.raises(StoreError):
                await store.newest("keyed.t")
            with pytest.raises(StoreError):
                await store.read("keyed.t", 0, 0)
        stand_in.fault = ""
        await store.newest("keyed.t")
        logger.remove(sink)
        assert lines == [
            "store lost",
            "store still lost",
            "store still lost",
            "store is back",
        ]

    run(test)


def test_only_large_answers_are_logged() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        lines: list[str] = []
        sink = collect_store_logs(lines)
        size = store_module.LARGE_ANSWER_BYTES
        for value in (b"1", b"1".ljust(size)):
            stand_in.topic("keyed.t").append("k", value)
            await store.read("keyed.t", 0, 0)
        logger.remove(sink)
        assert lines == ["read a large answer"]

    run(test)


LARGE_BYTES = 120_000
READS: list[Callable[[Store], Awaitable[Newest]]] = [
    lambda store: store.newest("keyed.t"),
    lambda store: store.read("keyed.t", 0, 0),
]


@pytest.mark.parametrize("read", READS)
def test_a_large_answer_may_take_longer_than_the_silence_limit(
    read: Callable[[Store], Awaitable[Newest]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 300)

    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.topic("keyed.t").append("k", b"1".ljust(LARGE_BYTES))
        stand_in.bytes_per_s = LARGE_BYTES / 0.9
        newest = await read(store)
        value = newest.records[0].value
        assert value is not None
        assert len(value) == LARGE_BYTES

    run(test)


@pytest.mark.parametrize("read", READS)
@pytest.mark.parametrize("bytes_per_s", [None, 4_096 * 8])
def test_a_stalled_answer_is_aborted(
    bytes_per_s: float | None,
    read: Callable[[Store], Awaitable[Newest]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 300)

    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.topic("keyed.t").append("k", b"1".ljust(LARGE_BYTES))
        stand_in.bytes_per_s = bytes_per_s
        stand_in.stall_after_bytes = 20_000
        began_s = time.monotonic()
        with pytest.raises(StoreError):
            await read(store)
        assert time.monotonic() - began_s < 5
        stand_in.stall_after_bytes = stand_in.bytes_per_s = None
        assert len((await read(store)).records) == 1

    run(test)


def test_an_answer_below_the_minimum_rate_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 300)

    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.topic("keyed.t").append("k", b"1".ljust(LARGE_BYTES))
        # One chunk every 250 ms: within the silence limit, but too slow.
        stand_in.bytes_per_s = 4_096 * 4
        began_s = time.monotonic()
        with pytest.raises(StoreError):
            await store.read("keyed.t", 0, 0)
        assert time.monotonic() - began_s < 5

    run(test)


def test_aborted_calls_release_their_handles(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against later calls waiting for the handle of an aborted one."""
    monkeypatch.setattr(store_module, "SILENCE_MS", 100)

    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.fault = "silent"
        for _ in range(2 * MOST_CALLS):
            with pytest.raises(StoreError):
                await store.newest("keyed.t")
        stand_in.fault = ""
        assert (await store.newest("keyed.t")).records == []

    run(test)


def test_a_large_answer_is_reported_before_it_ends() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        ends: list[int] = []
        topic = stand_in.topic("keyed.t")
        topic.append("k", b"1")
        await store.read("keyed.t", 0, 0, ends.append)
        assert ends == []
        topic.append("k", b"1".ljust(LARGE_BYTES))
        topic.append("k", b"2")
        stand_in.bytes_per_s = LARGE_BYTES / 0.9
        reading = asyncio.create_task(store.read("keyed.t", 1, 0, ends.append))
        await until(lambda: ends)
        assert not reading.done()
        assert ends == [3]
        assert len((await reading).records) == 2
        assert ends == [3]

    run(test)


def test_lost_history_has_its_own_type() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.topic("keyed.t").append("k", b"v")
        stand_in.forget("keyed.t")
        with pytest.raises(HistoryLostError):
            await store.read("keyed.t", 0, 0)

    run(test)


def test_a_follower_keeps_values_over_lost_history() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        topic = stand_in.topic("keyed.t")
        topic.append("a", b"1")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        assert await follower.read(0)
        topic.append("b", b"2")
        topic.append("a", b"")
        stand_in.forget("keyed.t")
        assert await follower.read(0)
        assert follower.values() == {"b": b"2"}
        assert not await follower.read(10)

    run(test)


def test_a_configuration_is_in_force_at_once_and_after_faults(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 200)

    async def test(stand_in: KeyedStore, store: Store) -> None:
        routing = Routing()
        kernel = Kernel()
        kernel.register(routing)
        kernel.register(
            ConfigurationWatch(store, SystemClock(), PACE, Evacuations())
        )
        await kernel.start()
        topic = stand_in.topic(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, manifest(3))
        await until(lambda: routing.offset == 3)
        for version, fault in ((5, "busy"), (8, "silent"), (9, "many")):
            stand_in.fault = fault
            topic.append(CONFIGURATION_KEY, manifest(version))
            await asyncio.sleep(0.3)
            stand_in.fault = ""
            await until(lambda version=version: routing.offset == version)
        stand_in.forget(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, manifest(12))
        await until(lambda: routing.offset == 12)
        topic.append(CONFIGURATION_KEY, manifest(11))
        await asyncio.sleep(0.05)
        assert routing.offset == 12
        await kernel.stop()

    run(test)


def test_a_change_after_a_silence_is_in_force_in_time() -> None:
    """A read into the silent store, just before it is back, is lost.

    From then on a host has `contact_ms` until it counts as in touch.
    """

    async def test(stand_in: KeyedStore, store: Store) -> None:
        node = decode_node_settings(SETTINGS, "settings.toml")
        routing = Routing()
        kernel = Kernel()
        kernel.register(routing)
        kernel.register(
            ConfigurationWatch(
                store, SystemClock(), node.configuration_pace, Evacuations()
            )
        )
        await kernel.start()
        topic = stand_in.topic(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, manifest(3))
        await until(lambda: routing.offset == 3)
        stand_in.fault = "silent"
        # The first read after the one in flight goes into the silence too.
        stand_in.calls.clear()
        await until(lambda: len(stand_in.calls) >= 2)
        stand_in.fault = ""
        began_s = time.monotonic()
        topic.append(CONFIGURATION_KEY, manifest(4))
        await until(lambda: routing.offset == 4)
        assert time.monotonic() - began_s < node.contact_ms / 1_000
        await kernel.stop()

    run(test)


@pytest.mark.parametrize("contact_ms", [2_500, 3_000, 4_000, 10_000])
def test_a_lost_read_is_noticed_within_the_bound(contact_ms: int) -> None:
    fields = {**SETTINGS, "Bounds": {**SETTINGS["Bounds"]}}
    fields["Bounds"]["ContactMs"] = contact_ms
    node = decode_node_settings(fields, "settings.toml")
    noticed_ms = node.read_wait_ms + store_module.SILENCE_MS
    assert noticed_ms + watch_module.RETRY_MS < contact_ms


def test_hosts_out_of_reach_hide_no_upstreams() -> None:
    """The store may serve one topic and not the other."""

    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.silent_topics.add(HOSTS_TOPIC)
        stand_in.topic(UPSTREAMS_TOPIC).append("i-1", upstream())
        source = UpstreamsSource(store, SystemClock(), PACE)
        entries = await source.read()
        assert entries is not None
        assert [e.name for e in entries] == ["i-1"]

    run(test)


def test_a_record_that_is_no_configuration_changes_nothing() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        routing = Routing()
        kernel = Kernel()
        kernel.register(routing)
        kernel.register(
            ConfigurationWatch(store, SystemClock(), PACE, Evacuations())
        )
        await kernel.start()
        topic = stand_in.topic(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, manifest(3))
        await until(lambda: routing.offset == 3)
        topic.append(CONFIGURATION_KEY, b"{}")
        topic.append(CONFIGURATION_KEY, manifest(4))
        await until(lambda: routing.offset == 4)
        await kernel.stop()

    run(test)


def test_lists_upstreams_and_hosts() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        clock = SystemClock()
        stand_in.topic(UPSTREAMS_TOPIC).append("i-1", upstream())
        stand_in.topic(UPSTREAMS_TOPIC).append("i-2", b"no record")
        record = HostRecord(
            callers_address="10.1.0.19:80",
            operators_address="10.1.0.19:81",
            peers_address="10.1.0.19:82",
            failure_domain="north",
            written_s=0.0,
        )
        registration = HostRegistration(store, clock, "h-1", record)
        await registration.start(Kernel())
        await until(lambda: stand_in.topic(HOSTS_TOPIC).records)
        entries = await UpstreamsSource(store, clock, PACE).read()
        assert entries is not None
        assert {e.name for e in entries} == {"i-1", "h-1"}
        await registration.stop()

    run(test)


def test_a_list_out_of_reach_is_told_as_such() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        source = UpstreamsSource(store, SystemClock(), PACE)
        stand_in.fault = "busy"
        with pytest.raises(HostsUnavailableError):
            await source.read()

    run(test)


def test_a_host_long_gone_is_not_listed() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.topic(HOSTS_TOPIC).append(
            "old",
            b'{"callers_address":"a","operators_address":"b",'
            b'"peers_address":"c","failure_domain":"d","written_s":1.0}',
        )
        entries = await UpstreamsSource(store, SystemClock(), PACE).read()
        assert entries == []

    run(test)


def test_a_bad_entry_is_logged_once_and_hides_no_other() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, filter=lambda r: r["level"].no >= 40)
        topic = stand_in.topic(UPSTREAMS_TOPIC)
        topic.append("i-1", upstream())
        topic.append("i-2", b"\xff no record")
        source = UpstreamsSource(store, SystemClock(), PACE)
        for _ in range(3):
            topic.append("i-1", upstream())
            entries = await source.read()
            assert entries is not None
            assert [e.name for e in entries] == ["i-1"]
        logger.remove(sink)
        assert len(lines) == 1

    run(test)


def test_evacuations_are_followed_through_faults_of_the_store() -> None:
    """Taken back during a silence, and over a history that is gone."""

    async def test(stand_in: KeyedStore, store: Store) -> None:
        evacuations = Evacuations()
        kernel = Kernel()
        kernel.register(Routing())
        kernel.register(
            ConfigurationWatch(store, SystemClock(), PACE, evacuations)
        )
        topic = stand_in.topic(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, manifest(3))
        topic.append(f"{EVACUATION_PREFIX}north", b"{}")
        await kernel.start()
        await until(lambda: evacuations.domains == {"north"})
        topic.append(f"{EVACUATION_PREFIX}south", b"{}")
        await until(lambda: evacuations.domains == {"north", "south"})
        stand_in.fault = "silent"
        topic.append(f"{EVACUATION_PREFIX}north", b"")
        await asyncio.sleep(0.3)
        stand_in.fault = ""
        await until(lambda: evacuations.domains == {"south"})
        topic.append(f"{EVACUATION_PREFIX}south", b"")
        stand_in.forget(CONFIGURATION_TOPIC)
        await until(lambda: not evacuations.domains)
        await kernel.stop()

    run(test)


def test_records_are_read_again_after_the_store_was_restored() -> None:
    """Guards against reading on from an offset of an earlier era."""

    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.era = 4
        topic = stand_in.topic("keyed.t")
        for n in range(3):
            topic.append(f"k{n}", b"old")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        assert await follower.read(0)
        restored_eras: list[int] = []
        follower.on_restored(lambda: restored_eras.append(follower.era))
        stand_in.restore(kept=1)
        topic.append("k1", b"new")
        topic.append("k3", b"new")
        assert await follower.read(0)
        assert follower.values() == {
            **{"k0": b"old", "k1": b"new", "k3": b"new"}
        }
        assert restored_eras == [5]
        stand_in.restore(kept=1)  # the known end is past the new end
        assert await follower.read(0)
        assert follower.values() == {"k0": b"old"}
        assert restored_eras == [5, 6]

    run(test)


@pytest.mark.parametrize("era", [0, 3, "four"])
def test_an_answer_without_a_current_era_is_rejected(era: int | str) -> None:
    """The era is missing, earlier than the latest one, or not a number."""

    async def test(stand_in: KeyedStore, store: Store) -> None:
        lines: list[str] = []
        stand_in.era = 4
        topic = stand_in.topic("keyed.t")
        topic.append("k", b"1")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        assert await follower.read(0)
        sink = collect_store_logs(lines)
        stand_in.era = era
        topic.append("k", b"2")
        for read in (follower.read(0), store.newest("keyed.t")):
            with pytest.raises(StoreError):
                await read
        assert follower.values() == {"k": b"1"}
        stand_in.era = 4
        assert await follower.read(0)
        assert follower.values() == {"k": b"2"}
        logger.remove(sink)
        assert lines == ["store lost", "store is back"]

    run(test)


def test_a_lost_entry_of_a_host_is_written_again_on_request() -> None:
    async def test(stand_in: KeyedStore, store: Store) -> None:
        stand_in.era = 1
        record = HostRecord(
            callers_address="10.1.0.19:80",
            operators_address="10.1.0.19:81",
            peers_address="10.1.0.19:82",
            failure_domain="north",
            written_s=0.0,
        )
        registration = HostRegistration(store, SystemClock(), "h-1", record)
        await registration.start(Kernel())
        topic = stand_in.topic(HOSTS_TOPIC)
        await until(lambda: topic.records)
        stand_in.restore(kept=0)
        assert not topic.records
        registration.renew()
        await until(lambda: topic.records)
        await registration.stop()

    run(test)


def test_reading_continues_after_a_truncated_answer() -> None:
    """Guards against confirming the age by an incomplete answer."""

    async def test(stand_in: KeyedStore, store: Store) -> None:
        topic = stand_in.topic("keyed.t")
        topic.append("a", b"0")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        await follower.read(0)
        confirmed_s = time.monotonic()
        await asyncio.sleep(0.2)
        stand_in.max_read_bytes = LARGE_BYTES
        for key in ("b", "c"):
            topic.append(key, b"1".ljust(LARGE_BYTES - 1_000))
        assert await follower.read(0)
        assert follower.values().keys() == {"a", "b"}
        assert follower.age_s >= time.monotonic() - confirmed_s - 0.1
        assert await follower.read(0)
        assert follower.values().keys() == {"a", "b", "c"}
        assert follower.age_s < 0.2

    run(test)


@pytest.mark.parametrize("rest", [0, 1, 3, 4, 6])
def test_complete_records_of_a_truncated_answer_are_kept(rest: int) -> None:
    """Also where the answer ends within the length of the next record."""
    numbers = struct.pack(">QQ", 2, 0)
    record = struct.pack(">I", 3) + b"\x01k1"
    newest = _decode_read(numbers + record + record[:rest], 0)
    assert [each.key for each in newest.records] == ["k"]
    assert newest.is_truncated


def test_a_record_larger_than_the_answer_limit_is_read() -> None:
    """Guards against taking an answer without a complete record as empty."""

    async def test(stand_in: KeyedStore, store: Store) -> None:
        topic = stand_in.topic("keyed.t")
        topic.append("a", b"0")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        await follower.read(0)
        stand_in.max_read_bytes = LARGE_BYTES
        topic.append("b", b"1".ljust(2 * LARGE_BYTES))
        assert await follower.read(0)
        assert follower.values().keys() == {"a", "b"}

    run(test)
