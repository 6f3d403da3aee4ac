"""Records of the platform's log, with offsets and retention."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from balsamlift.clock import Clock


@attrs.frozen(kw_only=True)
class LogRecord:
    """Hold one record; `at_ms` is the wall time of its append."""

    offset: int
    at_ms: int
    record: Any


@attrs.frozen(kw_only=True)
class LogPage:
    """Answer a read; `next` is the offset to continue at."""

    earliest: int
    next: int
    records: list[LogRecord]


class LogStore:
    """Append records in order and expire them by age and number."""

    def __init__(
        self,
        clock: Clock,
        retention_ms: int,
        retention_records: int,
        is_ageing: Callable[[], bool] = lambda: True,
    ) -> None:
        """Start empty at offset 0.

        Records grow older, and so expire, only while `is_ageing()`.
        """
        self._clock = clock
        self._retention_ms = retention_ms
        self._retention_records = retention_records
        self._records: deque[LogRecord] = deque()
        self._is_ageing = is_ageing
        self._aged_ms = 0.0  # by the time in which records grew older
        self._aged_until_s = clock.monotonic()
        self._appended_at_ms: deque[float] = deque()  # of `_aged_ms`
        self._end = 0
        self._appended = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset that the next record gets."""
        return self._end

    def append(self, records: list[Any]) -> list[int]:
        """Append records and return their offsets."""
        first = self._end
        at_ms = self._now_ms()
        for record in records:
            self._records.append(
                LogRecord(offset=self._end, at_ms=at_ms, record=record)
            )
            self._appended_at_ms.append(self._age_ms())
            self._end += 1
        self._appended.set()
        self._appended = asyncio.Event()
        return list(range(first, self._end))

    def read(self, offset: int, limit: int) -> LogPage:
        """Return up to `limit` records from `offset` on."""
        self._drop_expired()
        earliest = self._end - len(self._records)
        start = min(max(offset, earliest), self._end)
        skip = start - earliest
        stop = min(skip + limit, len(self._records))
        records = [self._records[i] for i in range(skip, stop)]
        return LogPage(
            earliest=earliest, next=start + len(records), records=records
        )

    async def wait_for_record(self, offset: int, wait_ms: int) -> None:
        """Wait for a record at `offset`, for `wait_ms` at most."""
        deadline = self._clock.monotonic() + wait_ms / 1_000
        while self._end <= offset:
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                return
            try:
                await asyncio.wait_for(self._appended.wait(), remaining_s)
            except TimeoutError:
                return

    def _drop_expired(self) -> None:
        oldest_ms = self._age_ms() - self._retention_ms
        while self._records and (
            len(self._records) > self._retention_records
            or self._appended_at_ms[0] < oldest_ms
        ):
            self._records.popleft()
            self._appended_at_ms.popleft()

    def _age_ms(self) -> float:
        """Return the time for which records have grown older since the start.

        It is looked at with each call of a host, several times a second.
        """
        now_s = self._clock.monotonic()
        if self._is_ageing():
            self._aged_ms += (now_s - self._aged_until_s) * 1_000
        self._aged_until_s = now_s
        return self._aged_ms

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1_000)
