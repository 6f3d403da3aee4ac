"""Split an event stream into whole events."""

from __future__ import annotations

import re

from balsamlift.exceptions import BalsamliftError

MOST_EVENT_BYTES = 1_048_576
NO_EVENT = -1  # ids count from 0 or more

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id: ?(\d+)\r?(?:\n|$)")


class EventError(BalsamliftError):
    """Tell that an event stream does not go on as it must."""


class EventSplitter:
    """Collect bytes and give out whole events, each after the one before.

    An upstream that breaks off may leave half an event behind; a caller
    that was sent it could not be given the rest by another upstream.
    """

    def __init__(self, last_id: int = NO_EVENT) -> None:
        """Expect events with ids above `last_id`."""
        self.last_id = last_id
        self._held = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes; raise `EventError`."""
        held = self._held + data
        end = 0
        for match in _END.finditer(held):
            self._check(held[end : match.end()])
            end = match.end()
        self._held = held[end:]
        if len(self._held) > MOST_EVENT_BYTES:
            raise EventError(f"an event of over {MOST_EVENT_BYTES} bytes")
        return held[:end]

    @property
    def rest(self) -> bytes:
        """Return what has come of an event that is not whole."""
        return self._held

    def _check(self, event: bytes) -> None:
        match = _ID.search(event)
        if match is None:
            return
        number = int(match[1])
        if number <= self.last_id:
            raise EventError(f"event {number} came after event {self.last_id}")
        self.last_id = number
