"""The frames of a stream and their form as server-sent events."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TypeVar

import attrs
import msgspec

from balsamlift.exceptions import BalsamliftError

T = TypeVar("T")

WHOLE = "whole"
REFUSED = "refused"
FAILED = "failed"
UNKNOWN = "unknown"

WHOLE_REASONS = frozenset({"stop", "length"})  # of an upstream's end

HEARTBEAT = b"event: heartbeat\ndata: {}\n\n"
_SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 4 << 20


class FrameError(BalsamliftError):
    """Tell that a frame does not have the form it should have."""


class EventTooLongError(FrameError):
    """Tell that an event does not end within its bound."""

    def __init__(self, max_bytes: int) -> None:
        """Name the bound."""
        super().__init__(f"an event of more than {max_bytes} bytes")


@attrs.frozen(kw_only=True)
class Accepted:
    """Tell the caller that the request was admitted."""

    key: str
    home: str
    preset_generation: int


@attrs.frozen(kw_only=True)
class Start:
    """Name the generation that the tokens come from.

    `verified_tokens` counts the tokens of an earlier generation that this
    one was seen to repeat exactly.
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
    """Carry tokens from `index` on."""

    generation: str
    index: int
    tokens: list[str]


@attrs.frozen(kw_only=True)
class GenerationEnd:
    """End an upstream's stream."""

    generation: str
    tokens: int
    reason: str


@attrs.frozen(kw_only=True)
class Outcome:
    """Tell how a request ended: exactly one per request."""

    outcome: str  # WHOLE, REFUSED, FAILED or UNKNOWN
    reason: str = ""
    tokens: int = 0
    digest: str = ""
    retry_after_ms: int | None = None
    result: Any = None  # of a plain service


@attrs.frozen
class Event:
    """Hold one server-sent event, not yet decoded."""

    name: str
    data: bytes

    def decode(self, kind: type[T]) -> T:
        """Return the data as a `kind`; raise `FrameError`."""
        try:
            return msgspec.json.decode(self.data, type=kind)
        except (msgspec.DecodeError, RecursionError) as error:
            raise FrameError(f"bad {self.name} frame: {error}") from error


def encode_event(name: str, body: Any) -> bytes:
    """Return one server-sent event."""
    return encode_raw_event(name, msgspec.json.encode(body))


def encode_raw_event(name: str, data: bytes) -> bytes:
    """Return one server-sent event around encoded data."""
    return b"event: %b\ndata: %b\n\n" % (name.encode(), data)


class EventParser:
    """Cut a stream of bytes into events."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        """Begin with nothing pending."""
        self._max_bytes = max_event_bytes
        self._pending = bytearray()

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yield the events that `data` completes.

        Raises `FrameError` for what is none, or is too long for one.
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
        raise FrameError("the name of an event is no text") from error
