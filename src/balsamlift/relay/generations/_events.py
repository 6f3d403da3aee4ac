"""Splitting of a server-sent event stream into complete events."""

from __future__ import annotations

import re

from balsamlift.exceptions import BalsamliftError
from balsamlift.relay._response_limits import (
    ByteLimitError,
    overhead_limit,
)

MAX_EVENT_BYTES = 65_536
NO_EVENT_ID = -1  # valid ids are 0 or more
MAX_ID_DIGITS = 18

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_END_BYTES = 4  # at most
# A line that is neither empty nor a comment.
_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)\r?(?:\n|$)")


def parse_event_id(text: str) -> int:
    """Return the id in a header, or `NO_EVENT_ID` if it is none."""
    if not text.isdecimal() or len(text) > MAX_ID_DIGITS:
        return NO_EVENT_ID
    return int(text)


class EventError(BalsamliftError):
    """Raised when an event is out of order, or its id is no number."""


class EventSplitter:
    """Buffers bytes and returns only complete events, in order of id.

    A broken connection may end within an event. A caller that had received
    the first half could not get the rest from another upstream.
    """

    def __init__(self, last_id: int = NO_EVENT_ID) -> None:
        """Create a splitter for events with ids above `last_id`."""
        self.last_id = last_id
        self.fed_count = 0  # events and comments in the bytes fed last
        self._buffer = b""
        self._comments = overhead_limit("comments")

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes.

        Raises `EventError`, and `ByteLimitError` for an event that is too
        large or for too many comments.
        """
        searched = max(len(self._buffer) - _EVENT_END_BYTES, 0)
        buffer = self._buffer + data
        end = 0
        self.fed_count = 0
        for match in _EVENT_END.finditer(buffer, searched):
            self._check(buffer[end : match.end()])
            self.fed_count += 1
            end = match.end()
        self._buffer = buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ByteLimitError("event")
        return buffer[:end]

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of an event that is not complete yet."""
        return self._buffer

    def _check(self, event: bytes) -> None:
        if _FIELD.search(event) is None:
            self._comments.spend(len(event))
            return
        self._comments.earn(len(event))
        match = _EVENT_ID.search(event)
        if match is None:
            return
        if len(match[1]) > MAX_ID_DIGITS:
            raise EventError("an id has too many digits")
        event_id = int(match[1])
        if event_id <= self.last_id:
            raise EventError(
                f"event {event_id} came after event {self.last_id}"
            )
        self.last_id = event_id
