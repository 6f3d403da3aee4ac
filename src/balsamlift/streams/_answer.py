"""The answer to one request: the tokens of one generation, in order."""

from __future__ import annotations

import hashlib
from bisect import bisect_right
from collections.abc import Iterator

import attrs
import msgspec

from balsamlift.streams._frames import FrameError, Tokens

COMPACT_FRAMES = 64  # frames joined into one when an answer is complete


class TokenGapError(FrameError):
    """Raise when tokens are missing before those of a frame."""


class GenerationMismatchError(FrameError):
    """Raise when a frame belongs to another generation."""


class TokenMismatchError(FrameError):
    """Raise when a repeated generation differs from the delivered tokens."""


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

    def from_index(self, index: int) -> _Chunk:
        tokens = self.decode()[index - self.index :]
        encoded = msgspec.json.encode(tokens)
        return _Chunk(self.generation, index, len(tokens), encoded)


class Answer:
    """Store tokens in the encoded form in which they are sent.

    `first_index` is above 0 if the answer does not hold the tokens before.
    """

    def __init__(self, first_index: int = 0) -> None:
        """Start without a generation or tokens."""
        self.generation = ""
        self.next_index = first_index
        self.size_bytes = 0
        self.first_index = first_index
        self._chunks: list[_Chunk] = []
        self._digest = hashlib.sha256()

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the tokens so far, in hex."""
        return self._digest.hexdigest()

    def begin(self, generation: str) -> None:
        """Accept only tokens of this generation from now on."""
        self.generation = generation

    def reset(self) -> None:
        """Discard all tokens; none may have been delivered."""
        self.__init__(self.first_index)  # type: ignore[misc]

    def append(self, frame: Tokens) -> int:
        """Append the new tokens of a frame and return their number.

        Skips tokens that are already held, by index. Raises
        `GenerationMismatchError` and `TokenGapError`.
        """
        if frame.generation != self.generation:
            raise GenerationMismatchError(
                f"expected tokens of {self.generation}, not of"
                f" {frame.generation}"
            )
        if frame.index > self.next_index:
            raise TokenGapError(
                f"got token {frame.index}, expected {self.next_index}"
            )
        tokens = frame.tokens[self.next_index - frame.index :]
        if tokens:
            self._add(tokens)
        return len(tokens)

    def verify(self, frame: Tokens) -> None:
        """Compare the tokens of a frame with those held.

        Raises `TokenMismatchError` if one differs.
        """
        held = self.tokens_from(frame.index)
        for expected, received in zip(held, frame.tokens, strict=False):
            if expected != received:
                raise TokenMismatchError("the repeated generation differs")

    def tokens_from(self, index: int) -> Iterator[str]:
        """Yield the tokens from `index` on."""
        for chunk in self._chunks_from(index):
            yield from chunk.decode()

    def frames_from(self, index: int) -> Iterator[tuple[int, bytes]]:
        """Yield (next index, encoded token frame) from `index` on."""
        for chunk in self._chunks_from(index):
            yield chunk.index + chunk.count, chunk.data()

    def compact(self) -> None:
        """Join small frames to save memory, once the answer is complete."""
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
        position = bisect_right(self._chunks, index, key=_index_of) - 1
        for chunk in self._chunks[max(position, 0) :]:
            if chunk.index + chunk.count <= index:
                continue
            yield chunk.from_index(index) if chunk.index < index else chunk


def _join(chunks: list[_Chunk]) -> _Chunk:
    """Return one chunk with the tokens of several consecutive chunks."""
    first = chunks[0]
    inner = [chunk.tokens_json[1:-1] for chunk in chunks]
    count = sum(chunk.count for chunk in chunks)
    tokens_json = b"[%b]" % b",".join(inner)
    return _Chunk(chunks[-1].generation, first.index, count, tokens_json)


def _index_of(chunk: _Chunk) -> int:
    return chunk.index
