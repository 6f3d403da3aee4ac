"""Look for memory that other hosts have released, while generations wait."""

from __future__ import annotations

from balsamlift.clock import Clock
from balsamlift.peers import Peers
from balsamlift.relay._balance import Balancer
from balsamlift.relay.generations import MemoryAllocator

# Interval between checks.
MEMORY_POLL_INTERVAL_S = 0.1
# The same if the load counts have to be requested from another host.
REMOTE_MEMORY_POLL_INTERVAL_S = 0.3
# The same for generations that are more urgent than those of other hosts, so
# that they find free memory first.
URGENT_MEMORY_POLL_INTERVAL_S = 0.15


class MemoryPoll:
    """Place waiting generations again and again."""

    def __init__(
        self,
        allocator: MemoryAllocator,
        balancer: Balancer,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Place what waits at `allocator`, by the load of `balancer`."""
        self._allocator = allocator
        self._balancer = balancer
        self._peers = peers
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._clock.sleep(self._interval_s())
            if self._allocator.waiting_count:
                await self._balancer.refresh()
                self._allocator.place_waiting()
            else:
                self._allocator.publish_groups()

    def _interval_s(self) -> float:
        if self._peers.is_full_mesh:
            return MEMORY_POLL_INTERVAL_S
        if self._allocator.has_precedence():
            return URGENT_MEMORY_POLL_INTERVAL_S
        return REMOTE_MEMORY_POLL_INTERVAL_S
