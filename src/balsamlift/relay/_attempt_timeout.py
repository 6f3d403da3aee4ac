"""End an attempt without a response where another upstream may do better.

An upstream that is silent is no reason to give up on it: it may be one of many
that have stopped for a moment, and goes on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

# Interval at which an attempt that may end looks for another upstream.
LOOK_INTERVAL_S = 0.05


@contextmanager
def ending_for_another(
    limit: asyncio.Timeout, at_s: float | None, has_another: Callable[[], bool]
) -> Iterator[None]:
    """Let `limit` expire at `at_s`, or later as soon as `has_another()`.

    It does not expire if `at_s` is None. Times are on the loop's clock.
    """
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle | None = None

    def look() -> None:
        nonlocal timer
        if has_another():
            limit.reschedule(loop.time())
        else:
            timer = loop.call_later(LOOK_INTERVAL_S, look)

    if at_s is not None:
        timer = loop.call_at(at_s, look)
    try:
        yield
    finally:
        if timer is not None:
            timer.cancel()
