"""Stream frames and their encoding as server-sent events."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TypeVar

import attrs
import msgspec

from balsamlift._json import decode_json
from balsamlift.exceptions import BalsamliftError

T = TypeVar("T")

WHOLE = "whole"
REFUSED = "refused"
FAILED = "failed"
UNKNOWN = "unknown"

# Reasons in an upstream's end frame that make an answer whole.
WHOLE_REASONS = frozenset({"stop", "length"})

HEARTBEAT = b"event: heartbeat\ndata: {}\n\n"
_SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 4 << 20


class FrameError(BalsamliftError):
    """Raise when a frame is malformed or out of sequence."""


class EventTooLongError(FrameError):
    """Raise when an event exceeds the size limit."""

    def __init__(self, max_bytes: int) -> None:
        """Set a message that names the limit."""
        super().__init__(f"event of more than {max_bytes} bytes")


@attrs.frozen(kw_only=True)
class Accepted:
    """Confirm to the caller that the request was admitted."""

    key: str
    home: str
    preset_generation: int


@attrs.frozen(kw_only=True)
class Start:
    """Identify the generation that the tokens come from.

    `verified_tokens` counts the tokens of an earlier generation that this
    one has repeated exactly.
    """

    generation: str
    upstream: str = ""
    model: str = ""
    version: str = ""
    key: str = ""
    workspace: str = ""
    verified_tokens: int = 0


@attrs.frozen(kw_only=True)
class Tokens:
    """Carry consecutive tokens, the first at `index`."""

    generation: str
    index: int
    tokens: list[str]


@attrs.frozen(kw_only=True)
class GenerationEnd:
    """Mark the end of an upstream's stream, with its token count."""

    generation: str
    tokens: int
    reason: str


@attrs.frozen(kw_only=True)
class Outcome:
    """Report how a request ended; there is exactly one per request."""

    outcome: str  # WHOLE, REFUSED, FAILED or UNKNOWN
    reason: str = ""
    tokens: int = 0
    digest: str = ""
    retry_after_ms: int | None = None
    result: Any = None  # of a plain service


@attrs.frozen
class Event:
    """Represent one server-sent event with undecoded data."""

    name: str
    data: bytes

    def decode(self, kind: type[T]) -> T:
        """Return the data decoded as `kind`; raise `FrameError`."""
        try:
            return decode_json(self.data, kind)
        except msgspec.DecodeError as error:
            raise FrameError(f"bad {self.name} frame: {error}") from error


def encode_event(name: str, body: Any) -> bytes:
    """Return one server-sent event."""
    return encode_raw_event(name, msgspec.json.encode(body))


def encode_raw_event(name: str, data: bytes) -> bytes:
    """Return one server-sent event with already encoded data."""
    return b"event: %b\ndata: %b\n\n" % (name.encode(), data)


class EventParser:
    """Parse a stream of bytes into server-sent events."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        """Start with an empty buffer."""
        self._max_bytes = max_event_bytes
        self._pending = bytearray()

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yield the events that `data` completes.

        Raises `FrameError` for an event that is malformed or too long.
        """
        self._pending += data
        while (end := self._pending.find(_SEPARATOR)) >= 0:
            if end > self._max_bytes:
                raise EventTooLongError(self._max_bytes)
            block = bytes(self._pending[:end])
            del self._pending[: end + len(_SEPARATOR)]
            yield _parse_event(block)
        if len(self._pending) > self._max_bytes:
            raise EventTooLongError(self._max_bytes)


def _parse_event(block: bytes) -> Event:
    name = b"message"
    data = b""
    for line in block.split(b"\n"):
        if line.startswith(b"event:"):
            name = line[6:].strip()
        elif line.startswith(b"data:"):
            data = line[5:].strip()
    try:
        return Event(name.decode(), data)
    except UnicodeDecodeError as error:
        raise FrameError("event name is not valid UTF-8") from error
