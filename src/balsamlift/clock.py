"""The clock interface that is passed to every service."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Return the time and sleep; tests replace it by a virtual clock."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start, never going back."""

    async def sleep(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds."""


class SystemClock:
    """Read the clocks of this machine."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start, never going back."""
        return time.monotonic()

    async def sleep(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds."""
        await asyncio.sleep(delay_s)
