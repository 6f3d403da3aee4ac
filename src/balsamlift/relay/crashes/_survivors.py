"""Remember the parts of prompts that upstreams have run lately."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from balsamlift.clock import Clock

MAX_PARTS = 2_000  # that ran most recently
KNOWN_S = 60.0


class Survivors:
    """Hold when a request with each part was last run."""

    def __init__(self, clock: Clock) -> None:
        """Start without any part."""
        self._clock = clock
        self._run_s: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Iterable[str]) -> None:
        """Record that an upstream ran a request with these parts."""
        now_s = self._clock.monotonic()
        for part in parts:
            self._run_s[part] = now_s
            self._run_s.move_to_end(part)
        while len(self._run_s) > MAX_PARTS:
            self._run_s.popitem(last=False)

    def is_known(self, part: str, within_s: float = KNOWN_S) -> bool:
        """Return whether a request with a part was run within that time."""
        run_s = self._run_s.get(part)
        return run_s is not None and self._clock.monotonic() - run_s < within_s
