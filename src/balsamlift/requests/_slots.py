"""A bound on the streams that one host has open to callers."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from balsamlift.requests._errors import StreamsFullError


class Slots:
    """Count what is open, up to a limit."""

    def __init__(self, limit: int) -> None:
        """Begin with nothing open."""
        self._limit = limit
        self._open = 0

    @contextlib.contextmanager
    def taken(self) -> Iterator[None]:
        """Hold one slot; raise `StreamsFullError` where none is free."""
        if self._open >= self._limit:
            raise StreamsFullError(f"{self._open} streams are open")
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1
