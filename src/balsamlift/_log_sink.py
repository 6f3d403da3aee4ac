"""Write log lines without ever waiting for their reader."""

from __future__ import annotations

import asyncio
import os
from collections import deque

MOST_HELD_BYTES = 256_000


class LogSink:
    """Hold lines while their reader is slow; drop new ones when it is full.

    The number of lines dropped is written as a line of its own as soon as
    there is room.
    """

    def __init__(self, fd: int, most_bytes: int = MOST_HELD_BYTES) -> None:
        """Write to a file descriptor, which is set not to block."""
        os.set_blocking(fd, False)
        self._fd = fd
        self._most_bytes = most_bytes
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._watched: asyncio.AbstractEventLoop | None = None
        self._untold = 0
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line with its end, now or when the reader has read on."""
        data = line.encode()
        if self._held_bytes + len(data) > self._most_bytes:
            self.dropped += 1
            self._untold += 1
            return
        if self._untold:
            told = f'{{"level":"WARNING","dropped_lines":{self._untold}}}\n'
            self._untold = 0
            self._hold(told.encode())
        self._hold(data)
        if self._watched is None:
            self._drain()

    def flush(self) -> None:
        """Do nothing: a line leaves as soon as it can."""

    def _hold(self, data: bytes) -> None:
        self._held.append(data)
        self._held_bytes += len(data)

    def _drain(self) -> None:
        while self._held:
            data = self._held[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                # Nobody reads any more: there is nowhere to tell it.
                self._held.clear()
                self._held_bytes = 0
                break
            self._held_bytes -= written
            if written == len(data):
                self._held.popleft()
            else:
                self._held[0] = data[written:]
        self._unwatch()

    def _watch(self) -> None:
        if self._watched is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return  # before the loop runs: the next line tries again
        loop.add_writer(self._fd, self._drain)
        self._watched = loop

    def _unwatch(self) -> None:
        if self._watched is not None:
            self._watched.remove_writer(self._fd)
            self._watched = None
