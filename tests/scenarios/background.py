"""An event loop in a thread, which runs callers concurrently with steps."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

T = TypeVar("T")

POLL_S = 0.02
WAIT_TIMEOUT_S = 30.0


class BackgroundLoop:
    """Run coroutines on one event loop in its own thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> Future[T]:
        """Schedule `coroutine` and return its future at once."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def run(
        self,
        coroutine: Coroutine[Any, Any, T],
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> T:
        """Run `coroutine` to its end and return its result."""
        return self.submit(coroutine).result(timeout_s)

    def close(self) -> None:
        """Cancel the running tasks, then stop the loop and its thread."""
        # Cancelled proxy connections would log unhandled exceptions.
        self.loop.set_exception_handler(lambda *_: None)
        self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(WAIT_TIMEOUT_S)
        self.loop.close()

    async def _cancel_all(self) -> None:
        current = asyncio.current_task()
        tasks = [t for t in asyncio.all_tasks() if t is not current]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=5) if tasks else None


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> None:
    """Poll until `condition()`; fail with `description` after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, (
            f"not within {timeout_s} s: {description}"
        )
        time.sleep(POLL_S)
