"""Engine client that sends nothing unasked for while an engine pauses."""

from __future__ import annotations

from balsamlift.peers import Upstream
from balsamlift.relay.generations._engines import (
    EngineClient,
    EngineReport,
    MemoryCopy,
    ReportError,
)
from balsamlift.relay.statements import RetryAfterTracker


class QuietEngines:
    """Ask no engine for a report that asked for no requests.

    Copies go on: without one, a generation on a leaving engine is lost.
    """

    def __init__(
        self, engines: EngineClient, retry_after: RetryAfterTracker
    ) -> None:
        """Send calls through `engines`."""
        self._engines = engines
        self._retry_after = retry_after

    async def report(self, upstream: Upstream) -> EngineReport:
        """Return the report of an engine; raise `ReportError`."""
        if self._retry_after.is_pausing(upstream.name):
            raise ReportError(upstream.name, "asked for no requests")
        return await self._engines.report(upstream)

    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
        *,
        stop: bool,
    ) -> MemoryCopy:
        """Copy the memory of a running generation; raise `CopyError`."""
        return await self._engines.copy(source, request_id, target, stop=stop)
