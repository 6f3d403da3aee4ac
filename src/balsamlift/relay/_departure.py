"""In which order generations leave an engine, and how long they have.

Copies off one engine share its link, and not all of them fit in its notice.
One copy at a time makes sure that those that went first are away when the
time is over; if all share the link, all are late together. Hosts work out the
same order from the engine's own list of runs, and tell one another while a
copy is under way.
"""

from __future__ import annotations

from collections.abc import Sequence

from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._engines import RunningGeneration

# Copies between failure domains take longer.
OTHER_DOMAIN_FACTOR = 2.0
# With fewer it may be of a kind that ends by itself in time.
SHORT_EVENTS = 16
# Added to what was made: what has just begun has about as much to lose for
# its memory as what is well under way.
TYPICAL_EVENTS = 200
# Between notice and end, until the engine tells better.
LEAST_NOTICE_S = 1.5
_BITS = 8
_MEGA = 1_000_000


def copy_s(traits: EngineTraits, tokens: int, is_near: bool) -> float:
    """Return how long the memory of `tokens` takes over a free link."""
    if not traits.link_mbps:
        return 0.0
    megabits = tokens * traits.token_bytes * _BITS / _MEGA
    factor = 1.0 if is_near else OTHER_DOMAIN_FACTOR
    return megabits / traits.link_mbps * factor


def place_in_line(runs: Sequence[RunningGeneration], request_id: str) -> int:
    """Return how many of the runs on an engine leave it before this one.

    Those with the most to lose for the memory that has to be moved go first,
    and what may end by itself goes last. One that is not listed yet has just
    begun.
    """
    line = sorted(runs, key=_order)
    ids = [run.request_id for run in line]
    return ids.index(request_id) if request_id in ids else len(ids)


def _order(run: RunningGeneration) -> tuple[bool, float, str]:
    value = (run.events + TYPICAL_EVENTS) / max(run.tokens, 1)
    return run.events <= SHORT_EVENTS, -value, run.request_id


class Departure:
    """Know when an engine that has given notice is gone.

    Its reports tell the time left as it was some 500 ms ago, so that what
    they tell is too long by as much. The longest that one told cannot be
    older than the notice: added to that, it never is too late, and within a
    tenth of a second of the end. A host that hears late of the notice takes
    the end for later by as much; it cannot know.
    """

    def __init__(self, noticed_s: float) -> None:
        """Begin at the notice, on the loop's clock."""
        self._noticed_s = noticed_s
        self._told_s: float | None = None

    def take(self, leaves_s: float | None) -> None:
        """Take in the time left that a report tells, if it does."""
        if leaves_s is not None:
            self._told_s = max(leaves_s, self._told_s or 0.0)

    @property
    def gone_s(self) -> float:
        """Return when it is gone, on the loop's clock."""
        left_s = LEAST_NOTICE_S if self._told_s is None else self._told_s
        return self._noticed_s + left_s
