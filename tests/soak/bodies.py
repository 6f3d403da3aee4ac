"""The forms in which callers send bodies, and read answers slowly."""

from __future__ import annotations

import asyncio
import random
from typing import Literal

import attrs

BodyForm = Literal["none", "length", "chunks", "slow_chunks"]
BODY_FORMS: tuple[BodyForm, ...] = ("none", "length", "chunks", "slow_chunks")
MAX_BODY_BYTES = 4_000
MAX_BODY_S = 1.5  # from the first to the last chunk of a slow one
CHUNKS = 5
SLOW_READER_SHARE = 0.2  # of the requests
MAX_READ_PAUSE_S = 0.2  # before each read of a slow reader
READ_SLOWLY_S = 1.0  # the longest that it pauses during one answer


@attrs.frozen(kw_only=True)
class Body:
    """One body, and how it is sent and its answer read."""

    form: BodyForm = "none"
    data: bytes = b""
    duration_s: float = 0.0
    reads_slowly: bool = False

    @property
    def header(self) -> str:
        """Return the header that frames the body."""
        if self.form in ("chunks", "slow_chunks"):
            return "Transfer-Encoding: chunked"
        return f"Content-Length: {len(self.data)}"

    def pieces(self) -> list[bytes]:
        """Return the body as it is sent, in one or several writes."""
        if self.form in ("none", "length"):
            return [self.data]
        size = max(len(self.data) // CHUNKS, 1)
        starts = range(0, len(self.data), size)
        chunks = [self.data[start : start + size] for start in starts]
        encoded = [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks]
        return [*encoded, b"0\r\n\r\n"]

    async def send(self, writer: asyncio.StreamWriter) -> None:
        """Send the body over its duration."""
        pieces = self.pieces()
        for piece in pieces[:-1]:
            writer.write(piece)
            await asyncio.sleep(self.duration_s / (len(pieces) - 1))
        writer.write(pieces[-1])


NO_BODY = Body()


def draw_body(rng: random.Random, *, has_body: bool) -> Body:
    """Return a body, an empty one without a form unless `has_body`."""
    reads_slowly = rng.random() < SLOW_READER_SHARE
    form = rng.choice(BODY_FORMS) if has_body else "none"
    if form == "none":
        return Body(reads_slowly=reads_slowly)
    return Body(
        form=form,
        data=rng.randbytes(rng.randint(1, MAX_BODY_BYTES)),
        duration_s=(
            rng.uniform(0, MAX_BODY_S) if form == "slow_chunks" else 0.0
        ),
        reads_slowly=reads_slowly,
    )


class SlowReader(asyncio.StreamReader):
    """Pause before each read but the first of an answer."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        """Read from `reader`."""
        self._reader = reader
        self._left_s = READ_SLOWLY_S
        self._has_read = False

    async def readuntil(self, separator: bytes = b"\n") -> bytes:  # type: ignore[override]
        """Read up to a separator."""
        await self._pause()
        return await self._reader.readuntil(separator)

    async def readexactly(self, n: int) -> bytes:
        """Read so many bytes."""
        await self._pause()
        return await self._reader.readexactly(n)

    async def _pause(self) -> None:
        if self._has_read:
            pause_s = min(MAX_READ_PAUSE_S, self._left_s)
            self._left_s -= pause_s
            await asyncio.sleep(pause_s)
        self._has_read = True
