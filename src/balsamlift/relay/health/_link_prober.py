"""Find out whether this host reaches a pool at all, by opening connections.

Requests alone would find it out late: each waits for an upstream that no other
request has reached either.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress

from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.peers import Upstream
from balsamlift.relay.health._reachability import Reachability

# A response of any upstream of the pool in this time makes a probe needless.
PROBE_DELAY_S = 0.2
# Interval between probes of a pool that is not reached.
PROBE_INTERVAL_S = 0.5
UPSTREAMS_PER_PROBE = 2


class LinkProber:
    """Open connections to pools that this host may not reach."""

    def __init__(
        self,
        reachability: Reachability,
        in_pool: Callable[[str], Sequence[Upstream]],
        open_connection: Callable[[Upstream], Awaitable[None]],
        clock: Clock,
    ) -> None:
        """Open connections by `open_connection`, which records the result."""
        self._reachability = reachability
        self._in_pool = in_pool
        self._open_connection = open_connection
        self._clock = clock
        self._wake_event = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._probed_s: dict[str, float] = {}  # by upstream
        reachability.on_suspicion(self._wake_event.set)

    def start(self) -> None:
        """Start probing."""
        self._task = start_task("probes of links", self._run, self._clock)

    async def stop(self) -> None:
        """Stop probing."""
        await end_task(self._task)

    async def _run(self) -> None:
        while True:
            await self._wake_event.wait()
            self._wake_event.clear()
            await self._clock.sleep(PROBE_DELAY_S)
            await self._probe_suspected()

    async def _probe_suspected(self) -> None:
        while pools := self._reachability.suspected_pools():
            upstreams = [u for pool in pools for u in self._to_probe(pool)]
            async with asyncio.TaskGroup() as group:
                for upstream in upstreams:
                    group.create_task(self._probe(upstream))
            with suppress(TimeoutError):  # unless other pools are suspected
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    await self._wake_event.wait()
            self._wake_event.clear()

    def _to_probe(self, pool: str) -> list[Upstream]:
        """Return the upstreams of a pool that were not probed for longest."""
        listed = sorted(
            self._in_pool(pool),
            key=lambda upstream: self._probed_s.get(upstream.name, 0.0),
        )
        return listed[:UPSTREAMS_PER_PROBE]

    async def _probe(self, upstream: Upstream) -> None:
        self._probed_s[upstream.name] = self._clock.monotonic()
        await self._open_connection(upstream)
