"""Framing of HTTP/1.1 responses: lines, lengths and chunks."""

from __future__ import annotations

import re

from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.iostream import (
    IOStream,
    StreamClosedError,
    UnsatisfiableReadError,
)

from balsamlift._numbers import parse_count
from balsamlift.relay._response_limits import (
    MAX_CHUNK_LINE_BYTES,
    ByteLimit,
    ByteLimitError,
)

_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
LINE_END = b"\r\n"


async def read_until(
    stream: IOStream, delimiter: bytes, limit: ByteLimit
) -> bytes:
    """Return the bytes up to a delimiter; raise `ByteLimitError`."""
    try:
        data = await stream.read_until(delimiter, max_bytes=limit.left_bytes)
    except StreamClosedError as error:
        if isinstance(error.real_error, UnsatisfiableReadError):
            raise ByteLimitError(limit.form) from error
        raise
    limit.spend(len(data))
    return data


async def read_chunk_line(stream: IOStream) -> bytes:
    """Return the line before a chunk; raise `ByteLimitError`."""
    limit = ByteLimit("chunk line", MAX_CHUNK_LINE_BYTES)
    return await read_until(stream, LINE_END, limit)


def is_chunked(headers: HTTPHeaders) -> bool:
    """Return whether a body comes in chunks."""
    return headers.get("Transfer-Encoding", "").strip().lower() == "chunked"


def parse_length(text: str) -> int:
    """Return the length of a body; raise `HTTPInputError`."""
    length = parse_count(text)
    if length is None:
        raise HTTPInputError("no length of a body")
    return length


def parse_chunk_size(line: bytes) -> int:
    """Return the size in the line before a chunk; raise `HTTPInputError`."""
    digits = line.split(b";", 1)[0].strip()
    if not _CHUNK_SIZE.fullmatch(digits):
        raise HTTPInputError("no size of a chunk")
    return int(digits, 16)


def declared_length(headers: HTTPHeaders) -> int:
    """Return the length that a head gives for its body, else 0."""
    if is_chunked(headers):
        return 0
    return parse_count(headers.get("Content-Length", "")) or 0
