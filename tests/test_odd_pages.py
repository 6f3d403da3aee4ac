"""Test what odd answers of the store do to a host that reads topics."""

import asyncio
import base64
import json
import struct
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest
from loguru import logger

from balsamlift._http import Answer, HttpClient
from balsamlift.exceptions import StoreError
from balsamlift.platform._names import ERA_HEADER
from balsamlift.platform._store import (
    LARGE_ANSWER_BYTES,
    Store,
    _decode_read_answer,
    _LargeAnswerDetector,
)

DEADLINE_S = 5.0
ODD_VALUES = {
    "null": "null",
    "list": "[1]",
    "object": "{}",
    "1e400": "1e400",
    "NaN": "NaN",
    "400 digits": "9" * 400,
    "5000 digits": "9" * 5_000,
    "70 bits": str(1 << 70),
    "negative": "-1",
    "lone surrogate": '"\\ud800"',
    "nested": "[" * 100_000 + "]" * 100_000,
    "nested objects": '{"a":' * 100_000 + "1" + "}" * 100_000,
}


class PageServer:
    """Answer each read with the next page, and the last one again."""

    def __init__(
        self, *pages: str, headers: dict[str, str] | None = None
    ) -> None:
        self._pages = list(pages)
        self._headers = headers or {}
        self.reads = 0
        self.urls: list[str] = []

    async def read(self, *args: Any, **named: Any) -> Answer:
        del named
        self.urls.append(args[0])
        await asyncio.sleep(0)
        page = self._pages[min(self.reads, len(self._pages) - 1)]
        self.reads += 1
        return Answer(200, self._headers, page.encode())


def item(key: str, **fields: str) -> str:
    """Return an item; `fields` are JSON texts."""
    value = base64.b64encode(key.encode()).decode()
    texts = {"Key": json.dumps(key), "Value": json.dumps(value)}
    texts |= {"Offset": "3"} | fields
    members = (f'"{name}":{text}' for name, text in texts.items())
    return "{" + ",".join(members) + "}"


def page(*items: str, more: bool = False, end: str = "9") -> str:
    has_more = json.dumps(more)
    listed = ",".join(items)
    return f'{{"Items":[{listed}],"HasMore":{has_more},"EndOffset":{end}}}'


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(DEADLINE_S):
            await test()

    asyncio.run(main())


def store_of(server: PageServer) -> Store:
    return Store("127.0.0.1:9", cast(HttpClient, server))


@pytest.mark.parametrize(
    ("field", "odd"),
    [
        pytest.param(field, odd, id=f"{field}-{name}")
        for field in ("Key", "Value", "Offset")
        for name, odd in ODD_VALUES.items()
        if name != "lone surrogate" or field == "Offset"
    ],
)
@pytest.mark.parametrize("place", ["first", "middle", "last"])
def test_an_odd_item_of_a_page_keeps_no_other_from_being_read(
    field: str, odd: str, place: str
) -> None:
    broken = item("b", **{field: odd})
    pages = {
        "first": [page(broken, item("c"))],
        "middle": [page(item("a"), broken, item("c"))],
        "last": [page(item("a"), broken, more=True), page(item("c"))],
    }[place]
    lines: list[str] = []

    async def test() -> None:
        server = PageServer(*pages)
        batch = await store_of(server).newest("t")
        sound = ["c"] if place == "first" else ["a", "c"]
        assert [record.key for record in batch.records] == sound
        assert batch.end == 9

    sink = logger.add(lines.append, filter=lambda r: r["level"].no >= 40)
    try:
        run(test)
    finally:
        logger.remove(sink)
    assert len(lines) == 1


ODD_PAGES = [
    pytest.param(field, odd, id=f"{field}-{name}")
    for field in ("Items", "HasMore", "EndOffset")
    for name, odd in ODD_VALUES.items()
] + [
    pytest.param("Items", f"[{odd}]", id=f"only item-{name}")
    for name, odd in ODD_VALUES.items()
]


@pytest.mark.parametrize(("field", "odd"), ODD_PAGES)
def test_an_odd_page_is_a_failed_read(field: str, odd: str) -> None:
    texts = {"Items": "[]", "HasMore": "false", "EndOffset": "1"}
    texts[field] = odd
    members = (f'"{name}":{text}' for name, text in texts.items())

    async def test() -> None:
        server = PageServer("{" + ",".join(members) + "}")
        with pytest.raises(StoreError):
            await store_of(server).newest("t")

    run(test)


@pytest.mark.parametrize(
    "repeated",
    [
        page(item("a"), item("b"), more=True),
        page(item("a"), item(""), more=True),
        page(more=True),
        page(item("b", Key="null"), more=True),
    ],
    ids=["same page", "empty key", "no items", "no sound item"],
)
def test_a_page_that_does_not_advance_is_a_failed_read(repeated: str) -> None:
    async def test() -> None:
        server = PageServer(page(item("a"), more=True), repeated)
        with pytest.raises(StoreError, match=r"advance|no valid item"):
            await store_of(server).newest("t")
        assert server.reads <= 4

    run(test)


@pytest.mark.parametrize(
    "era", ["9" * 5_000, "9" * 400, str(1 << 64), "1e400", "-1", "\u00b2"]
)
def test_an_odd_era_is_a_failed_read(era: str) -> None:
    async def test() -> None:
        server = PageServer(page(item("a")), headers={ERA_HEADER: era})
        store = store_of(server)
        with pytest.raises(StoreError):
            await store.newest("t")
        assert store.era == 0

    run(test)


@pytest.mark.parametrize("key", ['"\\udcff"', '"x\\ud800"', '"\ufffd"'])
def test_a_read_goes_on_after_a_key_that_is_no_text(key: str) -> None:
    async def test() -> None:
        server = PageServer(
            page(item("a"), item("b", Key=key), more=True), page(item("c"))
        )
        batch = await store_of(server).newest("t")
        keys = [record.key for record in batch.records]
        assert [keys[0], keys[2]] == ["a", "c"]
        assert "\ufffd" in keys[1]
        assert "After=a" in server.urls[1]

    run(test)


@pytest.mark.parametrize("end", [1 << 54, (1 << 64) - 1])
def test_a_read_that_ends_nowhere_is_a_failed_read(end: int) -> None:
    with pytest.raises(StoreError):
        _decode_read_answer(struct.pack(">QQ", end, 0), 7)
    reported: list[int] = []
    detector = _LargeAnswerDetector(7, reported.append)
    detector.feed(struct.pack(">QQI", end, 0, LARGE_ANSWER_BYTES))
    assert reported == []
