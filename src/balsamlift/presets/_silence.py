"""How long to wait for an answer of the log."""

from __future__ import annotations

# At most, of the bound in the settings: peers are asked only between two
# reads, so a longer one would keep a host that is cut off from following.
SILENCE_GROWTH = 2


class SilenceBound:
    """Bound the silence of a call; longer while answers come late.

    With a fixed bound, a log that is slower than it would be as good as
    down for as long as it is slow.
    """

    def __init__(self, least_ms: int) -> None:
        """Begin at the least bound."""
        self.bound_ms = least_ms
        self.was_reached = False  # by the last call
        self._least_ms = least_ms

    def reached(self) -> None:
        """Note a call without an answer."""
        self.was_reached = True
        most_ms = self._least_ms * SILENCE_GROWTH
        self.bound_ms = min(self.bound_ms * 2, most_ms)

    def answered(self, took_ms: int) -> None:
        """Note an answer; keep the bound while they are that late."""
        self.was_reached = False
        if took_ms < self._least_ms:
            self.bound_ms = self._least_ms
