"""When a host that is told the platform's records reads them by itself."""

from __future__ import annotations

import random

from balsamlift._back_off import BackOff
from balsamlift.clock import Clock

# A host that is told and read in vain tries again after half of this to all
# of it. Hosts that read try each second and tell it as soon as they can.
AGAIN_MS = 4_000.0
# The topic whose read was in vain lets the others go first: the store may
# serve these.
YIELD_S = 0.1


class LoneReads:
    """Space out such reads, over all topics of the host.

    A store that turned one read away most likely turns the next away too, so
    one topic at a time tries.
    """

    def __init__(self, clock: Clock, rng: random.Random | None = None) -> None:
        """Begin with no read in vain."""
        self._clock = clock
        self._back_off = BackOff(rng, AGAIN_MS, AGAIN_MS)
        self._again_s: dict[str, float] = {}
        self._served: set[str] = set()  # topics whose last such read was

    def add(self, topic: str) -> None:
        """Space out the reads of this topic too."""
        self._again_s.setdefault(topic, 0.0)

    def again_s(self, topic: str) -> float:
        """Return when the topic may be read, on the clock."""
        return self._again_s.get(topic, 0.0)

    def served(self, topic: str) -> None:
        """Note that the store answered a read of the topic."""
        self._served.add(topic)

    def failed(self, topic: str) -> None:
        """Note that a read of the topic was in vain.

        A topic that the store serves does not wait for one that it does not.
        """
        self._served.discard(topic)
        due_s = self._clock.monotonic() + self._back_off.failed()
        for other in self._again_s.keys() - self._served:
            self._again_s[other] = max(self._again_s[other], due_s)
        yield_s = YIELD_S if len(self._again_s) > 1 else 0.0
        self._again_s[topic] = due_s + yield_s
