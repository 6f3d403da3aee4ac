"""Follow one topic of the platform's store: read it, or be told.

With many hosts, a few read and the others ask one of these once a second. A
host knows at which moment what it holds was all that the store had, whoever
read it; once that is too long ago, it reads by itself. So a change is in
force in time whatever becomes of the hosts that read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import attrs
import msgspec
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.exceptions import HistoryLostError, StoreError
from balsamlift.peers._lone_reads import LoneReads
from balsamlift.peers._positions import StorePosition
from balsamlift.peers._records import (
    Newest,
    Record,
    RecordStore,
    RecordTable,
)

log = logger.bind(part="store")

# A host that is told looks this often whether it now reads for others.
LOOK_S = 1.0
LEAST_LOOK_S = 0.02  # a timer that fires early must not keep it busy
# What a reading host knows is older than its read waits by a pause and the
# read itself, also from a slow store.
READ_LATE_S = 0.5


@attrs.frozen(kw_only=True)
class Pace:
    """Bound how old what a host holds of a topic may be."""

    wait_ms: int  # that a read waits at the store for news
    most_age_s: float  # of what it was told, before a host reads by itself


class TopicNews(msgspec.Struct, frozen=True, array_like=True):
    """Hold what one host tells another of a topic."""

    end: int  # the offset after the last record known
    age_ms: int  # since these were all the records
    is_whole: bool  # every key, instead of what has changed
    records: list[Record]
    era: int = 0  # of the store that assigned the offsets

    @property
    def position(self) -> StorePosition:
        """Return the position after the last record known."""
        return StorePosition(self.era, self.end)


def _always() -> bool:
    return True


class Follower:
    """Keep the newest record of each key of one topic."""

    def __init__(
        self, store: RecordStore, topic: str, clock: Clock, pace: Pace
    ) -> None:
        """Begin with nothing known, reading by itself; see `share`."""
        self._store = store
        self._topic = topic
        self._clock = clock
        self._pace = pace
        self._table = RecordTable()
        self._reads: Callable[[], bool] = _always
        self._was_reading = True
        self._confirmed_s: float | None = None
        self._lone_reads = LoneReads(clock)
        self._is_told = False  # news that nobody has seen yet
        # Offset up to which to read, as reported by other hosts; 0: none.
        self._target_end = 0
        self._incoming_end = 0  # end of the last large answer that began
        self._woken = asyncio.Event()
        self._on_restored: list[Callable[[], None]] = []

    def share(
        self, reads: Callable[[], bool], lone_reads: LoneReads | None = None
    ) -> None:
        """Read only while `reads()`, or when what was told is too old.

        The topics of one host should have the same `lone_reads`.
        """
        self._reads = reads
        self._lone_reads = lone_reads or self._lone_reads
        self._lone_reads.add(self._topic)

    @property
    def reads(self) -> bool:
        """Tell whether this host reads the topic all the time."""
        return self._reads()

    @property
    def end(self) -> int | None:
        """Return the offset after the last record known; None: none is."""
        return self._table.end

    @property
    def position(self) -> StorePosition | None:
        """Return the position after the last record known; None: none is."""
        return self._table.position

    @property
    def era(self) -> int:
        """Return the era of the store that assigned the known offsets."""
        return self._table.era

    @property
    def age_s(self) -> float:
        """Return for how long there may have been records not known here."""
        if self._confirmed_s is None:
            return float("inf")
        return max(self._clock.monotonic() - self._confirmed_s, 0.0)

    @property
    def is_fresh(self) -> bool:
        """Tell whether this is as new as what a reading host would tell."""
        return self.age_s <= self._pace.wait_ms / 1_000 + READ_LATE_S

    def on_restored(self, callback: Callable[[], None]) -> None:
        """Call back after the store was restored from an older copy."""
        self._on_restored.append(callback)

    def values(self) -> dict[str, bytes]:
        """Return the value of each key."""
        return self._table.values()

    def confirm(self, at_s: float) -> None:
        """Note that what is known was all there was at that moment."""
        self._confirmed_s = max(at_s, self._confirmed_s or at_s)

    async def follow(self, wait_ms: int | None = None) -> bool:
        """Wait for news; tell whether there were any.

        Where this host reads, the read waits for `wait_ms`, or as long as
        the pace says. Raises `StoreError` after a read in vain.
        """
        while not self._is_told:
            self._woken.clear()
            if self._check_reads():
                wait_ms = self._wait_ms() if wait_ms is None else wait_ms
                return await self.read(wait_ms)
            if self._is_overdue():
                return await self._read_alone()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._look_s()):
                    await self._woken.wait()
        self._is_told = False
        return True

    async def read(self, wait_ms: int) -> bool:
        """Read what follows; raise `StoreError`."""
        if self._table.end is None:
            return await self._read_newest()
        sent_s = self._clock.monotonic()
        try:
            news = await self._store.read(
                self._topic, self._table.end, wait_ms, self._note_incoming_end
            )
        except HistoryLostError:
            log.bind(topic=self._topic, offset=self._table.end).info(
                "history is gone, reading the newest records"
            )
            return await self._read_newest()
        self._check_era(news.era)
        if news.era != self._table.era:
            # The known offsets may refer to other records in the new era.
            return await self._read_newest()
        if news.is_truncated:
            return await self._take_truncated(news)
        # An answer without records was given when the wait was over.
        waited_s = 0.0 if news.records else wait_ms / 1_000
        self.confirm(min(sent_s + waited_s, self._clock.monotonic()))
        return self._table.take(news)

    async def _take_truncated(self, news: Newest) -> bool:
        """Take in an answer truncated at the size limit; request the rest.

        Such an answer does not confirm the age: later records are missing.
        """
        if not news.records:
            # The next record exceeds the limit; another read cannot return it.
            return await self._read_newest()
        is_news = self._table.take(news)
        self.read_soon(news.topic_end)
        return is_news

    def news_since(self, start: int | None, era: int = 0) -> TopicNews | None:
        """Return what a host lacks that knows the topic up to `start`.

        `era` is the era of the store that assigned `start`.
        """
        if self._table.end is None or self._confirmed_s is None:
            return None
        is_comparable = start is not None and era == self._table.era
        records = self._table.since(start or 0) if is_comparable else None
        return TopicNews(
            end=self._table.end,
            age_ms=round(self.age_s * 1_000),
            is_whole=records is None,
            records=self._table.all() if records is None else records,
            era=self._table.era,
        )

    def take(self, news: TopicNews, asked_s: float) -> None:
        """Take in what another host answered to what was asked then."""
        position = self._table.position
        if position is not None and news.position < position:
            return  # it knows less
        is_same_era = position is not None and position.era == news.era
        if not is_same_era and not news.is_whole:
            return  # what comes before was asked for too
        newest = Newest(news.records, news.end, news.era)
        if news.is_whole:
            self._take_whole(newest)
        else:
            self._table.take(newest)
        self.confirm(asked_s - news.age_ms / 1_000)
        if news.records or not is_same_era:
            self._is_told = True
            self._woken.set()

    def skip_to(self, end: StorePosition, records: list[Record]) -> None:
        """Continue reading at `end` if it is past the current position.

        `records` replace the table as the newest of each key before `end`.
        """
        position = self._table.position
        if position is None or end > position:
            self._take_whole(Newest(records, end.offset, end.era))

    @property
    def incoming_end(self) -> int | None:
        """Return the end of a large answer not yet read completely, or None.

        Lets other hosts start to read the same records before this host has
        received them.
        """
        if self._incoming_end <= (self._table.end or 0):
            return None
        return self._incoming_end

    def read_soon(self, end: int | None = None) -> None:
        """Read up to `end` from the store; other hosts cannot send it.

        `end` defaults to the offset after the next record.
        """
        next_end = (self._table.end or 0) + 1
        self._target_end = max(self._target_end, end or 0, next_end)
        self._woken.set()

    def _note_incoming_end(self, end: int) -> None:
        self._incoming_end = max(self._incoming_end, end)

    @property
    def _lags(self) -> bool:
        return self._target_end > (self._table.end or 0)

    def _is_overdue(self) -> bool:
        if not self._lags and self.age_s <= self._pace.most_age_s:
            return False
        return self._clock.monotonic() >= self._lone_reads.again_s(self._topic)

    def _check_reads(self) -> bool:
        """Tell whether this host reads the topic; log when that changes."""
        reads = self._reads()
        if reads != self._was_reading:
            self._was_reading = reads
            role = "reads the topic" if reads else "is told the topic"
            log.bind(topic=self._topic).info("{}", role)
        return reads

    def _wait_ms(self) -> int:
        """Return how long the next read may wait.

        What is told must not be older than one read. A read that ends with
        news says nothing of the time since it was sent, so the next is as
        much shorter.
        """
        if self._reads is _always:
            return self._pace.wait_ms  # nobody is told
        age_ms = min(self.age_s * 1_000, self._pace.wait_ms)
        return self._pace.wait_ms - round(age_ms)

    def _look_s(self) -> float:
        """Return how long to wait for what may be told."""
        now_s = self._clock.monotonic()
        left_s = self._pace.most_age_s - self.age_s
        again_s = self._lone_reads.again_s(self._topic) - now_s
        due_s = max(left_s, again_s, LEAST_LOOK_S)
        return min(due_s, LOOK_S)

    async def _read_alone(self) -> bool:
        age_s = self.age_s
        lags, target_end = self._lags, self._target_end
        # A single record is read from the history, which is smaller as it is
        # not in base64. Of several large records only the newest is needed.
        lags_by_several = target_end > (self._table.end or 0) + 1
        try:
            is_news = await (
                self._read_newest() if lags_by_several else self.read(0)
            )
        except StoreError:
            self._lone_reads.failed(self._topic)
            raise
        self._lone_reads.served(self._topic)
        # Keep an end that was reported, or found, during the read.
        if self._target_end == target_end:
            self._target_end = 0
        log.bind(topic=self._topic, age_s=round(age_s, 3)).info(
            "told that there is more, read the topic"
            if lags
            else "told nothing for too long, read the topic"
        )
        return is_news

    async def _read_newest(self) -> bool:
        sent_s = self._clock.monotonic()
        newest = await self._store.newest(self._topic)
        self._check_era(newest.era)
        self._take_whole(newest)
        self.confirm(sent_s)
        return True

    def _check_era(self, era: int) -> None:
        """Raise `StoreError` if another host has told of a later era."""
        if era >= self._table.era:
            return
        log.bind(
            topic=self._topic, era=era, era_known=self._table.era
        ).warning("ignored an answer of an earlier era")
        raise StoreError(f"an answer of era {era} instead of a later one")

    def _take_whole(self, newest: Newest) -> None:
        previous = self._table.position
        self._table.take_whole(newest)
        if previous is None or previous.era == newest.era:
            return
        # These ends are offsets of the previous era.
        self._target_end = 0
        self._incoming_end = 0
        log.bind(
            topic=self._topic,
            era=newest.era,
            era_before=previous.era,
            offset=newest.end,
            offset_before=previous.offset,
        ).warning("store was restored, replaced all records of the topic")
        for callback in self._on_restored:
            callback()
