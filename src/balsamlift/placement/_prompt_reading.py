"""How many prompt tokens an engine is given to read at a time.

Answers a crowd: prompts that engines cannot read in time wait at the hosts,
where the urgent go first, and not inside engines, where each delays the
others.
"""

from __future__ import annotations

from math import inf

import attrs

# Part of a target in which an engine is to read what it was given. The rest
# is for the wait before it.
READING_SHARE = 0.5
# Time spent on reading before it tells how fast engines read.
MIN_READING_MS = 3_000
MAX_READING_MS = 60_000  # of which measures are kept


@attrs.frozen
class Reading:
    """Hold how many prompt tokens were read, and in which time."""

    tokens: int = 0
    took_ms: int = 0

    def add(self, tokens: int, took_ms: int) -> Reading:
        """Return the sum; what is old counts for less and less."""
        total = Reading(self.tokens + tokens, self.took_ms + took_ms)
        if total.took_ms <= MAX_READING_MS:
            return total
        return Reading(total.tokens // 2, total.took_ms // 2)


def max_unread_tokens(reading: Reading, target_ms: float) -> float:
    """Return how many unread tokens an engine may have for that target.

    `target_ms` is the shortest of the requests that the engine may get. There
    is no limit without a target, or while it is not known how fast engines
    read.
    """
    if not target_ms or reading.took_ms < MIN_READING_MS:
        return inf
    return reading.tokens / reading.took_ms * target_ms * READING_SHARE


def may_read(
    unread_tokens: int, prompt_tokens: int, max_tokens: float
) -> bool:
    """Return whether an engine may be given a prompt.

    One that has none to read may be given a prompt of any size.
    """
    return not unread_tokens or unread_tokens + prompt_tokens <= max_tokens
