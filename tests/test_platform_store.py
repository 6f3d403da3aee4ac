"""Test the store client and its followers with each fault of the store."""

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
from balsamlift.peers import (
    Evacuations,
    Follower,
    FreshnessLimits,
    RecordBatch,
)
from balsamlift.platform._decode import HostRecord
from balsamlift.platform._names import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    EVACUATION_PREFIX,
    HOSTS_TOPIC,
    UPSTREAMS_TOPIC,
)
from balsamlift.platform._settings import decode_node_settings
from balsamlift.platform._store import Store, _decode_read_answer
from balsamlift.platform._watch import (
    ConfigurationWatch,
    HostRegistration,
    UpstreamsSource,
)
from balsamlift.relay import Routing
from balsamlift.testing.platform import Fault, KeyedStore

DEADLINE_S = 20.0
MAX_CALLS = 8
PACE = FreshnessLimits(wait_ms=1_000, max_age_s=1.5)


def run(test: Callable[[KeyedStore, Store], Awaitable[None]]) -> None:
    async def main() -> None:
        fake_store = KeyedStore()
        await fake_store.start()
        store = Store(fake_store.address, HttpClient(max_calls=MAX_CALLS))
        try:
            async with asyncio.timeout(DEADLINE_S):
                await test(fake_store, store)
        finally:
            await fake_store.stop()

    asyncio.run(main())


async def wait_until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def encode_manifest(version: int) -> bytes:
    return json.dumps({**MANIFEST, "Version": version}).encode()


def encode_upstream_entry(state: str = "ready") -> bytes:
    return json.dumps({**ENTRY, "LifecycleState": state}).encode()


def test_reads_all_pages_of_the_newest_records() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        for number in range(8):
            fake_store.topic("keyed.t").append(f"k{number}", b"%d" % number)
        newest = await store.newest("keyed.t")
        assert len(newest.records) == 8
        assert newest.end == 8

    run(test)


def test_appended_record_is_read_back() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        await store.append("keyed.t", "name", b"value")
        newest = await store.read("keyed.t", 0, 0)
        assert [(r.key, r.value) for r in newest.records] == [
            ("name", b"value")
        ]

    run(test)


@pytest.mark.parametrize("fault", ["silent", "busy", "many"])
def test_each_fault_raises_store_error_until_it_ends(
    fault: Fault, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 200)

    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.fault = fault
        with pytest.raises(StoreError):
            await store.newest("keyed.t")
        fake_store.fault = ""
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

    async def test(fake_store: KeyedStore, store: Store) -> None:
        lines: list[str] = []
        sink = collect_store_logs(lines)
        faults: tuple[Fault, ...] = ("busy", "many", "silent", "silent")
        for fake_store.fault in faults:
            with pytest.raises(StoreError):
                await store.newest("keyed.t")
            with pytest.raises(StoreError):
                await store.read("keyed.t", 0, 0)
        fake_store.fault = ""
        await store.newest("keyed.t")
        logger.remove(sink)
        assert lines == [
            "store unavailable",
            "store still unavailable",
            "store still unavailable",
            "store available again",
        ]

    run(test)


def test_only_large_answers_are_logged() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        lines: list[str] = []
        sink = collect_store_logs(lines)
        size = store_module.LARGE_ANSWER_BYTES
        for value in (b"1", b"1".ljust(size)):
            fake_store.topic("keyed.t").append("k", value)
            await store.read("keyed.t", 0, 0)
        logger.remove(sink)
        assert lines == ["read a large answer"]

    run(test)


LARGE_BYTES = 120_000
READS: list[Callable[[Store], Awaitable[RecordBatch]]] = [
    lambda store: store.newest("keyed.t"),
    lambda store: store.read("keyed.t", 0, 0),
]


