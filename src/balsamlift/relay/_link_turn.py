"""Take turns at the link of an engine that leaves, over all hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from balsamlift.exceptions import UpstreamError
from balsamlift.peers import Upstream
from balsamlift.relay._balance import Balancer, link_key
from balsamlift.relay._departure import Departure, place_in_line
from balsamlift.relay._engines import EngineClient

# Between two looks at whether the link is free.
POLL_S = 0.01
# The same where another host has to be asked.
GATHERED_POLL_S = 0.04
# The next in line waits this much longer than the one before it, so that the
# word of that one's copy comes first.
STEP_S = 0.008
# What cannot be away in time goes after this many others: its copy would
# only take time from theirs.
HOPELESS_STEPS = 6
# Between two reports of the engine; each is priced.
LOOK_AGAIN_S = 0.25
# Where the engine gives no report: behind what a host usually has there.
UNKNOWN_PLACE = 5


class LinkTurn:
    """Wait until no other copy is under way and those ahead have gone."""

    def __init__(
        self,
        balancer: Balancer,
        engines: EngineClient,
        source: Upstream,
        request_id: str,
    ) -> None:
        """Begin as the engine's notice has just come."""
        self._balancer = balancer
        self._engines = engines
        self._source = source
        self._request_id = request_id
        self._link = link_key(source.name)
        loop = asyncio.get_running_loop()
        self._place: int | None = None
        self._look_s = loop.time()
        self.departure = Departure(loop.time())
        self.tokens: int | None = None  # in memory, once the engine told it

    @property
    def place(self) -> int:
        """Return how many go before."""
        return UNKNOWN_PLACE if self._place is None else self._place

    @property
    def is_alone(self) -> bool:
        """Tell whether no other copy than this one's is under way."""
        return self._balancer.load(self._link) <= 1

    @contextmanager
    def hold(self) -> Iterator[None]:
        """Tell the other hosts that the link is in use meanwhile."""
        try:
            with self._balancer.hold(self._link, 1):
                self._balancer.tell()
                yield
        finally:
            self._balancer.tell()

    async def wait(self, needed_s: float) -> None:
        """Wait for the turn of a copy that takes this long."""
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= self._look_s:
                await self._look()
            if await self._is_busy():
                await self._wait_until_free()
                # The one that was ahead has gone.
                self._place = max(self.place - 1, 0)
            steps = self.place
            if loop.time() + needed_s > self.departure.gone_s:
                steps += HOPELESS_STEPS
            await asyncio.sleep(steps * STEP_S)
            if not await self._is_busy():
                return

    async def _is_busy(self) -> bool:
        await self._balancer.refresh()
        return self._balancer.load(self._link) > 0

    async def _wait_until_free(self) -> None:
        loop = asyncio.get_running_loop()
        poll_s = POLL_S if self._balancer.hears_all else GATHERED_POLL_S
        while await self._is_busy():
            await asyncio.sleep(poll_s)
            if loop.time() >= self._look_s:
                await self._look()

    async def _look(self) -> None:
        """Read the engine's report: who else is there, and until when."""
        loop = asyncio.get_running_loop()
        self._look_s = loop.time() + LOOK_AGAIN_S
        try:
            report = await self._engines.report(self._source)
        except UpstreamError:
            return  # one that is gone ends the stream as well
        self.departure.take(report.time_left_s)
        if self._place is not None:
            return  # a later report may still list those that have gone
        self._place = place_in_line(report.runs, self._request_id)
        for run in report.runs:
            if run.request_id == self._request_id:
                self.tokens = run.tokens
