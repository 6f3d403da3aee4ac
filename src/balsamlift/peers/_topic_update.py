"""The records of a topic as hosts send them to each other."""

from __future__ import annotations

import msgspec

from balsamlift.peers._integers import Integer
from balsamlift.peers._positions import StorePosition
from balsamlift.peers._records import Record


class TopicUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Hold the records of a topic that one host sends to another."""

    end: Integer  # offset after the last record known
    age_ms: Integer  # time since these were all records in the store
    is_complete: bool  # all keys, instead of those that have changed
    records: list[Record]
    era: Integer = 0  # of the store that assigned the offsets

    @property
    def position(self) -> StorePosition:
        """Return the position after the last record known."""
        return StorePosition(self.era, self.end)
