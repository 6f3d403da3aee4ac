"""In which order generations leave an engine, without a word between hosts.

Copies off one engine share its link one after the other, and each generation
needs two: one while it runs, one after it stopped. If all begin at once, the
second copy of the first waits for all the others, and its caller with it.
Every host reads the same list of runs from the engine, and so works out the
same order.
"""

from __future__ import annotations

from collections.abc import Sequence

from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._engines import Run

# The link is also used by the last copies, and reports are some 100 ms old.
SLACK = 1.1
# Between failure domains a copy takes twice as long.
OTHER_DOMAIN_FACTOR = 2.0
# Few of the shortest kind make more events: they end by themselves in time.
SHORT_EVENTS = 16
_BITS = 8
_MEGA = 1_000_000


def copy_s(traits: EngineTraits, tokens: int, is_near: bool) -> float:
    """Return how long the memory of `tokens` takes over a free link."""
    if not traits.link_mbps:
        return 0.0
    megabits = tokens * traits.token_bytes * _BITS / _MEGA
    factor = 1.0 if is_near else OTHER_DOMAIN_FACTOR
    return megabits / traits.link_mbps * factor


def wait_s(
    runs: Sequence[Run], request_id: str, traits: EngineTraits, is_near: bool
) -> float:
    """Return how long to wait for those that leave the engine before.

    Those that made the most events go first: they have the most to lose,
    and what has made few may end by itself.
    """
    ahead_s = 0.0
    for run in sorted(runs, key=lambda run: (-run.events, run.request_id)):
        if run.request_id == request_id:
            break
        if run.events > SHORT_EVENTS:
            ahead_s += copy_s(traits, run.tokens, is_near) * SLACK
    return ahead_s
