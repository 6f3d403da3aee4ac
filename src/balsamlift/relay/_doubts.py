"""Ask engines themselves while the list of upstreams cannot be read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.peers import Upstream, Upstreams
from balsamlift.relay._engines import EngineCalls, ReportError

# An engine that gives notice must be found out in time for a move.
ASK_S = 0.5
REPORT_SOURCE = "report"


class Doubts:
    """Find out which engines leave, when no list tells it.

    A report is priced by the platform, so only engines that this host has
    work on are asked, and only while it is cut off; what is found goes to
    all hosts as a mark.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        engines: EngineCalls,
        clock: Clock,
        in_use: Callable[[], Collection[Upstream]],
    ) -> None:
        """Ask the engines that `in_use` returns."""
        self._upstreams = upstreams
        self._engines = engines
        self._clock = clock
        self._in_use = in_use
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to look."""
        self._task = asyncio.create_task(self._keep_asking())

    async def stop(self) -> None:
        """End looking."""
        await end_task(self._task)

    async def _keep_asking(self) -> None:
        while True:
            await self._clock.sleep(ASK_S)
            if not self._upstreams.is_list_unavailable:
                continue
            asked = [
                upstream
                for upstream in self._in_use()
                if upstream.state == "live"
            ]
            await asyncio.gather(*(self._ask(upstream) for upstream in asked))

    async def _ask(self, upstream: Upstream) -> None:
        try:
            report = await self._engines.report(upstream)
        except ReportError:
            # Its generations notice by themselves when it is gone.
            return
        # One that has started again holds nothing of what this host sent it.
        has_ended = report.started_ms not in (0, upstream.started_ms)
        if report.is_leaving or has_ended:
            self._upstreams.mark(upstream.name, "leaving", REPORT_SOURCE)
