"""Follow the log and keep its fold."""

from __future__ import annotations

from balsamlift.presets._claims import ClaimBounds, ClaimWindow
from balsamlift.presets._fold import fits, fold
from balsamlift.presets._log import READ_LIMIT, LogClient
from balsamlift.presets._records import Checkpoint, Entry
from balsamlift.presets._state import FoldState


class Reader:
    """Read the log step by step and fold it.

    Where entries were missed (a newcomer, or a host paused for longer
    than the log keeps them), it scans for a checkpoint that leaves no
    entry out, and folds on from what that covers.
    """

    def __init__(
        self, log: LogClient, bounds: ClaimBounds | None = None
    ) -> None:
        """Begin with nothing read."""
        self.state = FoldState()
        self.claims = ClaimWindow(bounds or ClaimBounds())
        self.scanning = False
        self.at_end = False  # of the log, by the last read
        self.earliest = 0  # retained, by the last read
        self._log = log
        self._next = 0

    @property
    def follows(self) -> bool:
        """Return whether all of the log was folded, by the last read."""
        return self.at_end and not self.scanning

    async def step(self, wait_ms: int) -> None:
        """Read once and fold; wait when there is nothing new.

        Raises `LogUnavailableError`, and `OffsetGapError` when the answer
        leaves out entries.
        """
        batch = await self._log.read(self._next, wait_ms, READ_LIMIT)
        self.earliest = batch.earliest
        if batch.earliest > self._next:
            self._skip_to(batch.earliest)
        for entry in batch.entries:
            if not self._take(entry):
                break
        at_last = self._next >= batch.next
        self.at_end = at_last and len(batch.entries) < READ_LIMIT

    def adopt(self, state: FoldState) -> bool:
        """Take over a peer's state; return whether it was further.

        The log is then read again from the earliest entry retained, for
        the claims, which peers do not pass on.
        """
        if state.offset <= self.state.offset:
            return False
        self.state = state
        self.scanning = False
        self._next = 0
        self.claims.interrupt()
        return True

    def _skip_to(self, earliest: int) -> None:
        """Go on where the log begins; scan when the fold misses entries."""
        self._next = earliest
        self.claims.interrupt()
        self.scanning = earliest > self.state.offset

    def _take(self, entry: Entry) -> bool:
        """Take the next entry; return whether to go on with the batch."""
        if not self.scanning:
            fold(self.state, entry)
        self.claims.fold(entry)
        self._next = entry.offset + 1
        return not (self.scanning and self._start_from(entry))

    def _start_from(self, entry: Entry) -> bool:
        """Start from a checkpoint if no entry after it is missing."""
        found = entry.record
        if not isinstance(found, Checkpoint) or not fits(found, entry.offset):
            return False
        if found.covers_offset < self.earliest:
            return False
        self.state = found.state.copy()
        self.scanning = False
        self._next = found.covers_offset
        return True
