"""Tasks that go on in the background, and the cancellation of tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger

from balsamlift.clock import Clock

log = logger.bind(part="tasks")

# A call of the messaging library that fails at the moment of its task's
# cancellation raises its own error, and the cancellation is lost. The interval
# lets a task clean up.
CANCEL_RETRY_S = 0.1


RESTART_DELAY_S = 0.5  # of a task that failed


def start_task(
    name: str, run: Callable[[], Awaitable[None]], clock: Clock
) -> asyncio.Task[None]:
    """Run `run` in the background, again after each failure.

    For what a service does for as long as it lives; `end_task` ends it.
    """
    return asyncio.create_task(_keep_running(name, run, clock), name=name)


async def _keep_running(
    name: str, run: Callable[[], Awaitable[None]], clock: Clock
) -> None:
    while True:
        try:
            return await run()
        except Exception:
            log.bind(task=name).exception("a task failed and is run again")
        await clock.sleep(RESTART_DELAY_S)


async def end_task(task: asyncio.Task[Any] | None) -> None:
    """Cancel the task, repeatedly if a cancellation is lost, until it ends.

    Awaiting the task and suppressing `CancelledError` would also swallow the
    cancellation of the caller.
    """
    while task is not None and not task.done():
        task.cancel()
        await asyncio.wait([task], timeout=CANCEL_RETRY_S)


async def end_other_tasks(timeout_s: float) -> list[str]:
    """Cancel all tasks but the current one, repeatedly, until they end.

    Returns the coroutines of those that have not ended in `timeout_s`. At the
    end of `asyncio.run`, each task is cancelled once and awaited without a
    limit.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    current = asyncio.current_task()
    while others := asyncio.all_tasks() - {current}:
        if loop.time() >= until_s:
            return sorted(str(task.get_coro()) for task in others)
        for task in others:
            task.cancel()
        await asyncio.wait(others, timeout=CANCEL_RETRY_S)
    return []
