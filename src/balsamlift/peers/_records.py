"""Records of the platform's store, and the newest of each key."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs
import msgspec

from balsamlift.peers._positions import StorePosition

# Removals remembered, so that a host that lags is told of them one by one.
# Upstreams come and go about once a second, and hosts ask once a second: one
# that lags by more than this many is told everything.
MOST_REMOVED = 256


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Hold one record of a topic; without a value, the key is gone.

    Bytes of the key that are no text are replaced: nothing of ours has such
    a key.
    """

    key: str
    value: bytes | None
    offset: int


@attrs.frozen
class Newest:
    """Hold records of a topic, and the offset from which to read on."""

    records: list[Record]
    end: int
    era: int = 0  # of the store that assigned the offsets; 0: not reported
    topic_end: int | None = None  # in the store; None: not reported

    @property
    def is_truncated(self) -> bool:
        """Tell whether the topic has records after those of the answer."""
        return self.topic_end is not None and self.end < self.topic_end

    @property
    def position(self) -> StorePosition:
        """Return the position from which to read on."""
        return StorePosition(self.era, self.end)


class RecordStore(Protocol):
    """Read the topics of the platform's store."""

    async def newest(self, topic: str) -> Newest:
        """Return the newest record of each key; raise `StoreError`."""

    async def read(
        self,
        topic: str,
        start: int,
        wait_ms: int,
        on_large_answer: Callable[[int], None] | None = None,
    ) -> Newest:
        """Return the records from `start` on, waiting for one.

        Calls `on_large_answer` with the offset after the last record in the
        store as soon as a large answer begins to arrive.

        Raises `HistoryLostError` when some of them are gone, else
        `StoreError`.
        """


class RecordTable:
    """Hold the newest record of each key, up to an offset."""

    def __init__(self) -> None:
        """Begin with nothing known."""
        self.end: int | None = None  # None: nothing was read or told yet
        self.era = 0  # of the store that assigned all offsets here
        self._records: dict[str, Record] = {}
        self._removed: dict[str, Record] = {}  # oldest first
        self._forgotten = -1  # offset of the latest removal forgotten

    @property
    def position(self) -> StorePosition | None:
        """Return the position after the last record known; None: none is."""
        return None if self.end is None else StorePosition(self.era, self.end)

    def values(self) -> dict[str, bytes]:
        """Return the value of each key."""
        return {
            key: record.value
            for key, record in self._records.items()
            if record.value is not None
        }

    def take(self, news: Newest) -> bool:
        """Take in what follows; tell whether any record was news."""
        taken = [self._take_record(record) for record in news.records]
        self.end = max(self.end or 0, news.end)
        return any(taken)

    def take_whole(self, newest: Newest) -> None:
        """Take in all that there is: it goes before what was known.

        Keys missing from `newest` are removed. When the era changes, known
        removals are discarded because their offsets are not comparable.
        """
        if newest.era != self.era:
            self._removed.clear()
            self._forgotten = newest.end - 1
            self._records.clear()
            self.era = newest.era
        kept = {record.key for record in newest.records}
        gone = self._records.keys() - kept
        self._records.clear()
        for key in gone:
            self._take_record(Record(key, None, max(newest.end - 1, 0)))
        for record in newest.records:
            self._removed.pop(record.key, None)
            self._records[record.key] = record
        self.end = newest.end

    def since(self, start: int) -> list[Record] | None:
        """Return what changed from `start` on; None: too much is forgotten."""
        if start <= self._forgotten:
            return None
        both = (*self._records.values(), *self._removed.values())
        return [record for record in both if record.offset >= start]

    def all(self) -> list[Record]:
        """Return the newest record of each key that is there."""
        return list(self._records.values())

    def _take_record(self, record: Record) -> bool:
        known = self._records.get(record.key) or self._removed.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self._records.pop(record.key, None)
        self._removed.pop(record.key, None)
        if record.value is not None:
            self._records[record.key] = record
        else:
            self._removed[record.key] = record
            self._forget()
        return True

    def _forget(self) -> None:
        for key in list(self._removed)[:-MOST_REMOVED]:
            offset = self._removed.pop(key).offset
            self._forgotten = max(self._forgotten, offset)
