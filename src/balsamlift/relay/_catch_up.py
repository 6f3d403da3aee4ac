"""Hold requests after a stall until what happened meanwhile is known.

Upstreams may have left, and operators may have changed routes. The news lies
unread, beside the requests that came.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstreams
from balsamlift.relay._routing import Routing
from balsamlift.relay.health import StallWatch

POLL_INTERVAL_S = 0.02
# Without news for so long, e.g. in an outage of the store, what is known must
# do.
MAX_WAIT_S = 1.0


class CatchUp:
    """Know whether the list or the configuration may be out of date."""

    def __init__(
        self,
        stalls: StallWatch,
        upstreams: Upstreams,
        routing: Routing,
        clock: Clock,
        metrics: Metrics,
        starts_requests: Callable[[], bool],
    ) -> None:
        """Go by the ages of `upstreams` and `routing`.

        Nothing is held once `starts_requests` is false, as for a host that
        refuses everything before it ends.
        """
        self._stalls = stalls
        self._upstreams = upstreams
        self._routing = routing
        self._clock = clock
        self._metrics = metrics
        self._starts_requests = starts_requests

    def is_due(self) -> bool:
        """Return whether either was last confirmed before a recent stall."""
        since_s = self._clock.monotonic() - self._stalls.went_on_s()
        if since_s > MAX_WAIT_S or not self._starts_requests():
            return False
        # One that was never confirmed is not waited for.
        return any(
            max(since_s, source.max_age_s) < source.age_s < math.inf
            for source in (self._upstreams, self._routing)
        )

    async def wait(self) -> bool:
        """Wait for news after a stall; return whether that was needed."""
        if not self.is_due():
            return False
        self._metrics.count("relay.held_after_stall")
        self._upstreams.read_soon()
        until_s = self._clock.monotonic() + MAX_WAIT_S
        while self.is_due() and self._clock.monotonic() < until_s:
            await self._clock.sleep(POLL_INTERVAL_S)
        return True
