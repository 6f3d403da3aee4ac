"""Append checkpoints of the state before the log's records expire."""

from __future__ import annotations

import asyncio
import contextlib
import random

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.exceptions import LogUnavailableError
from balsamlift.presets._log import LogClient
from balsamlift.presets._reader import Reader
from balsamlift.presets._records import Checkpoint, new_operation_id
from balsamlift.timeline import Timeline

log = logger.bind(part="presets")

CHECKPOINTS_PER_RETENTION = 4
URGENT_SHARE = 0.25  # of the retained offsets, counted from the earliest
MAX_URGENT_DELAY_S = 2.0


class Checkpointer:
    """Append a checkpoint when the newest one on the log is too old.

    Each host waits for a random delay after the newest checkpoint that it
    has read, so that usually a single host appends on behalf of all.
    Duplicate and stale checkpoints are harmless.
    """

    def __init__(
        self,
        client: LogClient,
        timeline: Timeline,
        clock: Clock,
        rng: random.Random,
        retention_ms: int,
    ) -> None:
        """Schedule the first checkpoint.

        `retention_ms` is the minimum time for which the log keeps a record.
        """
        self._log = client
        self._timeline = timeline
        self._clock = clock
        self._rng = rng
        self._interval_s = retention_ms / 1_000 / CHECKPOINTS_PER_RETENTION
        self._seen_offset = -1
        self._due_s = clock.monotonic() + rng.uniform(0.0, self._interval_s)
        self._is_urgent = False
        self._task: asyncio.Task[None] | None = None

    def append_if_due(self, reader: Reader) -> None:
        """Start appending a checkpoint of the reader's state if one is due.

        To be called after each poll of a reader that is up to date.
        """
        self._postpone_after_newer_checkpoint(reader)
        self._advance_when_urgent(reader)
        running = self._task is not None and not self._task.done()
        is_due = self._clock.monotonic() >= self._due_s
        if not is_due or running or not reader.state.presets:
            return
        self._due_s = self._next_due_s()
        state = reader.state.copy()
        self._task = asyncio.create_task(
            self._append(Checkpoint(new_operation_id(), state.offset, state))
        )

    async def stop(self) -> None:
        """Cancel an append in progress; it may still take effect."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def _postpone_after_newer_checkpoint(self, reader: Reader) -> None:
        newest = reader.state.checkpoint
        if newest is not None and newest.offset > self._seen_offset:
            self._seen_offset = newest.offset
            self._due_s = self._next_due_s()
            self._is_urgent = False

    def _advance_when_urgent(self, reader: Reader) -> None:
        """Bring the due time forward when records expire ahead of schedule."""
        newest = reader.state.checkpoint
        if newest is None or self._is_urgent:
            return
        retained = reader.state.offset - reader.earliest
        margin = newest.covers_offset - reader.earliest
        if margin < retained * URGENT_SHARE:
            self._is_urgent = True
            delay_s = self._rng.uniform(0.0, MAX_URGENT_DELAY_S)
            self._due_s = min(self._due_s, self._clock.monotonic() + delay_s)

    def _next_due_s(self) -> float:
        share = self._rng.uniform(0.5, 1.0)
        return self._clock.monotonic() + self._interval_s * share

    async def _append(self, checkpoint: Checkpoint) -> None:
        try:
            await self._log.append([checkpoint])
        except LogUnavailableError as error:
            log.warning("Could not append a checkpoint: {}.", error)
            return
        covers = checkpoint.covers_offset
        log.info(
            "Appended a checkpoint covering all records before offset {}.",
            covers,
        )
        self._timeline.record("checkpoint", covers_offset=covers)
