"""Ending of asyncio tasks."""

from __future__ import annotations

import asyncio
from typing import Any


async def end_task(task: asyncio.Task[Any] | None) -> None:
    """Cancel the task and wait for its end.

    Suppressing the cancellation here would also swallow that of the caller.
    """
    if task is None:
        return
    task.cancel()
    await asyncio.wait([task])
