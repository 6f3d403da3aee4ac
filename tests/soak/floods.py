"""Upstreams that send bytes without end, until the caller closes."""

from __future__ import annotations

import asyncio

import attrs

from balsamlift.testing.relay import ReplicaConnection, ReplicaRequest

WRITE_BYTES = 16_384
SLOW_GAP_S = 0.2
COMMENT = b":\n\n"  # of a stream of events; passed on like one
_CHUNKS = "Transfer-Encoding: chunked"
_EVENTS = "Content-Type: text/event-stream"


@attrs.frozen
class _Form:
    endless: bytes
    lines: tuple[str, ...] | None = None  # of the head; None: no head
    before: bytes = b""


FORMS = (
    _Form(b"HTTP/1.1 100 Continue\r\n\r\n"),
    _Form(b"A: b\r\n", None, b"HTTP/1.1 200 Told\r\n"),
    _Form(b"1\r\nx\r\n", (_CHUNKS,)),
    _Form(b"A: b\r\n", (_CHUNKS,), b"1\r\nx\r\n0\r\n"),
    _Form(b"x", (_CHUNKS,), b"1;"),
    _Form(b"x", ()),
    _Form(COMMENT, (_EVENTS,)),
    _Form(b"data: x\n", (_EVENTS,)),
)


async def send_without_end(
    connection: ReplicaConnection, request: ReplicaRequest, variant: int
) -> None:
    """Send bytes of one form, every second variant slowly."""
    form = FORMS[variant // 2 % len(FORMS)]
    if form.lines is not None:
        await connection.head(request, 200, *form.lines)
    await connection.send(form.before)
    is_slow = variant % 2
    piece = form.endless * (1 if is_slow else WRITE_BYTES // len(form.endless))
    while True:
        await connection.send(piece)
        if is_slow:
            await asyncio.sleep(SLOW_GAP_S)
