"""Limit on the concurrent streams from one host to callers."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from balsamlift.requests._errors import StreamsFullError


class Slots:
    """Count open streams, up to a limit."""

    def __init__(self, limit: int) -> None:
        """Start without open streams."""
        self._limit = limit
        self._open = 0

    @contextlib.contextmanager
    def acquire(self) -> Iterator[None]:
        """Hold one slot; raise `StreamsFullError` if none is free."""
        if self._open >= self._limit:
            raise StreamsFullError(f"{self._open} streams are open")
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1
