"""Follow one topic of the platform's store, directly or through other hosts.

Of many hosts, a few read the store, and the others ask one of these once a
second. A host knows the moment at which its records were all that the store
had, whichever host read them. Once that is too long ago, it reads the store
itself. So changes arrive in time even if all hosts that read have failed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.exceptions import HistoryLostError, StoreError
from balsamlift.peers._fallback_reads import FallbackReads
from balsamlift.peers._positions import StorePosition
from balsamlift.peers._records import (
    Record,
    RecordBatch,
    RecordStore,
    RecordTable,
)
from balsamlift.peers._topic_update import TopicUpdate

log = logger.bind(part="store")

# Interval at which a host checks whether it has become a reader.
ROLE_CHECK_INTERVAL_S = 1.0
# Shortest wait: a timer that fires early must not cause a busy loop.
MIN_WAIT_S = 0.02
# The records of a reader are older than the wait of one read by the pause
# between two reads and by the transfer, also from a slow store.
READ_DELAY_S = 0.5


@attrs.frozen(kw_only=True)
class FreshnessLimits:
    """Limit the age of the records of a topic on one host."""

    wait_ms: int  # for which a read waits for new records
    max_age_s: float  # before a host that is not a reader reads the store


def _always() -> bool:
    return True


class Follower:
    """Keep the newest record of each key of one topic."""

    def __init__(
        self,
        store: RecordStore,
        topic: str,
        clock: Clock,
        limits: FreshnessLimits,
    ) -> None:
        """Start without records, as a reader; see `share`."""
        self._store = store
        self._topic = topic
        self._clock = clock
        self._limits = limits
        self._table = RecordTable()
        self._is_reader: Callable[[], bool] = _always
        self._was_reader = True
        self._confirmed_s: float | None = None
        self._followed_s: float | None = None  # of what `follow` has told
        self._fallback_reads = FallbackReads(clock)
        self._has_update = False  # changes not yet returned by `follow`
        self.was_told = False  # what `follow` returned last, by another host
        # Offset up to which to read, as reported by other hosts; 0: none.
        self._target_end = 0
        self._incoming_end = 0  # end of the last large answer that began
        self._woken = asyncio.Event()
        self._on_restored: list[Callable[[], None]] = []

    def share(
        self,
        is_reader: Callable[[], bool],
        fallback_reads: FallbackReads | None = None,
    ) -> None:
        """Read only while `is_reader()`, or when the records are too old.

        The topics of one host should share one `fallback_reads`.
        """
        self._is_reader = is_reader
        self._fallback_reads = fallback_reads or self._fallback_reads
        self._fallback_reads.add(self._topic)

    @property
    def is_reader(self) -> bool:
        """Return whether this host reads the topic continuously."""
        return self._is_reader()

    @property
    def end(self) -> int | None:
        """Return the offset after the last record known, or None."""
        return self._table.end

    @property
    def position(self) -> StorePosition | None:
        """Return the position after the last record known, or None."""
        return self._table.position

    @property
    def era(self) -> int:
        """Return the era of the store that assigned the known offsets."""
        return self._table.era

    @property
    def age_s(self) -> float:
        """Return the time since the records were all that the store had."""
        if self._confirmed_s is None:
            return float("inf")
        return max(self._clock.monotonic() - self._confirmed_s, 0.0)

    @property
    def followed_age_s(self) -> float:
        """Return the age of the records that `follow` has told of."""
        if self._followed_s is None:
            return float("inf")
        return max(self._clock.monotonic() - self._followed_s, 0.0)

    @property
    def is_fresh(self) -> bool:
        """Return whether the records are as new as a reader would send."""
        return self.age_s <= self._limits.wait_ms / 1_000 + READ_DELAY_S

    def on_restored(self, callback: Callable[[], None]) -> None:
        """Call `callback` after the store was restored from an older copy."""
        self._on_restored.append(callback)

    def values(self) -> dict[str, bytes]:
        """Return the value of each key."""
        return self._table.values()

    def confirm(self, at_s: float) -> None:
        """Record that the known records were all there were at `at_s`."""
        self._confirmed_s = max(at_s, self._confirmed_s or at_s)
        if not self._has_update:
            self._followed_s = self._confirmed_s

    async def follow(self, max_wait_ms: int | None = None) -> bool:
        """Wait for changes and return whether there were any.

        If this host is a reader, the read waits for as long as the limits
        and `max_wait_ms` allow. Raises `StoreError` if a read fails.
        """
        self.was_told = False
        while not self._has_update:
            self._woken.clear()
            if self._check_is_reader():
                wait_ms = self._wait_ms()
                if max_wait_ms is not None:
                    wait_ms = min(wait_ms, max_wait_ms)
                return await self.read(wait_ms)
            if self._needs_fallback_read():
                return await self._fallback_read()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._update_wait_s()):
                    await self._woken.wait()
        self._has_update = False
        self.was_told = True
        self._followed_s = self._confirmed_s
        return True

    async def read(self, wait_ms: int) -> bool:
        """Read the records that follow and return whether any was new.

        Raises `StoreError`.
        """
        if self._table.end is None:
            return await self._read_newest()
        sent_s = self._clock.monotonic()
        try:
            batch = await self._store.read(
                self._topic,
                self._table.end,
                wait_ms,
                self._record_incoming_end,
            )
        except HistoryLostError:
            log.bind(topic=self._topic, offset=self._table.end).info(
                "history is no longer stored, reading the newest records"
            )
            return await self._read_newest()
        self._check_era(batch.era)
        if batch.era != self._table.era:
            # The known offsets may refer to other records in the new era.
            return await self._read_newest()
        if batch.is_truncated:
            return await self._apply_truncated(batch)
        # An answer without records was sent at the end of the wait.
        waited_s = 0.0 if batch.records else wait_ms / 1_000
        self.confirm(min(sent_s + waited_s, self._clock.monotonic()))
        return self._table.apply(batch)

    async def _apply_truncated(self, batch: RecordBatch) -> bool:
        """Apply an answer truncated at the size limit; request the rest.

        Such an answer does not confirm the age: later records are missing.
        """
        if not batch.records:
            # The next record exceeds the limit; another read cannot return it.
            return await self._read_newest()
        has_changes = self._table.apply(batch)
        self.read_soon(batch.topic_end)
        return has_changes

    def update_since(
        self, start: int | None, era: int = 0
    ) -> TopicUpdate | None:
        """Return the update for a host that knows the topic up to `start`.

        `era` is the era of the store that assigned `start`.
        """
        if self._table.end is None or self._confirmed_s is None:
            return None
        is_comparable = start is not None and era == self._table.era
        records = (
            self._table.changes_since(start or 0) if is_comparable else None
        )
        return TopicUpdate(
            end=self._table.end,
            age_ms=round(self.age_s * 1_000),
            is_complete=records is None,
            records=self._table.all() if records is None else records,
            era=self._table.era,
        )

    def apply_update(self, update: TopicUpdate, requested_s: float) -> None:
        """Apply the answer of another host to a request sent at that time."""
        position = self._table.position
        if position is not None and update.position < position:
            return  # the other host knows less
        is_same_era = position is not None and position.era == update.era
        if not is_same_era and not update.is_complete:
            return  # records before these are missing
        newest = RecordBatch(update.records, update.end, update.era)
        if update.is_complete:
            self._replace_table(newest)
        else:
            self._table.apply(newest)
        if update.records or not is_same_era:
            self._has_update = True
            self._woken.set()
        self.confirm(requested_s - update.age_ms / 1_000)

    def skip_to(self, end: StorePosition, records: list[Record]) -> None:
        """Continue reading at `end` if it is past the current position.

        `records` replace the table as the newest of each key before `end`.
        """
        position = self._table.position
        if position is None or end > position:
            self._replace_table(RecordBatch(records, end.offset, end.era))

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
        """Read up to `end` from the store, as other hosts cannot send it.

        `end` defaults to the offset after the next record.
        """
        next_end = (self._table.end or 0) + 1
        self._target_end = max(self._target_end, end or 0, next_end)
        self._woken.set()

    def _record_incoming_end(self, end: int) -> None:
        self._incoming_end = max(self._incoming_end, end)

    @property
    def _is_behind(self) -> bool:
        return self._target_end > (self._table.end or 0)

    def _needs_fallback_read(self) -> bool:
        if not self._is_behind and self.age_s <= self._limits.max_age_s:
            return False
        return self._clock.monotonic() >= self._fallback_reads.next_read_s(
            self._topic
        )

    def _check_is_reader(self) -> bool:
        """Return whether this host is a reader; log when that changes."""
        is_reader = self._is_reader()
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            role = (
                "now reads the topic from the store"
                if is_reader
                else "now receives the topic from other hosts"
            )
            log.bind(topic=self._topic).info("{}", role)
        return is_reader

    def _wait_ms(self) -> int:
        """Return how long the next read may wait.

        The records sent to other hosts must not be older than one read. A
        read that ends with new records confirms only the time at which it
        was sent, so the next one waits for as much less.
        """
        if self.age_s > self._limits.max_age_s:
            return 0  # nothing new is news as well, e.g. after a stall
        if self._is_reader is _always:
            return self._limits.wait_ms  # no other host depends on it
        age_ms = min(self.age_s * 1_000, self._limits.wait_ms)
        return self._limits.wait_ms - round(age_ms)

    def _update_wait_s(self) -> float:
        """Return how long to wait for an update from another host."""
        now_s = self._clock.monotonic()
        left_s = self._limits.max_age_s - self.age_s
        retry_in_s = self._fallback_reads.next_read_s(self._topic) - now_s
        wait_s = max(left_s, retry_in_s, MIN_WAIT_S)
        return min(wait_s, ROLE_CHECK_INTERVAL_S)

    async def _fallback_read(self) -> bool:
        age_s = self.age_s
        is_behind, target_end = self._is_behind, self._target_end
        # A single record is read from the history, which is smaller because
        # it is not in base64. Of several large records, only the newest is
        # needed.
        several_behind = target_end > (self._table.end or 0) + 1
        try:
            has_changes = await (
                self._read_newest() if several_behind else self.read(0)
            )
        except StoreError:
            self._fallback_reads.failed(self._topic)
            raise
        self._fallback_reads.succeeded(self._topic)
        # Keep a target that was reported or found during the read.
        if self._target_end == target_end:
            self._target_end = 0
        log.bind(topic=self._topic, age_s=round(age_s, 3)).info(
            "read the topic from the store, as more records are known to exist"
            if is_behind
            else "read the topic from the store, as the records were too old"
        )
        return has_changes

    async def _read_newest(self) -> bool:
        sent_s = self._clock.monotonic()
        newest = await self._store.newest(self._topic)
        self._check_era(newest.era)
        self._replace_table(newest)
        self.confirm(sent_s)
        return True

    def _check_era(self, era: int) -> None:
        """Raise `StoreError` if a later era is already known."""
        if era >= self._table.era:
            return
        log.bind(
            topic=self._topic, era=era, era_known=self._table.era
        ).warning("ignored an answer from an earlier era of the store")
        raise StoreError(f"answer is from an earlier era of the store: {era}")

    def _replace_table(self, newest: RecordBatch) -> None:
        previous = self._table.position
        self._table.replace_all(newest)
        if previous is None or previous.era == newest.era:
            return
        # These are offsets of the previous era.
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
