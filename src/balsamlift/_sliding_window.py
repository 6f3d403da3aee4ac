"""Count events in a sliding window of time."""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """Hold the times of the events of the last `window_s` seconds."""

    def __init__(self, window_s: float) -> None:
        """Start with no event."""
        self._window_s = window_s
        self._times_s: deque[float] = deque()

    def add(self, now_s: float) -> None:
        """Count an event; `now_s` never decreases."""
        self._times_s.append(now_s)

    def count(self, now_s: float) -> int:
        """Return the number of events in the window that ends now."""
        while self._times_s and self._times_s[0] <= now_s - self._window_s:
            self._times_s.popleft()
        return len(self._times_s)
