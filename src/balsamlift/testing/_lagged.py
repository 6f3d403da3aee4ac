"""Values that readers see late."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

from balsamlift.clock import Clock

T = TypeVar("T")

_KEPT = 10_000


class Lagged(Generic[T]):
    """Keep past values so that readers can be given an old one."""

    def __init__(self, clock: Clock, first: T) -> None:
        """Begin with `first`, as if it had always been so."""
        self._clock = clock
        self._first = first
        self._values: deque[tuple[float, T]] = deque(maxlen=_KEPT)

    def set(self, value: T) -> None:
        """Note the value from now on."""
        self._values.append((self._clock.monotonic(), value))

    def get(self, lag_ms: float) -> T:
        """Return the value of `lag_ms` ago."""
        until = self._clock.monotonic() - lag_ms / 1_000
        for at, value in reversed(self._values):
            if at <= until:
                return value
        return self._first
