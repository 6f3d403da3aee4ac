"""Stand-in for the platform's store of keyed records, with its faults."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from typing import Literal

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from balsamlift.testing._settings import LOOPBACK_IP

Fault = Literal["", "silent", "busy", "many", "lost"]

_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_STATUS: dict[Fault, int] = {"busy": 503, "many": 429}
CHUNK_BYTES = 4_096  # written and flushed at once
PAGE_RECORDS = 3  # records per page; small, so that tests read several pages


@attrs.define
class Topic:
    """Hold the retained records of one topic, and the newest of each key."""

    first: int = 0
    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    newest: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> None:
        """Append a record; an empty value deletes the key."""
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))
        self.appended.set()
        self.appended = asyncio.Event()


class KeyedStore:
    """Serve keyed topics on a port of one IP address."""

    def __init__(self, ip: str = LOOPBACK_IP) -> None:
        """Start empty; `start` begins to listen."""
        self._ip = ip
        self.topics: dict[str, Topic] = {}
        self.fault: Fault = ""
        self.silent_topics: set[str] = set()  # requests for them hang
        self.calls: list[str] = []
        self.era: int | str = 0  # sent in answers; 0: not sent
        # Cuts the records of a read, also within a record; None: no limit.
        self.max_read_bytes: int | None = None
        self.bytes_per_s: float | None = None  # None: no limit
        self.stall_after_bytes: int | None = None  # in each answer
        self._server = HTTPServer(
            Application(
                [
                    ("/log-newest", _Newest, {"store": self}),
                    ("/log-read", _Read, {"store": self}),
                    ("/log-append", _Append, {"store": self}),
                ],
                log_function=lambda handler: None,
            )
        )
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        sockets = bind_sockets(0, self._ip)
        self._server.add_sockets(sockets)
        self.address = f"{self._ip}:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the port and every connection."""
        self._server.stop()
        await self._server.close_all_connections()

    def topic(self, name: str) -> Topic:
        """Return a topic, creating it on first use."""
        return self.topics.setdefault(name, Topic())

    def restore(self, record_count: int) -> None:
        """Restore the first `record_count` records of each topic.

        This acts like the restore of an older backup: the store begins a
        new era and later records are lost. Topics whose history was dropped
        by `drop_history` are not supported.
        """
        assert isinstance(self.era, int)
        self.era += 1
        for topic in self.topics.values():
            records = topic.records[:record_count]
            topic.records.clear()
            topic.newest.clear()
            for key, value in records:
                topic.append(key, value)

    def drop_history(self, name: str) -> None:
        """Drop the history of a topic, but keep the newest of each key."""
        topic = self.topic(name)
        topic.first = topic.end
        topic.records.clear()
        topic.appended.set()
        topic.appended = asyncio.Event()


class _Handler(RequestHandler):
    def initialize(self, store: KeyedStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        if self.store.era:
            self.set_header("Store-Era", str(self.store.era))
        self.store.calls.append(self.request.path)
        fault = self.store.fault
        topic = self.get_query_argument("Topic")
        if fault == "silent" or topic in self.store.silent_topics:
            await asyncio.Event().wait()
        elif fault in _STATUS:
            self.send_error(_STATUS[fault])

    def topic(self) -> Topic:
        return self.store.topic(self.get_query_argument("Topic"))

    async def send_body(self, body: bytes) -> None:
        """Send `body` at the store's rate, and stall after its limit."""
        self.set_header("Content-Length", len(body))
        rate = self.store.bytes_per_s
        stall_after = self.store.stall_after_bytes
        for start in range(0, len(body), CHUNK_BYTES):
            if stall_after is not None and start >= stall_after:
                await asyncio.Event().wait()
            chunk = body[start : start + CHUNK_BYTES]
            if rate is not None:
                await asyncio.sleep(len(chunk) / rate)
            self.write(chunk)
            await self.flush()


class _Newest(_Handler):
    async def get(self) -> None:
        topic = self.topic()
        after = self.get_query_argument("After", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(topic.newest[key][1]).decode(),
                "Offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_RECORDS]
        ]
        page = {
            "Items": items,
            "HasMore": len(keys) > PAGE_RECORDS,
            "EndOffset": topic.end,
        }
        await self.send_body(json.dumps(page).encode())


class _Read(_Handler):
    async def get(self) -> None:
        topic = self.topic()
        start = int(self.get_query_argument("From"))
        wait_s = int(self.get_query_argument("WaitMs", "0")) / 1_000
        if start >= topic.end and wait_s:
            waiting = topic.appended.wait()
            try:
                await asyncio.wait_for(waiting, wait_s)
            except TimeoutError:
                self.write(_OFFSETS.pack(topic.end, topic.first))
                return
        if start < topic.first or start > topic.end:
            self.set_status(410)
            self.write({"FirstOffset": topic.first})
            return
        encoded = [_OFFSETS.pack(topic.end, topic.first)]
        for key, value in topic.records[start - topic.first :]:
            content = bytes([len(key)]) + key.encode() + value
            encoded.append(_LENGTH.pack(len(content)) + content)
        records = b"".join(encoded[1:])[: self.store.max_read_bytes]
        await self.send_body(encoded[0] + records)


class _Append(_Handler):
    async def post(self) -> None:
        topic = self.topic()
        content = self.request.body[_LENGTH.size :]
        size = content[0]
        key = content[1 : 1 + size].decode()
        topic.append(key, content[1 + size :])
        if self.store.fault == "lost":
            await asyncio.Event().wait()
        self.write({"Offset": topic.end - 1, "EndOffset": topic.end})
