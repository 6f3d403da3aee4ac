"""Notice silence on a connection at next to no cost per message."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class SilenceTimer:
    """Call back whenever nothing was noted for `silence_s`.

    One timer looks at the time of the last note when it fires. A timeout
    around each wait would cost two changes of the event loop's heap for
    every frame of every stream.
    """

    def __init__(
        self, silence_s: float, on_silence: Callable[[], None]
    ) -> None:
        """Begin to wait in the running loop."""
        self._loop = asyncio.get_running_loop()
        self._silence_s = silence_s
        self._on_silence = on_silence
        self._noted_s = self._loop.time()
        self._handle = self._loop.call_later(silence_s, self._look)

    def note(self) -> None:
        """Note that there was no silence until now."""
        self._noted_s = self._loop.time()

    def stop(self) -> None:
        """Call back no more."""
        self._handle.cancel()

    def _look(self) -> None:
        now_s = self._loop.time()
        left_s = self._noted_s + self._silence_s - now_s
        is_silent = left_s <= 0
        if is_silent:
            self._noted_s = now_s
            left_s = self._silence_s
        self._handle = self._loop.call_later(left_s, self._look)
        if is_silent:
            self._on_silence()
