"""HTTP client of the platform's store of keyed records."""

from __future__ import annotations

import base64
import re
import struct
from collections.abc import Awaitable, Callable
from urllib.parse import urlencode

import msgspec
from loguru import logger

from balsamlift._http import Answer, CallError, HttpClient
from balsamlift._json import decode_json, decode_json_list
from balsamlift._streaming import StallLimits
from balsamlift.clock import Clock, SystemClock
from balsamlift.exceptions import HistoryLostError, StoreError
from balsamlift.peers import MAX_INTEGER, Offset, Record, RecordBatch
from balsamlift.platform._names import ERA_HEADER

log = logger.bind(part="store")

# Timeout for the first byte and for each pause within an answer.
SILENCE_MS = 1_000
CONNECT_MS = 500
# Answers of at least this size are logged with their duration. An answer
# whose first record is this large is reported as soon as it begins.
LARGE_ANSWER_BYTES = 50_000
_OK = 200
_GONE = 410
_READ_HEADER = struct.Struct(">QQ")  # end of the topic, first offset kept
_RECORD_LENGTH = struct.Struct(">I")
_DIGITS = re.compile(r"\d+")
REPLACED = "\ufffd"  # a character of a key that is not valid text
_ERA = re.compile(r"[0-9]{1,15}")


class _Item(msgspec.Struct):
    """Represent a record on a page of the newest records."""

    Key: str
    Value: str  # base64
    Offset: Offset = 0


class _Page(msgspec.Struct):
    """Represent a page of the newest records, which are not decoded yet."""

    Items: list[msgspec.Raw]
    HasMore: bool
    EndOffset: Offset


