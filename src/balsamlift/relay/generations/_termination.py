"""Order the copies off a leaving engine and estimate when it terminates.

Copies off one engine share its link, and not all of them can complete within
its notice period. Copies therefore run one at a time: the first ones complete
in time, whereas copies that share the link would all be late. Hosts derive
the same order from the engine's own list of runs, and tell each other while a
copy is in progress.
"""

from __future__ import annotations

from collections.abc import Sequence

from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay.generations._engines import RunningGeneration

# Copies between failure domains take longer.
OTHER_DOMAIN_FACTOR = 2.0
# A generation with at most this many events may be a short one that ends in
# time without a move.
SHORT_RUN_EVENTS = 16
# Added to the events generated so far: per token of memory, a generation that
# has just started is worth about as much as one that is well advanced.
TYPICAL_EVENTS = 200
# Time between notice and termination until a report states it.
MIN_NOTICE_S = 1.5
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000


def estimate_copy_s(
    traits: EngineTraits, tokens: int, is_same_domain: bool
) -> float:
    """Return how long copying `tokens` takes over an idle link."""
    if not traits.link_mbps:
        return 0.0
    megabits = tokens * traits.token_bytes * _BITS_PER_BYTE / _BITS_PER_MEGABIT
    factor = 1.0 if is_same_domain else OTHER_DOMAIN_FACTOR
    return megabits / traits.link_mbps * factor


def queue_position(runs: Sequence[RunningGeneration], request_id: str) -> int:
    """Return how many of an engine's runs are moved before this one.

    Runs with the most progress per token of memory go first, and those that
    may end on their own go last. A run that is not listed yet has just
    started.
    """
    queue = sorted(runs, key=_sort_key)
    ids = [run.request_id for run in queue]
    return ids.index(request_id) if request_id in ids else len(ids)


def _sort_key(run: RunningGeneration) -> tuple[bool, float, str]:
    value = (run.events + TYPICAL_EVENTS) / max(run.tokens, 1)
    return run.events <= SHORT_RUN_EVENTS, -value, run.request_id


class TerminationEstimate:
    """Estimate when an engine that has given notice terminates.

    Its reports state the time left as of up to 500 ms ago and are too long by
    that age. The longest time reported cannot be older than the notice, so
    adding it to the time of the notice never gives too late a time, and one
    within a tenth of a second of the termination. A host that learns of the
    notice late overestimates by that delay, which it cannot detect.
    """

    def __init__(self, noticed_s: float) -> None:
        """Start at the time of the notice, on the clock of the event loop."""
        self._noticed_s = noticed_s
        self._longest_left_s: float | None = None

    def update(self, time_left_s: float | None) -> None:
        """Update the estimate with the time left stated by a report."""
        if time_left_s is not None:
            self._longest_left_s = max(
                time_left_s, self._longest_left_s or 0.0
            )

    @property
    def terminates_s(self) -> float:
        """Return the time of the termination, on the event loop's clock."""
        left_s = (
            MIN_NOTICE_S
            if self._longest_left_s is None
            else self._longest_left_s
        )
        return self._noticed_s + left_s
