"""Splitting of a server-sent event stream into complete events."""

from __future__ import annotations

import re

from balsamlift.exceptions import BalsamliftError

MAX_EVENT_BYTES = 1_048_576
NO_EVENT_ID = -1  # valid ids are 0 or more
MAX_ID_DIGITS = 18

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)\r?(?:\n|$)")


def parse_event_id(text: str) -> int:
    """Return the id in a header, or `NO_EVENT_ID` if it is none."""
    if not text.isdecimal() or len(text) > MAX_ID_DIGITS:
        return NO_EVENT_ID
    return int(text)


class EventError(BalsamliftError):
    """Raised when an event is out of order or too large."""


class EventSplitter:
    """Buffers bytes and returns only complete events, in order of id.

    A broken connection may end within an event. A caller that had received
    the first half could not get the rest from another upstream.
    """

    def __init__(self, last_id: int = NO_EVENT_ID) -> None:
        """Create a splitter for events with ids above `last_id`."""
        self.last_id = last_id
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes.

        Raises `EventError`.
        """
        buffer = self._buffer + data
        end = 0
        for match in _EVENT_END.finditer(buffer):
            self._check_order(buffer[end : match.end()])
            end = match.end()
        self._buffer = buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return buffer[:end]

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of an event that is not complete yet."""
        return self._buffer

    def _check_order(self, event: bytes) -> None:
        match = _EVENT_ID.search(event)
        if match is None:
            return
        event_id = int(match[1])
        if event_id <= self.last_id:
            raise EventError(
                f"event {event_id} came after event {self.last_id}"
            )
        self.last_id = event_id
