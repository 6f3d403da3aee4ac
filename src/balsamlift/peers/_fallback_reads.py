"""Schedule reads of the store by hosts that do not normally read it.

Such a host receives the platform's records from other hosts, and reads the
store only if its records are too old, or other hosts know more.
"""

from __future__ import annotations

import random

from balsamlift._back_off import BackOff
from balsamlift.clock import Clock

# After a failed fallback read, the next follows after half of this to all of
# it. Hosts that normally read retry each second and pass on what they read.
RETRY_MS = 4_000.0
# A topic whose read failed lets the others be read first, as the store may
# serve these.
YIELD_S = 0.1


class FallbackReads:
    """Back off after failed fallback reads, over all topics of the host.

    A store that refused one read most likely refuses the next too, so only
    one topic at a time is tried.
    """

    def __init__(self, clock: Clock, rng: random.Random | None = None) -> None:
        """Start without failed reads."""
        self._clock = clock
        self._back_off = BackOff(rng, RETRY_MS, RETRY_MS)
        self._next_read_s: dict[str, float] = {}
        self._succeeded: set[str] = set()  # topics whose last read succeeded

    def add(self, topic: str) -> None:
        """Include the reads of a topic."""
        self._next_read_s.setdefault(topic, 0.0)

    def next_read_s(self, topic: str) -> float:
        """Return the monotonic time from which the topic may be read."""
        return self._next_read_s.get(topic, 0.0)

    def succeeded(self, topic: str) -> None:
        """Record that a read of the topic succeeded."""
        self._succeeded.add(topic)

    def failed(self, topic: str) -> None:
        """Record that a read of the topic failed.

        Topics whose last read succeeded are not delayed by it.
        """
        self._succeeded.discard(topic)
        due_s = self._clock.monotonic() + self._back_off.failed()
        for other in self._next_read_s.keys() - self._succeeded:
            self._next_read_s[other] = max(self._next_read_s[other], due_s)
        yield_s = YIELD_S if len(self._next_read_s) > 1 else 0.0
        self._next_read_s[topic] = due_s + yield_s
