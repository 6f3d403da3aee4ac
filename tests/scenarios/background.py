"""A loop in a thread, so that callers run beside the steps."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

T = TypeVar("T")

POLL_S = 0.02
PATIENCE_S = 30.0


class Background:
    """Run coroutines on one loop in one thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()

    def begin(self, work: Coroutine[Any, Any, T]) -> Future[T]:
        """Start `work` and return at once."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def run(
        self, work: Coroutine[Any, Any, T], within_s: float = PATIENCE_S
    ) -> T:
        """Return what `work` returns."""
        return self.begin(work).result(within_s)

    def close(self) -> None:
        """Cancel what still runs and end the thread."""
        # Relayed connections complain when they are cancelled.
        self.loop.set_exception_handler(lambda *_: None)
        self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(PATIENCE_S)
        self.loop.close()

    async def _cancel_all(self) -> None:
        me = asyncio.current_task()
        tasks = [t for t in asyncio.all_tasks() if t is not me]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=5) if tasks else None


def wait_until(
    happened: Callable[[], bool], what: str, within_s: float = PATIENCE_S
) -> None:
    """Return once `happened`; fail, saying `what`, after `within_s`."""
    end = time.monotonic() + within_s
    while not happened():
        assert time.monotonic() < end, f"not within {within_s} s: {what}"
        time.sleep(POLL_S)
