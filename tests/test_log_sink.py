"""Writing log lines never blocks, and dropped lines are counted."""

import asyncio
import os
from collections.abc import Iterator

import pytest

from balsamlift._log_sink import LogSink

LINE = "x" * 99 + "\n"


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader: int) -> bytes:
    os.set_blocking(reader, False)
    parts = []
    try:
        while part := os.read(reader, 65_536):
            parts.append(part)
    except BlockingIOError:
        pass
    return b"".join(parts)


def test_a_stalled_reader_blocks_no_writer(
    pipe: tuple[int, int],
) -> None:
    reader, writer = pipe

    async def test() -> None:
        sink = LogSink(writer, max_bytes=10_000)
        for _ in range(5_000):
            sink.write(LINE)  # 500 KB; a pipe holds 64 KB
        assert sink.dropped > 0
        text = b""
        while LINE.encode() * 2 not in text or b"dropped_lines" not in text:
            text += read_all(reader)
            await asyncio.sleep(0.01)
            sink.write(LINE)
        lines = text.decode().splitlines()
        assert f'"dropped_lines":{sink.dropped}' in "".join(lines)

    asyncio.run(asyncio.wait_for(test(), 15))


def test_lines_are_written_at_once_and_in_order(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    sink = LogSink(writer)
    for number in range(10):
        sink.write(f"{number}\n")
    assert read_all(reader).decode().split() == [str(n) for n in range(10)]


def test_a_closed_reader_is_no_error() -> None:
    reader, writer = os.pipe()
    sink = LogSink(writer)
    os.close(reader)
    sink.write(LINE)
    sink.write(LINE)
    os.close(writer)
