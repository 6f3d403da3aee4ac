"""The answer of one request: tokens once, in order, of one generation."""

from __future__ import annotations

import hashlib
from bisect import bisect_right
from collections.abc import Iterator

import attrs
import msgspec

from balsamlift.streams._frames import FrameError, Tokens

COMPACT_FRAMES = 64  # joined to one when an answer is complete


class TokenGapError(FrameError):
    """Tell that tokens are missing before the ones that came."""


class OtherGenerationError(FrameError):
    """Tell that tokens come from another generation."""


class OtherTokensError(FrameError):
    """Tell that a repeated generation differs from the one delivered."""


@attrs.frozen
class _Chunk:
    generation: str
    index: int
    count: int
    tokens_json: bytes

    def data(self) -> bytes:
        generation = msgspec.json.encode(self.generation)
        return b'{"generation":%b,"index":%d,"tokens":%b}' % (
            generation,
            self.index,
            self.tokens_json,
        )

    def decode(self) -> list[str]:
        return msgspec.json.decode(self.tokens_json, type=list[str])

    def after(self, index: int) -> _Chunk:
        tokens = self.decode()[index - self.index :]
        encoded = msgspec.json.encode(tokens)
        return _Chunk(self.generation, index, len(tokens), encoded)


class Answer:
    """Keep tokens in the encoded form in which they leave again.

    `first_index` is above 0 where the tokens before are elsewhere.
    """

    def __init__(self, first_index: int = 0) -> None:
        """Begin with no generation and no token."""
        self.generation = ""
        self.next_index = first_index
        self.size_bytes = 0
        self.first_index = first_index
        self._chunks: list[_Chunk] = []
        self._digest = hashlib.sha256()

    @property
    def digest(self) -> str:
        """Return the digest of the tokens so far, in hex."""
        return self._digest.hexdigest()

    def begin(self, generation: str) -> None:
        """Take tokens of this generation from now on."""
        self.generation = generation

    def reset(self) -> None:
        """Forget all tokens, none of which was delivered."""
        self.__init__(self.first_index)  # type: ignore[misc]

    def append(self, frame: Tokens) -> int:
        """Add the new tokens of a frame and return their number.

        Tokens held already are dropped by their index. Raises
        `OtherGenerationError` and `TokenGapError`.
        """
        if frame.generation != self.generation:
            raise OtherGenerationError(
                f"tokens of {frame.generation}, not of {self.generation}"
            )
        if frame.index > self.next_index:
            raise TokenGapError(
                f"token {frame.index} came, {self.next_index} was due"
            )
        tokens = frame.tokens[self.next_index - frame.index :]
        if tokens:
            self._add(tokens)
        return len(tokens)

    def verify(self, frame: Tokens) -> None:
        """Check the tokens of a frame against those held.

        Raises `OtherTokensError` where one differs.
        """
        held = self.tokens_from(frame.index)
        for mine, theirs in zip(held, frame.tokens, strict=False):
            if mine != theirs:
                raise OtherTokensError("the repeated generation differs")

    def tokens_from(self, index: int) -> Iterator[str]:
        """Yield the tokens held from `index` on."""
        for chunk in self._chunks_from(index):
            yield from chunk.decode()

    def frames_from(self, index: int) -> Iterator[tuple[int, bytes]]:
        """Yield (index after it, data of a token frame) from `index` on."""
        for chunk in self._chunks_from(index):
            yield chunk.index + chunk.count, chunk.data()

    def compact(self) -> None:
        """Join small frames: for an answer that is complete and kept."""
        joined: list[_Chunk] = []
        for start in range(0, len(self._chunks), COMPACT_FRAMES):
            joined.append(_join(self._chunks[start : start + COMPACT_FRAMES]))
        self._chunks = joined

    def _add(self, tokens: list[str]) -> None:
        encoded = msgspec.json.encode(tokens)
        chunk = _Chunk(self.generation, self.next_index, len(tokens), encoded)
        self._chunks.append(chunk)
        self.next_index += len(tokens)
        self.size_bytes += len(encoded)
        joined = "\0".join(tokens) + "\0"
        self._digest.update(joined.encode())

    def _chunks_from(self, index: int) -> Iterator[_Chunk]:
        place = bisect_right(self._chunks, index, key=_index_of) - 1
        for chunk in self._chunks[max(place, 0) :]:
            if chunk.index + chunk.count <= index:
                continue
            yield chunk.after(index) if chunk.index < index else chunk


def _join(chunks: list[_Chunk]) -> _Chunk:
    """Return one chunk with the tokens of several of one generation."""
    first = chunks[0]
    inner = [chunk.tokens_json[1:-1] for chunk in chunks]
    count = sum(chunk.count for chunk in chunks)
    tokens_json = b"[%b]" % b",".join(inner)
    return _Chunk(chunks[-1].generation, first.index, count, tokens_json)


def _index_of(chunk: _Chunk) -> int:
    return chunk.index
