"""Ending of asyncio tasks."""

from __future__ import annotations

import asyncio
from typing import Any

# A call of the messaging library that fails in the moment of its task's
# cancellation raises its own error, and the cancellation is lost: 311 of
# 6,000 cancelled near their time limit. Long enough for a task that cleans up,
# and far below the grace that a process has to stop.
CANCEL_AGAIN_S = 0.1


async def end_task(task: asyncio.Task[Any] | None) -> None:
    """Cancel the task, again where it missed that, and wait for its end.

    Suppressing the cancellation here would also swallow that of the caller.
    """
    while task is not None and not task.done():
        task.cancel()
        await asyncio.wait([task], timeout=CANCEL_AGAIN_S)
