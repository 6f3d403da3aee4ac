"""Detect silence on a connection at almost no cost per message."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class SilenceTimer:
    """Call `on_silence` whenever `reset` was not called for `silence_s`.

    A single timer checks the time of the last reset when it fires. A
    timeout around each wait would cost two operations on the event loop's
    heap for every frame of every stream.
    """

    def __init__(
        self, silence_s: float, on_silence: Callable[[], None]
    ) -> None:
        """Start the timer in the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._silence_s = silence_s
        self._on_silence = on_silence
        self._last_reset_s = self._loop.time()
        self._handle = self._loop.call_later(silence_s, self._check)

    def reset(self) -> None:
        """Restart the interval of `silence_s`."""
        self._last_reset_s = self._loop.time()

    def stop(self) -> None:
        """Cancel the timer."""
        self._handle.cancel()

    def _check(self) -> None:
        now_s = self._loop.time()
        left_s = self._last_reset_s + self._silence_s - now_s
        is_silent = left_s <= 0
        if is_silent:
            self._last_reset_s = now_s
            left_s = self._silence_s
        self._handle = self._loop.call_later(left_s, self._check)
        if is_silent:
            self._on_silence()
