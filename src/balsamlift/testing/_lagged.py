"""Values that readers see after a delay."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

from balsamlift.clock import Clock

T = TypeVar("T")

_MAX_VALUES = 10_000


class Lagged(Generic[T]):
    """Keep past values so that readers can get the one of a past time."""

    def __init__(self, clock: Clock, first: T) -> None:
        """Start with `first` as the value of all past times."""
        self._clock = clock
        self._first = first
        self._values: deque[tuple[float, T]] = deque(maxlen=_MAX_VALUES)

    def set(self, value: T) -> None:
        """Set the value from now on."""
        self._values.append((self._clock.monotonic(), value))

    def get(self, lag_ms: float) -> T:
        """Return the value of `lag_ms` ago."""
        until = self._clock.monotonic() - lag_ms / 1_000
        for at, value in reversed(self._values):
            if at <= until:
                return value
        return self._first
