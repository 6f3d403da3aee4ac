"""A client for the platform's append-only log."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Sequence

import attrs
import msgspec
from loguru import logger

from balsamlift._back_off import BackOff
from balsamlift._http import Answer, CallError, HttpClient
from balsamlift._json import decode_json_list
from balsamlift._numbers import parse_decimal
from balsamlift._streaming import StallLimits
from balsamlift.clock import Clock
from balsamlift.exceptions import LogBlockedError, LogUnavailableError
from balsamlift.kernel import Kernel
from balsamlift.presets._adaptive_timeout import AdaptiveTimeout
from balsamlift.presets._records import (
    Entry,
    Record,
    decode_record,
    encode_record,
)

log = logger.bind(part="log")

APPEND_LIMIT = 256  # records in one call
READ_LIMIT = 1_000
MAX_APPEND_ATTEMPTS = 5  # when the log reports that its rate limit is reached
TOO_MANY_REQUESTS = 429
OK = 200
MAX_RETRY_AFTER_S = 86_400.0  # a longer time is honoured for so long


@attrs.frozen
class Batch:
    """Hold the consecutive entries that one read returned.

    `earliest` is the first offset still retained, `next` the offset at which
    the next read starts.
    """

    earliest: int
    next: int
    entries: list[Entry]


class _RawEntry(msgspec.Struct):
    offset: int
    record: msgspec.Raw
    at_ms: int = 0


class _ReadAnswer(msgspec.Struct):
    earliest: int
    next: int
    records: list[_RawEntry]


class _AppendAnswer(msgspec.Struct):
    offsets: list[int]


@attrs.define(eq=False)
class _PendingAppend:
    """Hold the records of one `append` call until they are appended."""

    records: list[bytes]
    done: asyncio.Future[list[int]]


class LogClient:
    """Append to the log and read it, with an adaptive timeout per call."""

    name = "log"

    def __init__(
        self,
        address: str,
        silence_ms: int,
        clock: Clock,
        http: HttpClient,
        rng: random.Random | None = None,
    ) -> None:
        """Set up a client that is not started yet.

        `address` is "IP:port"; `silence_ms` is the minimum timeout of an
        append, and of a read that receives no data; `rng` randomizes the
        retry delay.
        """
        self._url = f"http://{address}/v1/log"
        self._append_timeout = AdaptiveTimeout(silence_ms)
        self._read_timeout = AdaptiveTimeout(silence_ms)
        self._clock = clock
        self._http = http
        self._back_off = BackOff(rng)
        self._queue: asyncio.Queue[_PendingAppend] = asyncio.Queue()
        self._blocked_until = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def retry_after_ms(self) -> int:
        """Return the time until appends are tried again; 0 if now."""
        left_s = self._blocked_until - self._clock.monotonic()
        return max(int(left_s * 1_000), 0)

    async def start(self, kernel: Kernel | None = None) -> None:
        """Start the only task that sends appends."""
        del kernel
        self._task = asyncio.create_task(self._append_pending())

    async def stop(self) -> None:
        """Stop the task; pending appends fail."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        while not self._queue.empty():
            stranded = [self._queue.get_nowait()]
            _fail(stranded, LogUnavailableError("the log client stopped"))

    async def append(self, records: Sequence[Record]) -> list[int]:
        """Append records and return their offsets.

        Concurrent callers share one HTTP call. Raises `LogUnavailableError`
        when the answer was lost: only reading the log shows whether the
        records were appended. Raises its subclass `LogBlockedError` when
        they certainly were not.
        """
        if self.retry_after_ms > 0:
            raise self._blocked_error()
        done = asyncio.get_running_loop().create_future()
        encoded = [encode_record(record) for record in records]
        self._queue.put_nowait(_PendingAppend(encoded, done))
        offsets: list[int] = await done
        return offsets

    async def read(
        self, offset: int, wait_ms: int = 0, limit: int = READ_LIMIT
    ) -> Batch:
        """Return the entries from `offset` on.

        Waits up to `wait_ms` for the first of them. Raises
        `LogUnavailableError`.
        """
        query = f"from={offset}&limit={limit}&wait_ms={wait_ms}"
        timeout = self._read_timeout
        began_s = self._clock.monotonic()
        try:
            answer = await self._http.read(
                f"{self._url}/read?{query}",
                StallLimits(
                    first_byte_ms=wait_ms + timeout.timeout_ms,
                    silence_ms=timeout.timeout_ms,
                ),
                connect_ms=timeout.timeout_ms,
                fresh=timeout.last_call_failed,
            )
        except CallError as error:
            timeout.record_failure()
            raise LogUnavailableError(str(error)) from error
        took_s = self._clock.monotonic() - began_s
        timeout.record_answer(int(took_s * 1_000) - wait_ms)
        return _decode_batch(answer)

    async def _append_pending(self) -> None:
        while True:
            pending = [await self._queue.get()]
            try:
                offsets = await self._append_batch(pending)
            except LogUnavailableError as error:
                _fail(pending, error)
            except asyncio.CancelledError:
                _fail(pending, LogUnavailableError("the log client stopped"))
                raise
            else:
                _succeed(pending, offsets)

    def _collect_pending(self, pending: list[_PendingAppend]) -> None:
        count = sum(len(one.records) for one in pending)
        while not self._queue.empty() and count < APPEND_LIMIT:
            one = self._queue.get_nowait()
            pending.append(one)
            count += len(one.records)

    async def _append_batch(self, pending: list[_PendingAppend]) -> list[int]:
        """Append the records of all `pending` calls in one HTTP call.

        It is repeated only after an answer that says that nothing was
        appended (429), so that no record is appended twice.
        """
        for _ in range(MAX_APPEND_ATTEMPTS):
            self._collect_pending(pending)
            answer = await self._post_append(pending)
            if answer.status != TOO_MANY_REQUESTS:
                return self._decode_offsets(answer, pending)
            delay_s = self._back_off.failed(_retry_after_ms(answer))
            log.info(
                "Append rate limit reached, retrying in {:.1f} s.", delay_s
            )
            await self._clock.sleep(delay_s)
        raise self._blocked_error()

    async def _post_append(self, pending: list[_PendingAppend]) -> Answer:
        records = [record for one in pending for record in one.records]
        timeout = self._append_timeout
        began_s = self._clock.monotonic()
        try:
            answer = await self._http.call(
                "POST",
                f"{self._url}/append",
                b'{"records":[' + b",".join(records) + b"]}",
                timeout_ms=timeout.timeout_ms,
                connect_ms=timeout.timeout_ms,
                headers={"Content-Type": "application/json"},
                fresh=timeout.last_call_failed,
            )
        except CallError as error:
            timeout.record_failure()
            self._block(0.0)
            raise LogUnavailableError(str(error)) from error
        took_s = self._clock.monotonic() - began_s
        timeout.record_answer(int(took_s * 1_000))
        return answer

    def _decode_offsets(
        self, answer: Answer, pending: list[_PendingAppend]
    ) -> list[int]:
        expected = sum(len(one.records) for one in pending)
        try:
            if answer.status == OK:
                offsets = answer.decode(_AppendAnswer).offsets
                if len(offsets) == expected:
                    self._back_off.succeeded()
                    return offsets
        except msgspec.MsgspecError as error:
            log.warning("Append returned a malformed answer: {}", error)
        self._block(_retry_after_ms(answer))
        raise LogUnavailableError(f"append returned status {answer.status}")

    def _block(self, at_least_ms: float) -> None:
        delay_s = self._back_off.failed(at_least_ms)
        self._blocked_until = self._clock.monotonic() + delay_s

    def _blocked_error(self) -> LogBlockedError:
        return LogBlockedError(max(self.retry_after_ms, 1))


def _retry_after_ms(answer: Answer) -> float:
    seconds = parse_decimal(answer.headers.get("Retry-After", "")) or 0.0
    return min(seconds, MAX_RETRY_AFTER_S) * 1_000


def _decode_batch(answer: Answer) -> Batch:
    if answer.status != OK:
        raise LogUnavailableError(f"read returned status {answer.status}")
    try:
        raw = decode_json_list(answer.body, _ReadAnswer)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(
            f"read returned a malformed answer: {error}"
        ) from error
    entries = [
        Entry(one.offset, one.at_ms, decode_record(one.record))
        for one in raw.records
    ]
    return Batch(raw.earliest, raw.next, entries)


def _fail(pending: list[_PendingAppend], error: LogUnavailableError) -> None:
    for one in pending:
        if not one.done.done():
            one.done.set_exception(error)


def _succeed(pending: list[_PendingAppend], offsets: list[int]) -> None:
    start = 0
    for one in pending:
        end = start + len(one.records)
        if not one.done.done():
            one.done.set_result(offsets[start:end])
        start = end
