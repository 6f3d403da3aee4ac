"""Ending of asyncio tasks."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any


async def end_task(task: asyncio.Task[Any] | None) -> None:
    """Cancel the task and wait for its end."""
    if task is None:
        return
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
