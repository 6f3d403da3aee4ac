"""How long the streams of a run last, and at which pace."""

from __future__ import annotations

import random

import attrs

TAIL_SHARE = 0.1  # of the streams of a run that has a long tail


@attrs.frozen(kw_only=True)
class StreamForm:
    """The durations of streams, each the same on every run of a seed."""

    seed: int
    min_s: float
    max_s: float
    tail_s: float = 0.0  # the longest of a few; 0: none is longer
    gap_s: float = 0.05  # between two events

    @property
    def longest_s(self) -> float:
        """Return how long the longest stream lasts."""
        return max(self.max_s, self.tail_s)

    def last_event(self, request_id: str) -> int:
        """Return the number of the last event of a request's stream."""
        rng = random.Random(f"{self.seed}/{request_id}")
        duration_s = rng.uniform(self.min_s, self.max_s)
        if self.tail_s and rng.random() < TAIL_SHARE:
            duration_s = rng.uniform(self.max_s, self.tail_s)
        return max(round(duration_s / self.gap_s) - 1, 0)
