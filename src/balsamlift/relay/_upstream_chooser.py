"""Choose upstreams for unary calls within the rate limits that they name."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

import attrs

from balsamlift.peers import Permits, Upstream
from balsamlift.relay._balance import Balancer
from balsamlift.relay._request import Call

# Part of the remaining time for which a call waits for a permit. The rest is
# for the upstream, and for a caller who is refused instead.
WAIT_FRACTION = 0.3


@attrs.frozen
class RateLimited:
    """No upstream may take a call now because of the limits they name."""

    retry_after_s: float


class UpstreamChooser:
    """Choose an upstream and acquire the permit that it needs."""

    def __init__(self, balancer: Balancer, permits: Permits) -> None:
        """Choose by the load that `balancer` tracks."""
        self._balancer = balancer
        self._permits = permits

    async def choose(
        self, call: Call, tried: Collection[str]
    ) -> Upstream | RateLimited | None:
        """Return the upstream to send a call to now, or None if none is left.

        A call that no healthy upstream may take waits for a permit for a
        limited time; then it goes to an upstream that is not healthy, if one
        may take it.
        """
        waits_s: dict[str, float] = {}
        upstream = await self._choose_permitted(call, tried, waits_s)
        if upstream is not None or not waits_s:
            return upstream
        first = min(waits_s, key=lambda name: waits_s[name])
        upstream = await self._wait_for_permit(call, tried, first)
        if upstream is not None:
            return upstream
        excluded = {*tried, *waits_s}
        upstream = await self._choose_permitted(call, excluded, waits_s)
        if upstream is not None:
            return upstream
        return RateLimited(await self._permits.reserve_return(first))

    async def _choose_permitted(
        self, call: Call, tried: Collection[str], waits_s: dict[str, float]
    ) -> Upstream | None:
        """Return an upstream with a permit; add the waits of the others."""
        while True:
            upstream = self._balancer.choose_upstream(
                call.scope, tried, waits_s
            )
            if upstream is None:
                return None
            permit = await self._permits.acquire(upstream.name)
            if permit.is_granted:
                return self._record_send(upstream)
            waits_s[upstream.name] = permit.wait_s

    async def _wait_for_permit(
        self, call: Call, tried: Collection[str], name: str
    ) -> Upstream | None:
        loop = asyncio.get_running_loop()
        remaining_s = call.timeout_at_s - loop.time()
        permit = await self._permits.acquire(
            name, max_wait_s=max(remaining_s, 0.0) * WAIT_FRACTION
        )
        if not permit.is_granted:
            return None
        await asyncio.sleep(permit.wait_s)
        upstream = self._balancer.find_usable(call.scope, tried, name)
        return self._record_send(upstream) if upstream else None

    def _record_send(self, upstream: Upstream) -> Upstream:
        self._balancer.record_send(upstream)
        return upstream
