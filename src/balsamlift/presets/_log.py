"""The client of the platform's append-only log."""

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
from balsamlift._streaming import StallLimits
from balsamlift.clock import Clock
from balsamlift.exceptions import LogBlockedError, LogUnavailableError
from balsamlift.kernel import Kernel
from balsamlift.presets._records import (
    Entry,
    Record,
    decode_record,
    encode_record,
)
from balsamlift.presets._silence import SilenceBound

log = logger.bind(part="log")

APPEND_LIMIT = 256  # records in one call
READ_LIMIT = 1_000
APPEND_TRIES = 5  # while the log says that its rate is reached
TOO_MANY_REQUESTS = 429
OK = 200


@attrs.frozen
class Batch:
    """Hold consecutive entries of the log.

    `earliest` is the first offset retained, `next` the one to read on from.
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
class _Waiting:
    """Hold the records of one caller until they are appended."""

    records: list[bytes]
    done: asyncio.Future[list[int]]


class LogClient:
    """Append to the log and read it, each call with a bound on silence."""

    name = "log"

    def __init__(
        self,
        address: str,
        silence_ms: int,
        clock: Clock,
        http: HttpClient,
        rng: random.Random | None = None,
    ) -> None:
        """Keep the address "IP:port"; `rng` gives the jitter."""
        self._url = f"http://{address}/v1/log"
        self._append_silence = SilenceBound(silence_ms)
        self._read_silence = SilenceBound(silence_ms)
        self._clock = clock
        self._http = http
        self._back_off = BackOff(rng)
        self._queue: asyncio.Queue[_Waiting] = asyncio.Queue()
        self._blocked_until = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def retry_after_ms(self) -> int:
        """Return when a new append makes sense; 0 when one does now."""
        left_s = self._blocked_until - self._clock.monotonic()
        return max(int(left_s * 1_000), 0)

    async def start(self, kernel: Kernel | None = None) -> None:
        """Begin the one task that appends."""
        del kernel
        self._task = asyncio.create_task(self._append_all())

    async def stop(self) -> None:
        """End the task; appends that wait fail."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        while not self._queue.empty():
            left = [self._queue.get_nowait()]
            _fail(left, LogUnavailableError("the log client stopped"))

    async def append(self, records: Sequence[Record]) -> list[int]:
        """Append records and return their offsets.

        Callers that wait at the same time share one call. Raises
        `LogUnavailableError` when the answer is lost: only reading on
        tells whether the records are on the log. Raises its subclass
        `LogBlockedError` when they certainly are not.
        """
        if self.retry_after_ms > 0:
            raise self._blocked()
        done = asyncio.get_running_loop().create_future()
        encoded = [encode_record(record) for record in records]
        self._queue.put_nowait(_Waiting(encoded, done))
        offsets: list[int] = await done
        return offsets

    async def read(
        self, offset: int, wait_ms: int = 0, limit: int = READ_LIMIT
    ) -> Batch:
        """Return the entries from `offset` on; wait for the first of them.

        Raises `LogUnavailableError`.
        """
        query = f"from={offset}&limit={limit}&wait_ms={wait_ms}"
        silence = self._read_silence
        began_s = self._clock.monotonic()
        try:
            answer = await self._http.read(
                f"{self._url}/read?{query}",
                StallLimits(
                    first_byte_ms=wait_ms + silence.bound_ms,
                    silence_ms=silence.bound_ms,
                ),
                connect_ms=silence.bound_ms,
                fresh=silence.was_reached,
            )
        except CallError as error:
            silence.reached()
            raise LogUnavailableError(str(error)) from error
        took_s = self._clock.monotonic() - began_s
        silence.answered(int(took_s * 1_000) - wait_ms)
        return _decode_batch(answer)

    async def _append_all(self) -> None:
        while True:
            waiting = [await self._queue.get()]
            try:
                offsets = await self._append_joined(waiting)
            except LogUnavailableError as error:
                _fail(waiting, error)
            except asyncio.CancelledError:
                _fail(waiting, LogUnavailableError("the log client stopped"))
                raise
            else:
                _succeed(waiting, offsets)

    def _drain(self, waiting: list[_Waiting]) -> None:
        count = sum(len(one.records) for one in waiting)
        while not self._queue.empty() and count < APPEND_LIMIT:
            one = self._queue.get_nowait()
            waiting.append(one)
            count += len(one.records)

    async def _append_joined(self, waiting: list[_Waiting]) -> list[int]:
        """Append for all in `waiting`, again only when certainly not done."""
        for _ in range(APPEND_TRIES):
            self._drain(waiting)
            answer = await self._call_append(waiting)
            if answer.status != TOO_MANY_REQUESTS:
                return self._take_offsets(answer, waiting)
            delay_s = self._back_off.failed(_retry_after_ms(answer))
            log.info("Over the rate; next append in {:.1f} s.", delay_s)
            await self._clock.sleep(delay_s)
        raise self._blocked()

    async def _call_append(self, waiting: list[_Waiting]) -> Answer:
        records = [record for one in waiting for record in one.records]
        silence = self._append_silence
        began_s = self._clock.monotonic()
        try:
            answer = await self._http.call(
                "POST",
                f"{self._url}/append",
                b'{"records":[' + b",".join(records) + b"]}",
                timeout_ms=silence.bound_ms,
                connect_ms=silence.bound_ms,
                headers={"Content-Type": "application/json"},
                fresh=silence.was_reached,
            )
        except CallError as error:
            silence.reached()
            self._block(0.0)
            raise LogUnavailableError(str(error)) from error
        took_s = self._clock.monotonic() - began_s
        silence.answered(int(took_s * 1_000))
        return answer

    def _take_offsets(
        self, answer: Answer, waiting: list[_Waiting]
    ) -> list[int]:
        wanted = sum(len(one.records) for one in waiting)
        try:
            if answer.status == OK:
                offsets = answer.decode(_AppendAnswer).offsets
                if len(offsets) == wanted:
                    self._back_off.succeeded()
                    return offsets
        except msgspec.MsgspecError as error:
            log.warning("Append answered no JSON: {}", error)
        self._block(_retry_after_ms(answer))
        raise LogUnavailableError(f"append answered {answer.status}")

    def _block(self, at_least_ms: float) -> None:
        delay_s = self._back_off.failed(at_least_ms)
        self._blocked_until = self._clock.monotonic() + delay_s

    def _blocked(self) -> LogBlockedError:
        return LogBlockedError(max(self.retry_after_ms, 1))


def _retry_after_ms(answer: Answer) -> float:
    try:
        return float(answer.headers.get("Retry-After", "0")) * 1_000
    except ValueError:
        return 0.0


def _decode_batch(answer: Answer) -> Batch:
    if answer.status != OK:
        raise LogUnavailableError(f"read answered {answer.status}")
    try:
        raw = answer.decode(_ReadAnswer)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(f"read answered: {error}") from error
    entries = [
        Entry(one.offset, one.at_ms, decode_record(one.record))
        for one in raw.records
    ]
    return Batch(raw.earliest, raw.next, entries)


def _fail(waiting: list[_Waiting], error: LogUnavailableError) -> None:
    for one in waiting:
        if not one.done.done():
            one.done.set_exception(error)


def _succeed(waiting: list[_Waiting], offsets: list[int]) -> None:
    start = 0
    for one in waiting:
        end = start + len(one.records)
        if not one.done.done():
            one.done.set_result(offsets[start:end])
        start = end
