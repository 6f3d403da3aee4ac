"""Which host claimed a key first, within a bounded window."""

from __future__ import annotations

import heapq
import math
import re
import sys

import attrs

from balsamlift.presets._records import Claim, Entry

_KEY = re.compile(r"([0-9]{1,15})-[0-9A-Za-z]{8,64}")


@attrs.frozen
class ClaimBounds:
    """Bound the claims kept; every host must use the same.

    `age_ms` must lie well inside the retention of the log.
    """

    age_ms: int = 300_000
    ahead_ms: int = 10_000  # a key's time may be this far in the future
    kept: int = 50_000  # at most; then the oldest keys are void


@attrs.frozen
class Winner:
    """Hold the first claim of a key in log order."""

    op: str
    host: str
    offset: int


def created_ms(key: str) -> int | None:
    """Return the creation time in a key `TIMESTAMP_MS-RANDOM`, if any."""
    match = _KEY.fullmatch(key)
    return int(match.group(1)) if match else None


class ClaimWindow:
    """Fold claims; forget a key only when no claim of it can count again.

    Time is the log's own (`at_ms`), so that all readers judge alike.
    """

    def __init__(self, bounds: ClaimBounds) -> None:
        """Begin with no claim and nothing folded."""
        self._bounds = bounds
        self._winners: dict[str, Winner] = {}
        self._by_age: list[tuple[int, str]] = []
        self._time_ms = 0
        self._floor_ms = -1  # keys this old are void
        self._folded_from_ms = math.inf
        self._interrupted = True

    def __len__(self) -> int:
        """Return the number of keys kept."""
        return len(self._winners)

    def interrupt(self) -> None:
        """Note that entries before the next one were missed."""
        self._interrupted = True
        self._folded_from_ms = math.inf

    def fold(self, entry: Entry) -> None:
        """Take in the next entry, whatever its kind."""
        self._time_ms = max(self._time_ms, entry.at_ms)
        if self._interrupted:
            self._interrupted = False
            self._folded_from_ms = (
                -math.inf if entry.offset == 0 else self._time_ms
            )
        self._raise_floor(self._time_ms - self._bounds.age_ms - 1)
        if isinstance(entry.record, Claim):
            self._claim(entry.offset, entry.record)

    def winner(self, key: str) -> Winner | None:
        """Return who claimed a key first."""
        return self._winners.get(key)

    def is_too_old(self, key_ms: int) -> bool:
        """Return whether a claim of a key of that time would be void."""
        return key_ms <= self._floor_ms

    def is_too_new(self, key_ms: int) -> bool:
        """Return whether a key's time lies too far in the future."""
        return key_ms > self._time_ms + self._bounds.ahead_ms

    def is_complete_for(self, key_ms: int) -> bool:
        """Return whether every claim of a key of that time was folded.

        Such a claim is on the log no earlier than `ahead_ms` before the
        key's time, or it is void.
        """
        return key_ms - self._bounds.ahead_ms > self._folded_from_ms

    def _claim(self, offset: int, claim: Claim) -> None:
        key_ms = created_ms(claim.key)
        if key_ms is None or claim.key in self._winners:
            return
        if self.is_too_old(key_ms) or self.is_too_new(key_ms):
            return
        host = sys.intern(claim.host)  # one text for all of its claims
        self._winners[claim.key] = Winner(claim.op, host, offset)
        heapq.heappush(self._by_age, (key_ms, claim.key))
        if len(self._winners) > self._bounds.kept:
            self._raise_floor(self._by_age[0][0])

    def _raise_floor(self, floor_ms: int) -> None:
        """Make keys that old void, and only then forget them."""
        self._floor_ms = max(self._floor_ms, floor_ms)
        while self._by_age and self._by_age[0][0] <= self._floor_ms:
            _, key = heapq.heappop(self._by_age)
            del self._winners[key]