class Store:
    """Read and append records; each call fails when the store is silent."""

    def __init__(
        self, address: str, http: HttpClient, clock: Clock | None = None
    ) -> None:
        """Send calls to the store at `address`, "IP:port"."""
        self._url = f"http://{address}"
        self._http = http
        self._clock = clock or SystemClock()
        # Last failure of each topic, without digits, so that a message with a
        # different time or size is not logged as a new kind of failure.
        self._failure_kinds: dict[str, str] = {}
        self.era = 0  # latest received; 0 if the store reports none

    async def newest(self, topic: str) -> RecordBatch:
        """Return the newest record of each key; raise `StoreError`."""
        records: list[Record] = []
        end: int | None = None
        era: int | None = None
        after = ""
        starts: set[str] = set()  # of pages
        while True:
            query = {"Topic": topic, "part": "0"}
            if after:
                query["After"] = after
            answer = await self._read("/log-newest", query)
            try:
                page = decode_json_list(answer.body, _Page)
            except msgspec.MsgspecError as error:
                raise StoreError(
                    f"invalid page of records: {error}"
                ) from error
            page_records = _decode_items(page.Items, topic)
            records += page_records
            # Pages are not a snapshot: return the end offset of the first one,
            # so that the caller reads changes made since then again.
            end = page.EndOffset if end is None else end
            era = self.era if era is None else era
            if era != self.era:
                raise StoreError("store was restored between two pages")
            if not page.HasMore:
                return RecordBatch(records, end, era)
            after = _last_exact_key(page_records)
            if not after or after in starts:
                raise StoreError("page of records does not advance")
            starts.add(after)

    async def read(
        self,
        topic: str,
        start: int,
        wait_ms: int,
        on_large_answer: Callable[[int], None] | None = None,
    ) -> RecordBatch:
        """Return the records from `start` on; wait up to `wait_ms` for one.

        Calls `on_large_answer` with the offset after the last record in the
        store as soon as an answer begins whose first record is large.

        Raises `HistoryLostError` if the store no longer has all of them, and
        `StoreError` for any other failure.
        """
        query = {
            "Topic": topic,
            "part": "0",
            "From": str(start),
            "WaitMs": str(wait_ms),
        }
        detector = _LargeAnswerDetector(
            start, on_large_answer or _ignore_large_answer
        )
        answer = await self._read("/log-read", query, wait_ms, detector.feed)
        return _decode_read_answer(answer.body, start, self.era)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record; raise `StoreError` if that fails."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = _RECORD_LENGTH.pack(len(content)) + content
        path = "/log-append"
        query = {"Topic": topic, "part": "0"}
        call = self._http.call(
            "POST",
            self._build_url(path, query),
            body,
            timeout_ms=SILENCE_MS,
            connect_ms=CONNECT_MS,
        )
        await self._await_answer(call, path, query)

    async def _read(
        self,
        path: str,
        query: dict[str, str],
        wait_ms: int = 0,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> Answer:
        limits = StallLimits(
            first_byte_ms=wait_ms + SILENCE_MS, silence_ms=SILENCE_MS
        )
        url = self._build_url(path, query)
        call = self._http.read(
            url, limits, connect_ms=CONNECT_MS, on_chunk=on_chunk
        )
        return await self._await_answer(call, path, query)

    def _build_url(self, path: str, query: dict[str, str]) -> str:
        return f"{self._url}{path}?{urlencode(query)}"

    async def _await_answer(
        self, call: Awaitable[Answer], path: str, query: dict[str, str]
    ) -> Answer:
        """Return the answer of a call; raise `StoreError` if it failed.

        Raises `HistoryLostError` if the requested records are gone.
        """
        sent_s = self._clock.monotonic()
        try:
            answer = await call
        except CallError as error:
            kind = _DIGITS.sub("", error.reason)
            self._track_availability(query["Topic"], error.message, kind)
            raise StoreError(error.message) from error
        self._update_era(answer.headers.get(ERA_HEADER), query["Topic"])
        if answer.status == _GONE:
            raise HistoryLostError(path)
        if answer.status != _OK:
            status = f"status {answer.status}"
            self._track_availability(
                query["Topic"], f"{path}: {status}", status
            )
            raise StoreError(f"{path}: status {answer.status}")
        self._track_availability(query["Topic"])
        if len(answer.body) >= LARGE_ANSWER_BYTES:
            took_s = self._clock.monotonic() - sent_s
            log.bind(
                topic=query["Topic"],
                start=query.get("From"),
                size_bytes=len(answer.body),
                took_ms=round(took_s * 1_000),
            ).info("read a large answer")
        return answer

    def _update_era(self, text: str | None, topic: str) -> None:
        """Record the era of an answer; raise `StoreError` if it is stale.

        Once the store has reported an era, an answer without a valid era is
        treated as stale.
        """
        if text is None and not self.era:
            return
        is_era = text is not None and _ERA.fullmatch(text)
        era = int(text) if text is not None and is_era else -1
        if era < self.era:
            named = (text or "none")[:40]
            message = f"stale answer: era {named}, latest is {self.era}"
            self._track_availability(topic, message, "stale answer")
            raise StoreError(message)
        if self.era and era > self.era:
            log.bind(era=era, era_before=self.era).warning(
                "store was restored from an older copy"
            )
        self.era = era

    def _track_availability(
        self, topic: str, failure: str = "", kind: str = ""
    ) -> None:
        """Log when a topic fails, fails in another way, or recovers.

        Topics are tracked one by one: the store may serve some partitions
        and not others.
        """
        if kind == self._failure_kinds.get(topic, ""):
            return
        was_unavailable = bool(self._failure_kinds.pop(topic, ""))
        if not kind:
            log.bind(topic=topic).info("store available again")
            return
        self._failure_kinds[topic] = kind
        log.bind(topic=topic, reason=failure).warning(
            "store still unavailable"
            if was_unavailable
            else "store unavailable"
        )


def _ignore_large_answer(end: int) -> None:
    del end


class _LargeAnswerDetector:
    """Detect a large answer from the length of its first record."""

    def __init__(
        self, start: int, on_large_answer: Callable[[int], None]
    ) -> None:
        """Inspect the answer to a read that begins at offset `start`."""
        self._start = start
        self._on_large_answer = on_large_answer
        self._header = b""

    def feed(self, chunk: bytes) -> None:
        """Process a received chunk; call `on_large_answer` at most once."""
        size = _READ_HEADER.size + _RECORD_LENGTH.size
        if len(self._header) >= size:
            return
        self._header += chunk[: size - len(self._header)]
        if len(self._header) < size:
            return
        end, _ = _READ_HEADER.unpack_from(self._header)
        (length,) = _RECORD_LENGTH.unpack_from(self._header, _READ_HEADER.size)
        is_large = length >= LARGE_ANSWER_BYTES
        if is_large and self._start < end <= MAX_INTEGER:
            self._on_large_answer(end)


def _decode_items(items: list[msgspec.Raw], topic: str) -> list[Record]:
    """Return the records of a page, without items that are invalid.

    Raises `StoreError` if all are, as that would remove every record.
    """
    records = []
    for raw in items:
        try:
            records.append(_decode_item(decode_json(raw, _Item)))
        except msgspec.MsgspecError as error:
            log.bind(topic=topic, size_bytes=len(bytes(raw))).error(
                "invalid item on a page of records: {}", error
            )
    if items and not records:
        raise StoreError("page of records has no valid item")
    return records


def _last_exact_key(records: list[Record]) -> str:
    """Return the last key without replaced characters, or an empty text."""
    exact = (r.key for r in reversed(records) if REPLACED not in r.key)
    return next(exact, "")


def _decode_item(item: _Item) -> Record:
    """Return a record of a page; keep a value as is if it is not base64."""
    try:
        value = base64.b64decode(item.Value)
    except ValueError:
        value = item.Value.encode()
    return Record(item.Key, value, item.Offset)


def _decode_read_answer(body: bytes, start: int, era: int = 0) -> RecordBatch:
    """Return the complete records of an answer and the offset after them."""
    try:
        topic_end, _ = _READ_HEADER.unpack_from(body)
        if topic_end > MAX_INTEGER:
            raise StoreError(f"invalid end of a topic: {topic_end}")
        records: list[Record] = []
        position = _READ_HEADER.size
        while position + _RECORD_LENGTH.size <= len(body):
            (length,) = _RECORD_LENGTH.unpack_from(body, position)
            position += _RECORD_LENGTH.size
            content = body[position : position + length]
            if len(content) != length:
                break  # truncated at the size limit: the next read begins here
            position += length
            records.append(_decode_record(content, start + len(records)))
    except struct.error as error:
        raise StoreError(f"invalid answer to a read: {error}") from error
    return RecordBatch(records, start + len(records), era, topic_end)


def _decode_record(content: bytes, offset: int) -> Record:
    """Return a record; never fail, as valid records may come after it."""
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode(errors="replace")
    return Record(key, content[1 + size :] or None, offset)
