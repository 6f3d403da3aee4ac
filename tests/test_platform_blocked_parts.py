"""Blocked parts of prompts are kept in the store for restarted hosts."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from test_platform_store import MAX_CALLS, run, wait_until

from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.peers import (
    HostRank,
    PartReports,
    PartState,
    Peers,
    RecordBatch,
)
from balsamlift.platform._blocked_parts import (
    PART_CHARACTERS,
    BlockedPartRecord,
    BlockedParts,
)
from balsamlift.platform._names import BLOCKED_PARTS_TOPIC
from balsamlift.platform._store import Store
from balsamlift.testing.platform import KeyedStore

PART = "a" * PART_CHARACTERS
SETTLE_S = 0.3


class StandInPeers(Peers):
    """A host with a rank, without any connection."""

    def __init__(self, position: int) -> None:
        self.part_reports = PartReports(SystemClock())
        self.position = position

    def rank_for(self, subject: str) -> HostRank:
        del subject
        return HostRank(self.position, 3)

    def blocked(self) -> list[str]:
        return [
            entry.part
            for entry in self.part_reports.entries()
            if entry.state is PartState.BLOCKED
        ]


class HeldStore(Store):
    """A store whose answers are held until they are let through."""

    def __init__(self, address: str) -> None:
        super().__init__(address, HttpClient(max_calls=MAX_CALLS))
        self.may_read = asyncio.Event()
        self.has_read = asyncio.Event()
        self.may_answer_read = asyncio.Event()
        self.may_answer_append = asyncio.Event()

    async def newest(self, topic: str) -> RecordBatch:
        await self.may_read.wait()
        batch = await super().newest(topic)
        self.has_read.set()
        await self.may_answer_read.wait()
        return batch

    async def append(self, topic: str, key: str, value: bytes) -> None:
        await super().append(topic, key, value)
        await self.may_answer_append.wait()


@asynccontextmanager
async def host(
    store: Store, position: int = 0, *, is_first_start: bool = False
) -> AsyncIterator[tuple[StandInPeers, BlockedParts]]:
    peers = StandInPeers(position)
    service = BlockedParts(store, SystemClock(), is_first_start=is_first_start)
    kernel = Kernel()
    kernel.register(peers)
    await service.start(kernel)
    try:
        yield peers, service
    finally:
        await service.stop()


def stored(fake_store: KeyedStore) -> dict[str, bytes]:
    return {
        key: value
        for key, (_, value) in fake_store.topic(
            BLOCKED_PARTS_TOPIC
        ).newest.items()
    }


def test_a_host_that_restarts_refuses_what_was_blocked_before() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        async with host(store) as (peers, _):
            peers.part_reports.report(PART, PartState.BLOCKED)
            await wait_until(lambda: PART in stored(fake_store))
        async with host(store) as (restarted, _):
            await wait_until(restarted.blocked)
            assert restarted.blocked() == [PART]

    run(test)


def test_a_part_that_may_run_again_is_dropped_from_the_store() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        async with host(store) as (peers, _):
            peers.part_reports.report(PART, PartState.BLOCKED)
            await wait_until(lambda: PART in stored(fake_store))
            peers.part_reports.report(PART, PartState.UNBLOCKED)
            await wait_until(lambda: not stored(fake_store).get(PART))

    run(test)


def test_one_host_writes_for_all_and_another_if_it_is_gone() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        async with host(store, position=1) as (peers, _):
            peers.part_reports.report(PART, PartState.BLOCKED)
            await asyncio.sleep(SETTLE_S)
            assert stored(fake_store) == {}
            peers.position = 0
            await wait_until(lambda: PART in stored(fake_store))

    run(test)


def test_blocked_parts_are_written_again_if_the_store_has_lost_them() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        async with host(store) as (peers, service):
            peers.part_reports.report(PART, PartState.BLOCKED)
            topic = fake_store.topic(BLOCKED_PARTS_TOPIC)
            await wait_until(lambda: topic.end == 1)
            service.rewrite()
            await wait_until(lambda: topic.end == 2)

    run(test)


def test_what_was_read_before_the_store_lost_it_is_written_again() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        del store
        held = HeldStore(fake_store.address)
        async with host(held) as (peers, service):
            peers.part_reports.report(PART, PartState.BLOCKED)
            topic = fake_store.topic(BLOCKED_PARTS_TOPIC)
            await wait_until(lambda: topic.end == 1)
            held.may_read.set()
            await held.has_read.wait()
            service.rewrite()
            held.may_answer_read.set()
            await asyncio.sleep(SETTLE_S)
            held.may_answer_append.set()
            await wait_until(lambda: topic.end == 2)

    run(test)


def record(left_s: float) -> bytes:
    return msgspec.json.encode(BlockedPartRecord(time.time() + left_s))


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (PART, record(-1.0)),
        (PART, b"{"),
        (PART, b'{"expires_s": "soon"}'),
        (PART, b"[" * 100_000),
        ("short", record(60.0)),
    ],
    ids=["expired", "cut", "text", "nested", "key"],
)
def test_expired_and_invalid_records_block_nothing(
    key: str, value: bytes
) -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic(BLOCKED_PARTS_TOPIC)
        topic.append(key, value)
        topic.append("b" * PART_CHARACTERS, record(60.0))
        async with host(store) as (peers, _):
            await wait_until(peers.blocked)
            assert peers.blocked() == ["b" * PART_CHARACTERS]

    run(test)


def test_a_host_reads_once_the_store_answers() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic(BLOCKED_PARTS_TOPIC)
        topic.append(PART, record(60.0))
        fake_store.fault = "busy"
        async with host(store) as (peers, _):
            await asyncio.sleep(SETTLE_S)
            assert peers.blocked() == []
            fake_store.fault = ""
            await wait_until(peers.blocked)

    run(test)


def test_the_first_start_of_the_system_reads_nothing() -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic(BLOCKED_PARTS_TOPIC)
        topic.append(PART, record(60.0))
        async with host(store, is_first_start=True) as (peers, _):
            await asyncio.sleep(SETTLE_S)
            assert peers.blocked() == []

    run(test)
