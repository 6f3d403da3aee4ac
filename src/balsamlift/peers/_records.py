"""Tables of the newest record of each key of a topic."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs
import msgspec

from balsamlift.peers._integers import Integer
from balsamlift.peers._positions import StorePosition

# Removals kept, so that a host that lags can be sent single changes. Upstreams
# come and go about once a second, and hosts ask once a second. A host that
# lags by more removals is sent the complete table.
MAX_REMOVALS = 256


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Hold one record of a topic; without a value, it removes the key.

    Bytes of the key that are not valid text are replaced, as no record that
    this project reads has such a key.
    """

    key: str
    value: bytes | None
    offset: Integer


@attrs.frozen
class RecordBatch:
    """Hold records of a topic, and the offset of the next read."""

    records: list[Record]
    end: int
    era: int = 0  # of the store that assigned the offsets; 0: not reported
    topic_end: int | None = None  # in the store; None: not reported

    @property
    def is_truncated(self) -> bool:
        """Return whether the topic has records after those of the answer."""
        return self.topic_end is not None and self.end < self.topic_end

    @property
    def position(self) -> StorePosition:
        """Return the position of the next read."""
        return StorePosition(self.era, self.end)


class RecordStore(Protocol):
    """Read topics of the platform's store."""

    async def newest(self, topic: str) -> RecordBatch:
        """Return the newest record of each key; raise `StoreError`."""

    async def read(
        self,
        topic: str,
        start: int,
        wait_ms: int,
        on_large_answer: Callable[[int], None] | None = None,
    ) -> RecordBatch:
        """Return the records from `start` on; wait up to `wait_ms` for one.

        Calls `on_large_answer` with the offset after the last record in the
        store as soon as a large answer begins to arrive.

        Raises `HistoryLostError` if the store no longer has some of them,
        else `StoreError`.
        """


class RecordTable:
    """Hold the newest record of each key, up to an offset."""

    def __init__(self) -> None:
        """Start without any record."""
        self.end: int | None = None  # None: no records were received yet
        self.era = 0  # of the store that assigned all offsets here
        self._records: dict[str, Record] = {}
        self._removed: dict[str, Record] = {}  # oldest first
        self._last_discarded = -1  # offset of the latest removal discarded

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

    def apply(self, batch: RecordBatch) -> bool:
        """Apply the records that follow; return whether any was new."""
        changed = [self._apply_record(record) for record in batch.records]
        self.end = max(self.end or 0, batch.end)
        return any(changed)

    def replace_all(self, newest: RecordBatch) -> None:
        """Replace all records by the newest record of each key.

        Keys missing from `newest` are removed. When the era changes, known
        removals are discarded because their offsets are not comparable.
        """
        if newest.era != self.era:
            self._removed.clear()
            self._last_discarded = newest.end - 1
            self._records.clear()
            self.era = newest.era
        kept = {record.key for record in newest.records}
        removed_keys = self._records.keys() - kept
        self._records.clear()
        for key in removed_keys:
            self._apply_record(Record(key, None, max(newest.end - 1, 0)))
        for record in newest.records:
            self._removed.pop(record.key, None)
            self._records[record.key] = record
        self.end = newest.end

    def changes_since(self, start: int) -> list[Record] | None:
        """Return the changes from `start` on.

        Returns None if removals since then have been discarded.
        """
        if start <= self._last_discarded:
            return None
        both = (*self._records.values(), *self._removed.values())
        return [record for record in both if record.offset >= start]

    def all(self) -> list[Record]:
        """Return the newest record of each key that has a value."""
        return list(self._records.values())

    def _apply_record(self, record: Record) -> bool:
        known = self._records.get(record.key) or self._removed.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self._records.pop(record.key, None)
        self._removed.pop(record.key, None)
        if record.value is not None:
            self._records[record.key] = record
        else:
            self._removed[record.key] = record
            self._discard_old_removals()
        return True

    def _discard_old_removals(self) -> None:
        for key in list(self._removed)[:-MAX_REMOVALS]:
            offset = self._removed.pop(key).offset
            self._last_discarded = max(self._last_discarded, offset)
