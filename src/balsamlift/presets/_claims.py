"""Track which host claimed each key first, within a bounded window."""

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
    """Limit which claims are kept; every host must use the same limits.

    `max_age_ms` must be well below the retention time of the log.
    """

    max_age_ms: int = 300_000
    max_ahead_ms: int = 10_000  # how far a key's time may lie in the future
    max_keys: int = 50_000  # beyond it, the oldest keys are rejected


@attrs.frozen
class WinningClaim:
    """Hold the first claim of a key, in log order."""

    op: str
    host: str
    offset: int


def created_ms(key: str) -> int | None:
    """Return the creation time in a key `TIMESTAMP_MS-RANDOM`, or None."""
    match = _KEY.fullmatch(key)
    return int(match.group(1)) if match else None


class ClaimWindow:
    """Keep the first claim of each key, folded from the log.

    A key is forgotten only when any further claim of it would be rejected,
    so that it cannot be won twice. Time is that of the log (`at_ms`), so
    that all readers decide alike.
    """

    def __init__(self, bounds: ClaimBounds) -> None:
        """Start with no claim and no entry folded."""
        self._bounds = bounds
        self._winners: dict[str, WinningClaim] = {}
        self._oldest_first: list[tuple[int, str]] = []
        self._time_ms = 0
        self._low_watermark_ms = -1  # keys created up to then are rejected
        self._complete_from_ms = math.inf
        self._has_gap = True

    def __len__(self) -> int:
        """Return the number of keys kept."""
        return len(self._winners)

    def mark_gap(self) -> None:
        """Record that entries before the next one were missed."""
        self._has_gap = True
        self._complete_from_ms = math.inf

    def fold(self, entry: Entry) -> None:
        """Fold the next entry; any entry advances the time."""
        self._time_ms = max(self._time_ms, entry.at_ms)
        if self._has_gap:
            self._has_gap = False
            self._complete_from_ms = (
                -math.inf if entry.offset == 0 else self._time_ms
            )
        self._raise_low_watermark(self._time_ms - self._bounds.max_age_ms - 1)
        if isinstance(entry.record, Claim):
            self._apply_claim(entry.offset, entry.record)

    def winner(self, key: str) -> WinningClaim | None:
        """Return the first claim of a key, or None if there is none."""
        return self._winners.get(key)

    def is_too_old(self, key_ms: int) -> bool:
        """Return whether a key created at `key_ms` is too old to claim."""
        return key_ms <= self._low_watermark_ms

    def is_too_new(self, key_ms: int) -> bool:
        """Return whether `key_ms` lies too far in the future to claim."""
        return key_ms > self._time_ms + self._bounds.max_ahead_ms

    def is_complete_for(self, key_ms: int) -> bool:
        """Return whether all claims of keys created at `key_ms` are known.

        A claim that was logged more than `max_ahead_ms` before the creation
        time of its key is ignored, so earlier entries are not needed.
        """
        return key_ms - self._bounds.max_ahead_ms > self._complete_from_ms

    def _apply_claim(self, offset: int, claim: Claim) -> None:
        key_ms = created_ms(claim.key)
        if key_ms is None or claim.key in self._winners:
            return
        if self.is_too_old(key_ms) or self.is_too_new(key_ms):
            return
        host = sys.intern(claim.host)  # share one string among its claims
        self._winners[claim.key] = WinningClaim(claim.op, host, offset)
        heapq.heappush(self._oldest_first, (key_ms, claim.key))
        if len(self._winners) > self._bounds.max_keys:
            self._raise_low_watermark(self._oldest_first[0][0])

    def _raise_low_watermark(self, watermark_ms: int) -> None:
        """Reject keys created up to then, and only then forget them."""
        self._low_watermark_ms = max(self._low_watermark_ms, watermark_ms)
        while (
            self._oldest_first
            and self._oldest_first[0][0] <= self._low_watermark_ms
        ):
            _, key = heapq.heappop(self._oldest_first)
            del self._winners[key]
