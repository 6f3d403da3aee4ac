"""Keep the blocked parts of prompts in the store.

Hosts tell one another, but all of them may be restarted at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import suppress

import msgspec
from loguru import logger

from balsamlift._back_off import BackOff
from balsamlift._json import decode_json
from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.exceptions import StoreError
from balsamlift.kernel import Kernel
from balsamlift.peers import (
    PartEntry,
    PartReport,
    PartState,
    Peers,
    Record,
)
from balsamlift.platform._names import BLOCKED_PARTS_TOPIC
from balsamlift.platform._store import Store

log = logger.bind(part="store")

RETRY_MS, MAX_RETRY_MS = 200.0, 800.0
# The host that writes for all may change.
CHECK_INTERVAL_S = 1.0
# A block that was extended by less is not written again.
MIN_EXTENSION_S = 60.0
PART_CHARACTERS = 16
_MS_PER_S = 1_000


class BlockedPartRecord(msgspec.Struct, frozen=True):
    """Represent a part that is blocked for a time."""

    expires_s: float  # wall time


class BlockedParts:
    """Write blocked parts to the store, and read them at the start."""

    name = "blocked_parts"

    def __init__(
        self, store: Store, clock: Clock, *, is_first_start: bool
    ) -> None:
        """Read unless this is the first start of the whole system."""
        self._store = store
        self._clock = clock
        self._is_first_start = is_first_start
        self._has_news = asyncio.Event()
        # What the store holds of a part, and until when (monotonic). Replaced
        # once the store has lost records, so that a read that began before
        # does not count.
        self._written: dict[str, tuple[PartState, float]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, kernel: Kernel) -> None:
        """Start reading and writing in the background."""
        self._peers = kernel.find("peers", Peers)
        self._reports = self._peers.part_reports
        self._reports.on_new_reports(self._process_new_reports)
        self._tasks = [
            start_task("blocked parts", self._keep_writing, self._clock)
        ]
        if not self._is_first_start:
            reading = start_task(
                "read of blocked parts", self._read, self._clock
            )
            self._tasks.append(reading)

    async def stop(self) -> None:
        """Stop reading and writing."""
        for task in self._tasks:
            await end_task(task)

    def rewrite(self) -> None:
        """Write all blocked parts again, as the store has lost records."""
        self._written = {}
        self._has_news.set()

    def _process_new_reports(self, reports: Iterable[PartReport]) -> None:
        if any(report.state >= PartState.BLOCKED for report in reports):
            self._has_news.set()

    async def _read(self) -> None:
        """Read the blocked parts once, as soon as the store answers."""
        back_off = BackOff(None, RETRY_MS, MAX_RETRY_MS)
        while True:
            written = self._written
            try:
                batch = await self._store.newest(BLOCKED_PARTS_TOPIC)
            except StoreError:
                # The store has logged the failure.
                await self._clock.sleep(back_off.failed())
                continue
            self._offer(batch.records, written)
            return

    def _offer(
        self,
        records: Iterable[Record],
        written: dict[str, tuple[PartState, float]],
    ) -> None:
        reports = []
        for record in records:
            ttl_s = self._decode_ttl_s(record)
            if ttl_s <= 0:
                continue
            expires_s = self._clock.monotonic() + ttl_s
            written[record.key] = PartState.BLOCKED, expires_s
            ttl_ms = int(ttl_s * _MS_PER_S)
            reports.append(
                PartReport(record.key, "", PartState.BLOCKED, ttl_ms)
            )
        log.bind(parts=len(reports)).info("read the blocked parts")
        self._reports.add(reports)

    def _decode_ttl_s(self, record: Record) -> float:
        """Return how much longer a part is blocked; 0 if it is not."""
        if not record.value or len(record.key) != PART_CHARACTERS:
            return 0.0
        try:
            decoded = decode_json(record.value, BlockedPartRecord)
        except msgspec.MsgspecError as error:
            log.bind(key=record.key).error("{}", error)
            return 0.0
        left_s = decoded.expires_s - self._clock.now().timestamp()
        return min(left_s, PartState.BLOCKED.ttl_ms / _MS_PER_S)

    async def _keep_writing(self) -> None:
        back_off = BackOff(None, RETRY_MS, MAX_RETRY_MS)
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._has_news.wait()
            self._has_news.clear()
            try:
                await self._write_changes()
            except StoreError:
                await self._clock.sleep(back_off.failed())
                continue
            back_off.succeeded()

    async def _write_changes(self) -> None:
        """Write what has changed, if this host does so for all."""
        for entry in list(self._reports.entries()):
            if entry.state < PartState.BLOCKED or self._is_written(entry):
                continue
            if self._peers.rank_for(entry.part).position:
                continue
            # Set first, as the store may be restored during the call.
            self._written[entry.part] = entry.state, entry.expires_s
            try:
                await self._store.append(
                    BLOCKED_PARTS_TOPIC, entry.part, self._encode(entry)
                )
            except StoreError:
                self._written.pop(entry.part, None)
                raise

    def _is_written(self, entry: PartEntry) -> bool:
        state, expires_s = self._written.get(
            entry.part, (PartState.UNBLOCKED, 0.0)
        )
        if state is not entry.state:
            return False
        extension_s = entry.expires_s - expires_s
        is_short = extension_s < MIN_EXTENSION_S
        return state is PartState.UNBLOCKED or is_short

    def _encode(self, entry: PartEntry) -> bytes:
        """Return the value of a record; without one, its key is dropped."""
        if entry.state is PartState.UNBLOCKED:
            return b""
        left_s = entry.expires_s - self._clock.monotonic()
        expires_s = self._clock.now().timestamp() + left_s
        return msgspec.json.encode(BlockedPartRecord(expires_s))
