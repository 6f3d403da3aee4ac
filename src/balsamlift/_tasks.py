"""Cancellation of asyncio tasks."""

from __future__ import annotations

import asyncio
from typing import Any

# A call of the messaging library that fails at the moment of its task's
# cancellation raises its own error, and the cancellation is lost. The interval
# lets a task clean up.
CANCEL_RETRY_S = 0.1


async def end_task(task: asyncio.Task[Any] | None) -> None:
    """Cancel the task, repeatedly if a cancellation is lost, until it ends.

    Awaiting the task and suppressing `CancelledError` would also swallow the
    cancellation of the caller.
    """
    while task is not None and not task.done():
        task.cancel()
        await asyncio.wait([task], timeout=CANCEL_RETRY_S)
