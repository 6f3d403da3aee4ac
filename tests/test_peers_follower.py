"""Being told the platform's records, and reading once that is too old."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from balsamlift.clock import SystemClock
from balsamlift.exceptions import StoreError
from balsamlift.peers import (
    EvacuationNews,
    Evacuations,
    Follower,
    Newest,
    Pace,
    Record,
    SharedRecords,
    Sources,
)
from balsamlift.peers._follower import TopicNews
from balsamlift.peers._lone_reads import AGAIN_MS, YIELD_S, LoneReads
from balsamlift.peers._positions import StorePosition
from balsamlift.peers._shared_records import (
    SENDABLE_BYTES,
    Position,
    RecordsAnswer,
)

DEADLINE_S = 10.0
PACE = Pace(wait_ms=200, most_age_s=0.6)


class HandClock(SystemClock):
    """A clock that a test moves on by hand."""

    ahead_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.ahead_s


class FakeStore:
    """A topic in memory that counts the calls."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.calls = 0
        self.is_down = False

    def append(self, key: str, value: bytes | None) -> None:
        self.records.append(Record(key, value, len(self.records)))

    async def newest(self, topic: str) -> Newest:
        self._called()
        newest = {record.key: record for record in self.records}
        kept = [r for r in newest.values() if r.value is not None]
        return Newest(kept, len(self.records))

    async def read(
        self,
        topic: str,
        start: int,
        wait_ms: int,
        on_large_answer: Callable[[int], None] | None = None,
    ) -> Newest:
        self._called()
        for _ in range(wait_ms // 10):
            if len(self.records) > start:
                break
            await asyncio.sleep(0.01)
        return Newest(self.records[start:], len(self.records))

    def _called(self) -> None:
        self.calls += 1
        if self.is_down:
            raise StoreError("down")


class Copy:
    """A configuration of a few bytes."""

    offset = 0
    encoded = b"routes"


class World:
    """Two hosts: one reads, the other is told."""

    def __init__(self) -> None:
        self.clock = HandClock()
        self.offered: list[bytes] = []
        self.read_store, self.told_store = FakeStore(), FakeStore()
        self.told_store.records = self.read_store.records
        self.reader = Follower(self.read_store, "t", self.clock, PACE)
        self.told = Follower(self.told_store, "t", self.clock, PACE)
        self.told.share(lambda: False)
        self.reader_copy, self.told_copy = Copy(), Copy()
        self.reader_evacuations = Evacuations()
        self.reader_evacuations.offer(EvacuationNews(0, []), "store")
        self.told_evacuations = Evacuations()
        self.reader_says = self.speaker(
            self.reader, self.reader_copy, self.reader_evacuations
        )
        self.told_says = self.speaker(
            self.told, self.told_copy, self.told_evacuations
        )
        self.is_settled = True

    def speaker(
        self, follower: Follower, copy: Copy, evacuations: Evacuations
    ) -> SharedRecords:
        records = SharedRecords(self.clock)
        records.connect(
            Sources(
                configuration=follower,
                listed=follower,
                copy=copy,
                offer=self.offered.append,
                is_settled=lambda: self.is_settled,
                evacuations=evacuations,
            )
        )
        return records

    def ask(self) -> RecordsAnswer | None:
        """Have the told host ask the reading one."""
        asked_s = self.clock.monotonic()
        answer = self.reader_says.answer(self.told_says.position())
        self.told_says.take(answer, asked_s)
        return answer


def run(test: Callable[[World], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(DEADLINE_S):
            await test(World())

    asyncio.run(main())


def test_a_host_that_is_told_does_not_read() -> None:
    async def test(world: World) -> None:
        for n in range(5):
            world.read_store.append("a", b"%d" % n)
            await world.reader.follow()
            world.ask()
            assert await world.told.follow()
            assert world.told.values() == {"a": b"%d" % n}
        assert world.told_store.calls == 0

    run(test)


def test_a_host_that_is_told_nothing_reads_in_time() -> None:
    """Counted from when the records were known to be all there were."""

    async def test(world: World) -> None:
        world.read_store.append("a", b"1")
        await world.reader.follow()
        world.ask()
        assert await world.told.follow()
        world.read_store.append("a", b"2")
        assert await world.told.follow()
        assert world.told.values() == {"a": b"2"}
        assert world.told_store.calls == 1
        assert world.told.age_s < PACE.most_age_s

    run(test)


def test_the_word_of_a_host_that_cannot_read_grows_old() -> None:
    async def test(world: World) -> None:
        world.read_store.append("a", b"1")
        await world.reader.follow()
        world.ask()
        assert await world.told.follow()
        world.read_store.is_down = True
        world.read_store.append("a", b"2")
        following = asyncio.create_task(world.told.follow())
        while not following.done():
            world.ask()
            await asyncio.sleep(0.05)
        assert world.told.values() == {"a": b"2"}

    run(test)


def test_news_in_the_middle_of_a_read_make_nothing_older() -> None:
    """What is told is never older than one read waits, and a pause."""

    async def test(world: World) -> None:
        world.reader.share(lambda: True)
        world.read_store.append("a", b"0")
        await world.reader.follow()
        oldest_s = 0.0
        following = asyncio.create_task(world.reader.follow())
        for n in range(40):
            await asyncio.sleep(0.02)
            if n % 20 == 8:  # news near the end of a read, then none
                world.read_store.append("a", b"%d" % n)
            if following.done():
                following = asyncio.create_task(world.reader.follow())
            oldest_s = max(oldest_s, world.reader.age_s)
        following.cancel()
        assert oldest_s < PACE.wait_ms / 1_000 + 0.1

    run(test)


def test_in_an_outage_a_host_that_is_told_asks_rarely() -> None:
    async def test(world: World) -> None:
        world.told_store.is_down = True
        with pytest.raises(StoreError):
            await world.told.follow()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await world.told.follow()
        assert world.told_store.calls == 1
        world.clock.ahead_s = AGAIN_MS / 1_000
        world.told_store.is_down = False
        assert await world.told.follow()

    run(test)


def test_a_list_that_may_lapse_is_not_told() -> None:
    async def test(world: World) -> None:
        world.read_store.append("a", b"1")
        await world.reader.follow()
        world.is_settled = False
        answer = world.ask()
        assert answer is not None
        assert answer.listed is None
        assert world.told.end is None

    run(test)


@pytest.mark.parametrize(
    ("own", "told", "is_confirmed"),
    [(3, 3, True), (4, 3, True), (2, 3, False), (0, 0, False)],
)
def test_a_version_is_the_newest_only_if_it_is_here(
    own: int, told: int, is_confirmed: bool
) -> None:
    async def test(world: World) -> None:
        await world.reader.follow()
        world.told_copy.offset, world.reader_copy.offset = own, told
        world.is_settled = False
        world.ask()
        assert (world.told.age_s < 1) is is_confirmed

    run(test)


def test_a_host_that_is_asked_knows_it_for_a_while() -> None:
    async def test(world: World) -> None:
        assert not world.reader_says.is_asked
        world.ask()
        assert world.reader_says.is_asked
        world.clock.ahead_s = 10.0
        assert not world.reader_says.is_asked

    run(test)


def test_a_host_without_records_is_told_nothing() -> None:
    records = SharedRecords(SystemClock())
    assert records.position() is None
    assert records.answer(Position(0, None)) is None
    assert not records.is_asked


def test_a_configuration_goes_to_hosts_that_lag_as_fast_as_it_may() -> None:
    async def test(world: World) -> None:
        await world.reader.follow()
        world.reader_copy.offset = 2
        world.reader_copy.encoded = bytes(int(SENDABLE_BYTES * 0.4))
        for _ in range(5):
            world.ask()
        assert len(world.offered) == 2
        world.clock.ahead_s = 1.0
        world.ask()
        assert len(world.offered) == 3
        world.told_copy.offset = 2
        world.clock.ahead_s = 2.0
        world.ask()
        assert len(world.offered) == 3

    run(test)


def test_one_topic_at_a_time_tries_in_an_outage() -> None:
    """The one whose read was in vain lets the other go first."""
    clock = HandClock()
    lone_reads = LoneReads(clock, random.Random(1))
    for topic in ("routes", "list"):
        lone_reads.add(topic)
    lone_reads.failed("routes")
    now_s = clock.monotonic()
    list_s = lone_reads.again_s("list")
    assert list_s - now_s >= AGAIN_MS / 2_000 - 0.01
    assert lone_reads.again_s("routes") == pytest.approx(list_s + YIELD_S)
    lone_reads.failed("list")
    assert lone_reads.again_s("routes") < lone_reads.again_s("list")


def test_a_topic_that_is_served_waits_for_no_other() -> None:
    """The store may serve some topics only; these have to be known in time."""
    lone_reads = LoneReads(HandClock(), random.Random(1))
    for topic in ("routes", "list"):
        lone_reads.add(topic)
    lone_reads.failed("routes")
    lone_reads.served("list")
    before_s = lone_reads.again_s("list")
    lone_reads.failed("routes")
    assert lone_reads.again_s("list") == before_s
    lone_reads.failed("list")
    lone_reads.failed("routes")
    assert lone_reads.again_s("list") > before_s


def test_evacuations_come_with_the_configuration() -> None:
    async def test(world: World) -> None:
        await world.reader.follow()
        world.reader_evacuations.offer(EvacuationNews(5, ["north"]), "store")
        world.ask()
        assert world.told_evacuations.domains == {"north"}
        world.reader_evacuations.offer(EvacuationNews(6, []), "store")
        world.ask()
        assert world.told_evacuations.domains == frozenset()

    run(test)


def test_a_version_without_a_word_of_evacuations_is_not_all_there_is() -> None:
    """A host that went by it would not read an evacuation by itself."""

    async def test(world: World) -> None:
        await world.reader.follow()
        world.told_copy.offset = world.reader_copy.offset = 3
        world.is_settled = False
        answer = world.reader_says.answer(world.told_says.position())
        assert answer is not None
        mute = msgspec.structs.replace(answer, evacuations=None)
        world.told_says.take(mute, world.clock.monotonic())
        assert world.told.age_s > 1
        world.told_says.take(answer, world.clock.monotonic())
        assert world.told.age_s < 1

    run(test)


def test_a_configuration_too_large_to_be_told_is_read_at_once() -> None:
    """Once, whatever was written meanwhile, and only by hosts that lack it."""

    async def test(world: World) -> None:
        world.read_store.append("a", b"1")
        await world.reader.follow()
        world.ask()
        assert await world.told.follow()
        world.is_settled = False  # nothing is told of records
        world.reader_copy.encoded = bytes(int(SENDABLE_BYTES) + 1)
        world.ask()
        following = asyncio.create_task(world.told.follow())
        await asyncio.sleep(0.05)
        assert world.told_store.calls == 0
        for n in (2, 3):
            world.read_store.append("a", b"%d" % n)
            world.reader_copy.offset = n
        world.ask()
        await asyncio.sleep(0.05)
        assert following.done()
        assert world.told.values() == {"a": b"3"}
        assert world.told_store.calls == 1

    run(test)


def test_skipped_records_are_not_read_again() -> None:
    async def test(world: World) -> None:
        store = world.told_store
        for n in range(4):
            store.append("k", b"%d" % n)
        world.told.skip_to(StorePosition(0, 4), [Record("k", b"3", 3)])
        assert world.told.values() == {"k": b"3"}
        store.append("k", b"4")
        assert await world.told.read(0)
        assert world.told.values() == {"k": b"4"}
        world.told.skip_to(StorePosition(0, 3), [Record("k", b"2", 2)])
        assert world.told.end == 5
        assert world.told.values() == {"k": b"4"}

    run(test)


def test_records_of_an_earlier_era_are_ignored() -> None:
    async def test(world: World) -> None:
        told = world.told
        told.skip_to(StorePosition(2, 3), [Record("k", b"new", 2)])
        stale = TopicNews(9, 0, True, [Record("k", b"old", 8)], era=1)
        told.take(stale, world.clock.monotonic())
        told.skip_to(StorePosition(1, 9), [Record("k", b"old", 8)])
        assert told.values() == {"k": b"new"}
        partial = TopicNews(5, 0, False, [Record("x", b"part", 4)], era=3)
        told.take(partial, world.clock.monotonic())
        assert told.values() == {"k": b"new"}  # not all of era 3 is known
        whole = TopicNews(1, 0, True, [Record("x", b"whole", 0)], era=3)
        told.take(whole, world.clock.monotonic())
        assert told.values() == {"x": b"whole"}
        assert told.position == StorePosition(3, 1)

    run(test)


def test_a_host_with_an_earlier_era_receives_all_records() -> None:
    async def test(world: World) -> None:
        reader = world.reader
        reader.skip_to(StorePosition(2, 3), [Record("k", b"new", 2)])
        reader.confirm(world.clock.monotonic())
        to_same_era = reader.news_since(3, 2)
        to_earlier_era = reader.news_since(3, 1)
        assert to_same_era is not None
        assert not to_same_era.is_whole
        assert to_earlier_era is not None
        assert to_earlier_era.is_whole
        assert to_earlier_era.position == StorePosition(2, 3)

    run(test)


def test_an_answer_of_an_earlier_era_than_other_hosts_told_is_rejected() -> (
    None
):
    async def test(world: World) -> None:
        world.told.skip_to(StorePosition(2, 0), [Record("k", b"new", 0)])
        world.told_store.append("k", b"old")  # an answer of era 0
        with pytest.raises(StoreError):
            await world.told.read(0)
        assert world.told.values() == {"k": b"new"}
        assert world.told.position == StorePosition(2, 0)

    run(test)
