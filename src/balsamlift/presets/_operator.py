"""Publish presets and switch between them, on behalf of operators.

The outcome of an operation is read back from the log.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Literal

import attrs
from loguru import logger

from balsamlift._back_off import BackOff
from balsamlift._http import HttpClient
from balsamlift.clock import Clock, SystemClock
from balsamlift.exceptions import (
    LogBlockedError,
    LogUnavailableError,
    LogUnreadableError,
    OffsetGapError,
)
from balsamlift.presets._log import LogClient
from balsamlift.presets._preset import Preset
from balsamlift.presets._reader import Reader
from balsamlift.presets._records import Publish, Switch, new_operation_id
from balsamlift.presets._state import FoldState, Outcome

log = logger.bind(part="operator")

SILENCE_MS = 2_000
READ_WAIT_MS = 1_000
WAIT_MS = 15_000

OperationState = Literal["accepted", "superseded", "unknown", "invalid"]


@attrs.frozen
class OperationResult:
    """Hold the outcome of an operation, the same for all readers of the log.

    "unknown" means that the record was not seen on the log in time; it may
    still appear, which `Operator.outcome` shows. `generation` is the one in
    force just after the record, `offset` the position of the record; both
    are None if unknown.
    """

    op: str
    state: OperationState
    generation: int | None
    offset: int | None


class Operator:
    """Run operations on the log; each call reads the log from its start.

    Every call raises `LogUnreadableError` when no complete state could be
    read within `wait_ms`, and `LogBlockedError` when the log accepted no
    append. In both cases nothing was changed.
    """

    def __init__(
        self,
        log_address: str,
        clock: Clock | None = None,
        *,
        silence_ms: int = SILENCE_MS,
        wait_ms: int = WAIT_MS,
    ) -> None:
        """Set the log's address, "IP:port", and the limits of each call.

        `silence_ms` is the minimum timeout of a call to the log (see
        `LogClient`); `wait_ms` limits the time to read up to the end of the
        log, and again the time to read back an appended record.
        """
        self._address = log_address
        self._clock = clock or SystemClock()
        self._silence_ms = silence_ms
        self._wait_ms = wait_ms

    async def publish(self, preset: Preset) -> OperationResult:
        """Publish a preset under its name, without putting it in force."""
        async with self._session() as session:
            await session.catch_up()
            record = Publish(new_operation_id(), preset.name, preset)
            return await session.append(record)

    async def switch(
        self, name: str, expected_generation: int | None = None
    ) -> OperationResult:
        """Put a published preset in force.

        The switch is accepted only while `expected_generation` is in force;
        None stands for the generation in force when the call begins.
        """
        async with self._session() as session:
            state = await session.catch_up()
            expected = expected_generation
            if expected is None:
                expected = state.generation
            record = Switch(new_operation_id(), name, expected)
            return await session.append(record)

    async def state(self) -> FoldState:
        """Return the state at the end of the log."""
        async with self._session() as session:
            return await session.catch_up()

    async def outcome(self, op: str) -> OperationResult:
        """Return the outcome of an earlier operation."""
        async with self._session() as session:
            state = await session.catch_up()
            return _build_result(op, state.outcomes.get(op))

    @asynccontextmanager
    async def _session(self) -> AsyncIterator[_Session]:
        http = HttpClient()
        client = LogClient(self._address, self._silence_ms, self._clock, http)
        await client.start()
        try:
            yield _Session(client, self._clock, self._wait_ms)
        finally:
            await client.stop()
            http.close()


class _Session:
    """Read and append within one call of `Operator`."""

    def __init__(self, client: LogClient, clock: Clock, wait_ms: int) -> None:
        self._log = client
        self._clock = clock
        self._wait_s = wait_ms / 1_000
        self._reader = Reader(client)
        self._back_off = BackOff()

    async def catch_up(self) -> FoldState:
        """Read up to the end of the log and return the state."""
        error = LogUnreadableError("the log has no usable checkpoint")
        deadline_s = self._clock.monotonic() + self._wait_s
        while self._clock.monotonic() < deadline_s:
            failed = await self._poll(0)
            error = failed or error
            if failed is None and self._reader.is_up_to_date:
                return self._reader.state
            if self._reader.scanning and self._reader.at_end:
                await self._clock.sleep(self._back_off.failed())
        raise error

    async def append(self, record: Publish | Switch) -> OperationResult:
        """Append once, then read on until the record is folded.

        A lost answer never causes a second append, as the first may have
        taken effect.
        """
        offset: int | None = None
        try:
            [offset] = await self._log.append([record])
        except LogBlockedError:
            raise
        except LogUnavailableError as error:
            log.info(
                "Append not confirmed, reading the log for its outcome: {}.",
                error,
            )
        await self._read_until_folded(record.op, offset)
        return _build_result(
            record.op, self._reader.state.outcomes.get(record.op)
        )

    async def _read_until_folded(self, op: str, offset: int | None) -> None:
        deadline_s = self._clock.monotonic() + self._wait_s
        while op not in self._reader.state.outcomes:
            if offset is not None and self._reader.state.offset > offset:
                return
            if self._clock.monotonic() >= deadline_s:
                return
            await self._poll(READ_WAIT_MS)

    async def _poll(self, wait_ms: int) -> LogUnreadableError | None:
        """Read once; after a failure, back off and return the error."""
        try:
            await self._reader.poll(wait_ms)
        except (LogUnavailableError, OffsetGapError) as error:
            await self._clock.sleep(self._back_off.failed())
            return LogUnreadableError(error.message)
        self._back_off.succeeded()
        return None


def _build_result(op: str, outcome: Outcome | None) -> OperationResult:
    if outcome is None:
        return OperationResult(op, "unknown", None, None)
    return OperationResult(
        op, outcome.verdict, outcome.generation, outcome.offset
    )
