"""Write log lines without blocking on a slow reader."""

from __future__ import annotations

import asyncio
import os
from collections import deque

MAX_BUFFERED_BYTES = 256_000


class LogSink:
    """Buffer lines while their reader is slow; drop new ones when full.

    The number of dropped lines is written as a line of its own as soon as
    the buffer has space again.
    """

    def __init__(self, fd: int, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Set the file descriptor to non-blocking mode and write to it."""
        os.set_blocking(fd, False)
        self._fd = fd
        self._max_bytes = max_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._watching_loop: asyncio.AbstractEventLoop | None = None
        self._unreported = 0
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line that includes its line end, or buffer it."""
        data = line.encode()
        if self._buffered_bytes + len(data) > self._max_bytes:
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            report = (
                f'{{"level":"WARNING","dropped_lines":{self._unreported}}}\n'
            )
            self._unreported = 0
            self._append(report.encode())
        self._append(data)
        if self._watching_loop is None:
            self._drain()

    def flush(self) -> None:
        """Do nothing: each line is written as soon as possible."""

    def _append(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _drain(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                self._start_watching()
                return
            except OSError:
                # The reader has closed the pipe: there is nowhere to log this.
                self._buffer.clear()
                self._buffered_bytes = 0
                break
            self._buffered_bytes -= written
            if written == len(data):
                self._buffer.popleft()
            else:
                self._buffer[0] = data[written:]
        self._stop_watching()

    def _start_watching(self) -> None:
        if self._watching_loop is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return  # no loop is running yet: the next line tries again
        loop.add_writer(self._fd, self._drain)
        self._watching_loop = loop

    def _stop_watching(self) -> None:
        if self._watching_loop is not None:
            self._watching_loop.remove_writer(self._fd)
            self._watching_loop = None