@pytest.mark.parametrize("read", READS)
def test_a_large_answer_may_take_longer_than_the_silence_limit(
    read: Callable[[Store], Awaitable[RecordBatch]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 300)

    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.topic("keyed.t").append("k", b"1".ljust(LARGE_BYTES))
        fake_store.bytes_per_s = LARGE_BYTES / 0.9
        newest = await read(store)
        value = newest.records[0].value
        assert value is not None
        assert len(value) == LARGE_BYTES

    run(test)


@pytest.mark.parametrize("read", READS)
@pytest.mark.parametrize("bytes_per_s", [None, 4_096 * 8])
def test_a_stalled_answer_is_aborted(
    bytes_per_s: float | None,
    read: Callable[[Store], Awaitable[RecordBatch]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 300)

    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.topic("keyed.t").append("k", b"1".ljust(LARGE_BYTES))
        fake_store.bytes_per_s = bytes_per_s
        fake_store.stall_after_bytes = 20_000
        began_s = time.monotonic()
        with pytest.raises(StoreError):
            await read(store)
        assert time.monotonic() - began_s < 5
        fake_store.stall_after_bytes = fake_store.bytes_per_s = None
        assert len((await read(store)).records) == 1

    run(test)


def test_an_answer_below_the_minimum_rate_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 300)

    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.topic("keyed.t").append("k", b"1".ljust(LARGE_BYTES))
        # One chunk every 250 ms: within the silence limit, but too slow.
        fake_store.bytes_per_s = 4_096 * 4
        began_s = time.monotonic()
        with pytest.raises(StoreError):
            await store.read("keyed.t", 0, 0)
        assert time.monotonic() - began_s < 5

    run(test)


def test_aborted_calls_release_their_handles(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against later calls waiting for handles of aborted ones."""
    monkeypatch.setattr(store_module, "SILENCE_MS", 100)

    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.fault = "silent"
        for _ in range(2 * MAX_CALLS):
            with pytest.raises(StoreError):
                await store.newest("keyed.t")
        fake_store.fault = ""
        assert (await store.newest("keyed.t")).records == []

    run(test)


def test_a_large_answer_is_reported_before_it_ends() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        ends: list[int] = []
        topic = fake_store.topic("keyed.t")
        topic.append("k", b"1")
        await store.read("keyed.t", 0, 0, ends.append)
        assert ends == []
        topic.append("k", b"1".ljust(LARGE_BYTES))
        topic.append("k", b"2")
        fake_store.bytes_per_s = LARGE_BYTES / 0.9
        reading = asyncio.create_task(store.read("keyed.t", 1, 0, ends.append))
        await wait_until(lambda: ends)
        assert not reading.done()
        assert ends == [3]
        assert len((await reading).records) == 2
        assert ends == [3]

    run(test)


def test_lost_history_raises_its_own_error() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.topic("keyed.t").append("k", b"v")
        fake_store.drop_history("keyed.t")
        with pytest.raises(HistoryLostError):
            await store.read("keyed.t", 0, 0)

    run(test)


def test_follower_recovers_from_lost_history() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic("keyed.t")
        topic.append("a", b"1")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        assert await follower.read(0)
        topic.append("b", b"2")
        topic.append("a", b"")
        fake_store.drop_history("keyed.t")
        assert await follower.read(0)
        assert follower.values() == {"b": b"2"}
        assert not await follower.read(10)

    run(test)


def test_configuration_is_applied_at_once_and_after_faults(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "SILENCE_MS", 200)

    async def test(fake_store: KeyedStore, store: Store) -> None:
        routing = Routing()
        kernel = Kernel()
        kernel.register(routing)
        kernel.register(
            ConfigurationWatch(store, SystemClock(), PACE, Evacuations())
        )
        await kernel.start()
        topic = fake_store.topic(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, encode_manifest(3))
        await wait_until(lambda: routing.offset == 3)
        for version, fault in ((5, "busy"), (8, "silent"), (9, "many")):
            fake_store.fault = fault
            topic.append(CONFIGURATION_KEY, encode_manifest(version))
            await asyncio.sleep(0.3)
            fake_store.fault = ""
            await wait_until(lambda version=version: routing.offset == version)
        fake_store.drop_history(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, encode_manifest(12))
        await wait_until(lambda: routing.offset == 12)
        topic.append(CONFIGURATION_KEY, encode_manifest(11))
        await asyncio.sleep(0.05)
        assert routing.offset == 12
        await kernel.stop()

    run(test)


def test_change_after_a_silent_store_is_applied_in_time() -> None:
    """A read sent just before a silent store recovers is lost.

    The host has `contact_ms` from the recovery on to apply changes.
    """

    async def test(fake_store: KeyedStore, store: Store) -> None:
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
        topic = fake_store.topic(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, encode_manifest(3))
        await wait_until(lambda: routing.offset == 3)
        fake_store.fault = "silent"
        # The first read after the one in flight is not answered either.
        fake_store.calls.clear()
        await wait_until(lambda: len(fake_store.calls) >= 2)
        fake_store.fault = ""
        began_s = time.monotonic()
        topic.append(CONFIGURATION_KEY, encode_manifest(4))
        await wait_until(lambda: routing.offset == 4)
        assert time.monotonic() - began_s < node.contact_ms / 1_000
        await kernel.stop()

    run(test)


@pytest.mark.parametrize("contact_ms", [2_500, 3_000, 4_000, 10_000])
def test_lost_read_is_detected_within_the_limit(contact_ms: int) -> None:
    fields = {**SETTINGS, "Bounds": {**SETTINGS["Bounds"]}}
    fields["Bounds"]["ContactMs"] = contact_ms
    node = decode_node_settings(fields, "settings.toml")
    noticed_ms = node.read_wait_ms + store_module.SILENCE_MS
    assert noticed_ms + watch_module.RETRY_MS < contact_ms


def test_upstreams_are_listed_without_the_hosts_topic() -> None:
    """The store may serve one topic and not the other."""

    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.silent_topics.add(HOSTS_TOPIC)
        fake_store.topic(UPSTREAMS_TOPIC).append(
            "i-1", encode_upstream_entry()
        )
        source = UpstreamsSource(store, SystemClock(), PACE)
        entries = await source.read()
        assert entries is not None
        assert [e.name for e in entries] == ["i-1"]

    run(test)


def test_invalid_configuration_is_ignored() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        routing = Routing()
        kernel = Kernel()
        kernel.register(routing)
        kernel.register(
            ConfigurationWatch(store, SystemClock(), PACE, Evacuations())
        )
        await kernel.start()
        topic = fake_store.topic(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, encode_manifest(3))
        await wait_until(lambda: routing.offset == 3)
        topic.append(CONFIGURATION_KEY, b"{}")
        topic.append(CONFIGURATION_KEY, encode_manifest(4))
        await wait_until(lambda: routing.offset == 4)
        await kernel.stop()

    run(test)


def test_lists_upstreams_and_hosts() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        clock = SystemClock()
        fake_store.topic(UPSTREAMS_TOPIC).append(
            "i-1", encode_upstream_entry()
        )
        fake_store.topic(UPSTREAMS_TOPIC).append("i-2", b"no record")
        record = HostRecord(
            callers_address="10.1.0.19:80",
            operators_address="10.1.0.19:81",
            peers_address="10.1.0.19:82",
            failure_domain="north",
            written_s=0.0,
        )
        registration = HostRegistration(store, clock, "h-1", record)
        await registration.start(Kernel())
        await wait_until(lambda: fake_store.topic(HOSTS_TOPIC).records)
        entries = await UpstreamsSource(store, clock, PACE).read()
        assert entries is not None
        assert {e.name for e in entries} == {"i-1", "h-1"}
        await registration.stop()

    run(test)


def test_unavailable_list_raises_its_own_error() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        source = UpstreamsSource(store, SystemClock(), PACE)
        fake_store.fault = "busy"
        with pytest.raises(HostsUnavailableError):
            await source.read()

    run(test)


def test_expired_host_is_not_listed() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.topic(HOSTS_TOPIC).append(
            "old",
            b'{"callers_address":"10.1.0.9:1","operators_address":"10.1.0.9:2",'
            b'"peers_address":"10.1.0.9:3","failure_domain":"d",'
            b'"written_s":1.0}',
        )
        entries = await UpstreamsSource(store, SystemClock(), PACE).read()
        assert entries == []

    run(test)


def test_invalid_entry_is_logged_once_and_others_are_listed() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, filter=lambda r: r["level"].no >= 40)
        topic = fake_store.topic(UPSTREAMS_TOPIC)
        topic.append("i-1", encode_upstream_entry())
        topic.append("i-2", b"\xff no record")
        source = UpstreamsSource(store, SystemClock(), PACE)
        for _ in range(3):
            topic.append("i-1", encode_upstream_entry())
            entries = await source.read()
            assert entries is not None
            assert [e.name for e in entries] == ["i-1"]
        logger.remove(sink)
        assert len(lines) == 1

    run(test)


def test_evacuations_are_followed_across_store_faults() -> None:
    """One ends while the store is silent, one while its history is lost."""

    async def test(fake_store: KeyedStore, store: Store) -> None:
        evacuations = Evacuations()
        kernel = Kernel()
        kernel.register(Routing())
        kernel.register(
            ConfigurationWatch(store, SystemClock(), PACE, evacuations)
        )
        topic = fake_store.topic(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, encode_manifest(3))
        topic.append(f"{EVACUATION_PREFIX}north", b"{}")
        await kernel.start()
        await wait_until(lambda: evacuations.domains == {"north"})
        topic.append(f"{EVACUATION_PREFIX}south", b"{}")
        await wait_until(lambda: evacuations.domains == {"north", "south"})
        fake_store.fault = "silent"
        topic.append(f"{EVACUATION_PREFIX}north", b"")
        await asyncio.sleep(0.3)
        fake_store.fault = ""
        await wait_until(lambda: evacuations.domains == {"south"})
        topic.append(f"{EVACUATION_PREFIX}south", b"")
        fake_store.drop_history(CONFIGURATION_TOPIC)
        await wait_until(lambda: not evacuations.domains)
        await kernel.stop()

    run(test)


def test_records_are_read_again_after_the_store_was_restored() -> None:
    """Guard against reading on from an offset of an earlier era."""

    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.era = 4
        topic = fake_store.topic("keyed.t")
        for n in range(3):
            topic.append(f"k{n}", b"old")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        assert await follower.read(0)
        restored_eras: list[int] = []
        follower.on_restored(lambda: restored_eras.append(follower.era))
        fake_store.restore(record_count=1)
        topic.append("k1", b"new")
        topic.append("k3", b"new")
        assert await follower.read(0)
        assert follower.values() == {
            **{"k0": b"old", "k1": b"new", "k3": b"new"}
        }
        assert restored_eras == [5]
        # The known end is now past the end of the topic.
        fake_store.restore(record_count=1)
        assert await follower.read(0)
        assert follower.values() == {"k0": b"old"}
        assert restored_eras == [5, 6]

    run(test)


@pytest.mark.parametrize("era", [0, 3, "four"])
def test_an_answer_without_a_current_era_is_rejected(era: int | str) -> None:
    """The era is missing, earlier than the latest one, or not a number."""

    async def test(fake_store: KeyedStore, store: Store) -> None:
        lines: list[str] = []
        fake_store.era = 4
        topic = fake_store.topic("keyed.t")
        topic.append("k", b"1")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        assert await follower.read(0)
        sink = collect_store_logs(lines)
        fake_store.era = era
        topic.append("k", b"2")
        for read in (follower.read(0), store.newest("keyed.t")):
            with pytest.raises(StoreError):
                await read
        assert follower.values() == {"k": b"1"}
        fake_store.era = 4
        assert await follower.read(0)
        assert follower.values() == {"k": b"2"}
        logger.remove(sink)
        assert lines == ["store unavailable", "store available again"]

    run(test)


def test_a_lost_entry_of_a_host_is_written_again_on_request() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        fake_store.era = 1
        record = HostRecord(
            callers_address="10.1.0.19:80",
            operators_address="10.1.0.19:81",
            peers_address="10.1.0.19:82",
            failure_domain="north",
            written_s=0.0,
        )
        registration = HostRegistration(store, SystemClock(), "h-1", record)
        await registration.start(Kernel())
        topic = fake_store.topic(HOSTS_TOPIC)
        await wait_until(lambda: topic.records)
        fake_store.restore(record_count=0)
        assert not topic.records
        registration.renew()
        await wait_until(lambda: topic.records)
        await registration.stop()

    run(test)


def test_reading_continues_after_a_truncated_answer() -> None:
    """Guard against an incomplete answer that confirms the age."""

    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic("keyed.t")
        topic.append("a", b"0")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        await follower.read(0)
        confirmed_s = time.monotonic()
        await asyncio.sleep(0.2)
        fake_store.max_read_bytes = LARGE_BYTES
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
    header = struct.pack(">QQ", 2, 0)
    record = struct.pack(">I", 3) + b"\x01k1"
    newest = _decode_read_answer(header + record + record[:rest], 0)
    assert [each.key for each in newest.records] == ["k"]
    assert newest.is_truncated


def test_a_record_larger_than_the_answer_limit_is_read() -> None:
    """Guard against taking an answer without a complete record as empty."""

    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic("keyed.t")
        topic.append("a", b"0")
        follower = Follower(store, "keyed.t", SystemClock(), PACE)
        await follower.read(0)
        fake_store.max_read_bytes = LARGE_BYTES
        topic.append("b", b"1".ljust(2 * LARGE_BYTES))
        assert await follower.read(0)
        assert follower.values().keys() == {"a", "b"}

    run(test)
