"""Detect leaving engines while the list of upstreams cannot be read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.peers import Upstream, Upstreams
from balsamlift.relay.generations._engines import EngineClient, ReportError

# Short enough to leave time for a move after an engine has given notice.
POLL_INTERVAL_S = 0.5
REPORT_SOURCE = "report"


class LeavingDetector:
    """Detect leaving engines from their reports.

    The platform charges for reports, so only engines that run work of this
    host are asked, and only while the list of upstreams is unavailable.
    A report is the engine's own word, as good as a notice in an answer.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        engines: EngineClient,
        clock: Clock,
        in_use: Callable[[], Collection[Upstream]],
    ) -> None:
        """Check the engines that `in_use` returns."""
        self._upstreams = upstreams
        self._engines = engines
        self._clock = clock
        self._in_use = in_use
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start polling."""
        self._task = start_task(
            "reports of engines", self._keep_polling, self._clock
        )

    async def stop(self) -> None:
        """Stop polling."""
        await end_task(self._task)

    async def _keep_polling(self) -> None:
        while True:
            await self._clock.sleep(POLL_INTERVAL_S)
            if not self._upstreams.is_list_unavailable:
                continue
            candidates = [
                upstream
                for upstream in self._in_use()
                if upstream.state == "live"
            ]
            await asyncio.gather(
                *(self._check(upstream) for upstream in candidates)
            )

    async def _check(self, upstream: Upstream) -> None:
        try:
            report = await self._engines.report(upstream)
        except ReportError:
            # If the engine is gone, its generations detect that on their own.
            return
        # A restarted engine has lost all work that this host sent to it.
        has_restarted = report.started_ms not in (0, upstream.started_ms)
        if report.is_leaving:
            notices = self._upstreams.leaving_notices
            notices.record(upstream.name, REPORT_SOURCE)
        elif has_restarted:
            self._upstreams.mark(upstream.name, "leaving", REPORT_SOURCE)
