"""Coordinate access to the link of a leaving engine between hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from balsamlift.exceptions import UpstreamError
from balsamlift.peers import Upstream
from balsamlift.relay._balance import Balancer
from balsamlift.relay._count_keys import link_key
from balsamlift.relay.generations._engines import EngineClient
from balsamlift.relay.generations._termination import (
    TerminationEstimate,
    queue_position,
)

# Interval between checks whether the link is free.
POLL_INTERVAL_S = 0.01
# The same if the check requires a request to another host.
REMOTE_POLL_INTERVAL_S = 0.04
# Additional delay for each position in the queue, so that the copy of the
# preceding generation is known before the next one would start.
POSITION_DELAY_S = 0.008
# Positions that a copy which cannot complete in time moves back: it would
# only delay copies that can.
LATE_COPY_POSITIONS = 6
# Interval between reports of the engine; the platform charges for each.
REPORT_INTERVAL_S = 0.25
# Position if the engine sends no report: behind the generations that a host
# usually has on one engine.
DEFAULT_POSITION = 5


class LinkAccess:
    """Wait until the link is free and preceding copies have completed."""

    def __init__(
        self,
        balancer: Balancer,
        engines: EngineClient,
        source: Upstream,
        request_id: str,
    ) -> None:
        """Start at the engine's notice, which has just arrived."""
        self._balancer = balancer
        self._engines = engines
        self._source = source
        self._request_id = request_id
        self._link = link_key(source.name)
        loop = asyncio.get_running_loop()
        self._position: int | None = None
        self._next_report_s = loop.time()
        self.termination = TerminationEstimate(loop.time())
        self.tokens: int | None = None  # in memory; None until reported

    @property
    def position(self) -> int:
        """Return how many copies are to go first."""
        return DEFAULT_POSITION if self._position is None else self._position

    @property
    def is_only_copy(self) -> bool:
        """Return whether no copy other than this one is in progress."""
        return self._balancer.load(self._link) <= 1

    @contextmanager
    def hold(self) -> Iterator[None]:
        """Report the link as in use while the context is open."""
        try:
            with self._balancer.count_in_flight(self._link, 1):
                self._balancer.publish()
                yield
        finally:
            self._balancer.publish()

    async def wait(self, needed_s: float) -> None:
        """Wait for the turn of a copy that takes `needed_s`."""
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= self._next_report_s:
                await self._read_report()
            if await self._is_busy():
                await self._wait_until_free()
                # The generation ahead of this one has been moved.
                self._position = max(self.position - 1, 0)
            positions = self.position
            if loop.time() + needed_s > self.termination.terminates_s:
                positions += LATE_COPY_POSITIONS
            await asyncio.sleep(positions * POSITION_DELAY_S)
            if not await self._is_busy():
                return

    async def _is_busy(self) -> bool:
        await self._balancer.refresh()
        return self._balancer.load(self._link) > 0

    async def _wait_until_free(self) -> None:
        loop = asyncio.get_running_loop()
        poll_s = (
            POLL_INTERVAL_S
            if self._balancer.receives_pushed_counts
            else REMOTE_POLL_INTERVAL_S
        )
        while await self._is_busy():
            await asyncio.sleep(poll_s)
            if loop.time() >= self._next_report_s:
                await self._read_report()

    async def _read_report(self) -> None:
        """Update queue position and termination time from a report."""
        loop = asyncio.get_running_loop()
        self._next_report_s = loop.time() + REPORT_INTERVAL_S
        try:
            report = await self._engines.report(self._source)
        except UpstreamError:
            return  # an engine that is gone also ends the stream
        self.termination.update(report.time_left_s)
        if self._position is not None:
            return  # a later report may still list moved generations
        self._position = queue_position(report.runs, self._request_id)
        for run in report.runs:
            if run.request_id == self._request_id:
                self.tokens = run.tokens
