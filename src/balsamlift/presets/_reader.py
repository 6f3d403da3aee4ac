"""Read the log and keep the state folded from it."""

from __future__ import annotations

from balsamlift.presets._claims import ClaimBounds, ClaimWindow
from balsamlift.presets._fold import fold, is_consistent
from balsamlift.presets._log import READ_LIMIT, LogClient
from balsamlift.presets._records import Checkpoint, Entry
from balsamlift.presets._state import FoldState


class Reader:
    """Poll the log and fold its entries into a state.

    When entries were missed (by a new host, or by one that was paused for
    longer than the log keeps them), it scans for a checkpoint that covers
    all missing entries, restores its state and continues after it.
    """

    def __init__(
        self, log: LogClient, bounds: ClaimBounds | None = None
    ) -> None:
        """Start with an empty state at offset 0."""
        self.state = FoldState()
        self.claims = ClaimWindow(bounds or ClaimBounds())
        self.scanning = False
        self.at_end = False  # of the log, as of the last read
        self.earliest = 0  # retained offset, as of the last read
        self._log = log
        self._next_offset = 0

    @property
    def is_up_to_date(self) -> bool:
        """Return whether the state included the whole log at the last read."""
        return self.at_end and not self.scanning

    async def poll(self, wait_ms: int) -> None:
        """Read once and fold the entries.

        Waits up to `wait_ms` when there is nothing new. Raises
        `LogUnavailableError`, and `OffsetGapError` when the answer omits
        entries.
        """
        batch = await self._log.read(self._next_offset, wait_ms, READ_LIMIT)
        self.earliest = batch.earliest
        if batch.earliest > self._next_offset:
            self._skip_to(batch.earliest)
        for entry in batch.entries:
            if not self._process(entry):
                break
        read_all = self._next_offset >= batch.next
        self.at_end = read_all and len(batch.entries) < READ_LIMIT

    def adopt(self, state: FoldState) -> bool:
        """Adopt a peer's state if it is more recent; return whether it was.

        The log is then read again from the earliest retained entry to
        rebuild the claims, which peers do not exchange.
        """
        if state.offset <= self.state.offset:
            return False
        self.state = state
        self.scanning = False
        self._next_offset = 0
        self.claims.mark_gap()
        return True

    def _skip_to(self, earliest: int) -> None:
        """Continue at the first retained entry.

        Starts to scan for a checkpoint if the state lacks entries.
        """
        self._next_offset = earliest
        self.claims.mark_gap()
        self.scanning = earliest > self.state.offset

    def _process(self, entry: Entry) -> bool:
        """Process the next entry; return whether to continue the batch."""
        if not self.scanning:
            fold(self.state, entry)
        self.claims.fold(entry)
        self._next_offset = entry.offset + 1
        return not (self.scanning and self._restore_from(entry))

    def _restore_from(self, entry: Entry) -> bool:
        """Restore a checkpoint if it covers all expired entries."""
        found = entry.record
        if not isinstance(found, Checkpoint) or not is_consistent(
            found, entry.offset
        ):
            return False
        if found.covers_offset < self.earliest:
            return False
        self.state = found.state.copy()
        self.scanning = False
        self._next_offset = found.covers_offset
        return True
