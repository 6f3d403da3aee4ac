"""Repeat the state on the log before its records expire."""

from __future__ import annotations

import asyncio
import contextlib
import random

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.exceptions import LogUnavailableError
from balsamlift.presets._log import LogClient
from balsamlift.presets._reader import Reader
from balsamlift.presets._records import Checkpoint, new_operation
from balsamlift.timeline import Timeline

log = logger.bind(part="presets")

CHECKPOINTS_PER_RETENTION = 4
PRESSING_SHARE = 0.25  # of the retained offsets, from the earliest on
PRESSING_S = 2.0


class Checkpointer:
    """Append a checkpoint when the newest one grows old.

    Each host waits a random time from the newest checkpoint that it has
    read, so that mostly the first of them appends for all. Duplicates
    and stale checkpoints do no harm.
    """

    def __init__(
        self,
        client: LogClient,
        timeline: Timeline,
        clock: Clock,
        rng: random.Random,
        retention_ms: int,
    ) -> None:
        """`retention_ms` is how long the log keeps a record at least."""
        self._log = client
        self._timeline = timeline
        self._clock = clock
        self._rng = rng
        self._every_s = retention_ms / 1_000 / CHECKPOINTS_PER_RETENTION
        self._seen_offset = -1
        self._due_s = clock.monotonic() + rng.uniform(0.0, self._every_s)
        self._pressing = False
        self._task: asyncio.Task[None] | None = None

    def consider(self, reader: Reader) -> None:
        """Begin to append a checkpoint of the reader's state if it is due.

        To be called after each step of a reader that follows the log.
        """
        self._postpone_after_newer(reader)
        self._hurry_when_pressing(reader)
        running = self._task is not None and not self._task.done()
        is_due = self._clock.monotonic() >= self._due_s
        if not is_due or running or not reader.state.presets:
            return
        self._due_s = self._next_due_s()
        state = reader.state.copy()
        self._task = asyncio.create_task(
            self._append(Checkpoint(new_operation(), state.offset, state))
        )

    async def stop(self) -> None:
        """End an append that is under way; it may still take effect."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def _postpone_after_newer(self, reader: Reader) -> None:
        newest = reader.state.checkpoint
        if newest is not None and newest.offset > self._seen_offset:
            self._seen_offset = newest.offset
            self._due_s = self._next_due_s()
            self._pressing = False

    def _hurry_when_pressing(self, reader: Reader) -> None:
        """Bring the due time forward when records expire early."""
        newest = reader.state.checkpoint
        if newest is None or self._pressing:
            return
        retained = reader.state.offset - reader.earliest
        left = newest.covers_offset - reader.earliest
        if left < retained * PRESSING_SHARE:
            self._pressing = True
            hurried_s = self._rng.uniform(0.0, PRESSING_S)
            self._due_s = min(self._due_s, self._clock.monotonic() + hurried_s)

    def _next_due_s(self) -> float:
        share = self._rng.uniform(0.5, 1.0)
        return self._clock.monotonic() + self._every_s * share

    async def _append(self, checkpoint: Checkpoint) -> None:
        try:
            await self._log.append([checkpoint])
        except LogUnavailableError as error:
            log.warning("Checkpoint not appended: {}.", error)
            return
        covers = checkpoint.covers_offset
        log.info("Appended a checkpoint that covers offset {}.", covers)
        self._timeline.record("checkpoint", covers_offset=covers)
