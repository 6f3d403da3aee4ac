"""Choose upstreams for unary calls within the rate limits that they name."""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Collection

import attrs

from balsamlift.peers import Permits, Upstream
from balsamlift.relay._balance import Balancer
from balsamlift.relay._request import Call
from balsamlift.relay._scope import Scope

# Part of the remaining time for which a call waits for a permit, or for a sign
# of a silent upstream. The rest is for the upstream, and for a caller who is
# refused instead.
WAIT_FRACTION = 0.3
# Interval at which a request that waits for a permit looks for a time without
# requests that has begun.
PAUSE_POLL_S = 0.1
# Interval at which a call looks whether a silent upstream goes on.
SILENCE_POLL_S = 0.05
# Longest wait for a place at a brittle upstream, as a part of the route's
# target latency.
MAX_PLACE_WAIT_FACTOR = 0.5
# What the counts of others are by that include the latest sends.
RECENT_COUNTS = frozenset({"heard", "gathered"})


@attrs.frozen
class RateLimited:
    """No upstream may take a call now because of the limits they name."""

    retry_after_s: float


@attrs.frozen
class Pausing:
    """All upstreams that might take a call asked for no requests."""

    retry_after_s: float


@attrs.frozen
class Crowded:
    """Brittle upstreams have all that this host may send them now."""

    is_shut_out: bool  # it may send them nothing at all, others may


@attrs.frozen
class Silent:
    """All upstreams are silent and have all that they may have meanwhile."""


@attrs.frozen
class Pause:
    """The time until the first of some upstreams takes requests again."""

    left_s: float
    is_untried: bool  # false: a call was sent there already


def find_pause(
    balancer: Balancer, scope: Scope, tried: Collection[str]
) -> Pause | None:
    """Return the pause that a call would have to wait for.

    Returns None if an upstream that is left did not ask for one.
    """
    pauses = balancer.pauses(scope)
    untried = [left_s for name, left_s in pauses.items() if name not in tried]
    left_s = min(untried or pauses.values(), default=0.0)
    return Pause(left_s, bool(untried)) if left_s > 0 else None


def find_long_pause(
    balancer: Balancer, scope: Scope, tried: Collection[str], until_s: float
) -> Pausing | None:
    """Return the pause that a call would have to wait for beyond `until_s`.

    Upstreams that a call was sent to already are not waited for.
    """
    pause = find_pause(balancer, scope, tried)
    if pause is None:
        return None
    ends_s = asyncio.get_running_loop().time() + pause.left_s
    if pause.is_untried and ends_s <= until_s:
        return None
    return Pausing(pause.left_s)


async def sleep_unless(delay_s: float, is_over: Callable[[], bool]) -> None:
    """Sleep, but stop soon after `is_over` returns true."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + delay_s
    while not is_over() and loop.time() < until_s:
        await asyncio.sleep(min(until_s - loop.time(), PAUSE_POLL_S))


class UpstreamChooser:
    """Choose an upstream and acquire the permit that it needs."""

    def __init__(self, balancer: Balancer, permits: Permits) -> None:
        """Choose by the load that `balancer` tracks."""
        self._balancer = balancer
        self._permits = permits
        # Calls that wait for a place, by pool; each place wakes one of them.
        self._waiting: dict[str, deque[asyncio.Future[None]]] = defaultdict(
            deque
        )

    async def choose(
        self, call: Call, tried: Collection[str]
    ) -> Upstream | RateLimited | Pausing | Crowded | Silent | None:
        """Return the upstream to send a call to now, or None if none is left.

        A call whose upstreams all asked for no requests, or are silent, waits
        until one takes some again, if that is soon.
        """
        loop = asyncio.get_running_loop()
        remaining_s = max(call.timeout_at_s - loop.time(), 0.0)
        until_s = loop.time() + remaining_s * WAIT_FRACTION
        has_waited = False
        while True:
            chosen = await self._choose_now(call, tried, until_s)
            if chosen is not None:
                return chosen
            is_crowded = self._balancer.is_crowded(call.scope, tried)
            if is_crowded and not self._is_brittle(call):
                if loop.time() >= until_s:
                    return Silent()
                await asyncio.sleep(SILENCE_POLL_S)
                continue
            if is_crowded:
                if self._balancer.is_shut_out(call.scope):
                    return Crowded(is_shut_out=True)
                if not await self._wait_for_place(call, is_first=has_waited):
                    return Crowded(is_shut_out=False)
                has_waited = True
                continue
            pausing = self._find_long_pause(call, tried, until_s)
            if pausing is not None:
                return pausing
            pause = find_pause(self._balancer, call.scope, tried)
            if pause is None:
                return None
            await asyncio.sleep(pause.left_s)

    def _is_brittle(self, call: Call) -> bool:
        return self._balancer.brittle_pools.is_brittle(call.scope.pool)

    async def _wait_for_place(self, call: Call, *, is_first: bool) -> bool:
        """Wait until a request has ended; return whether it was in time.

        A call that was woken in vain `is_first` in the queue again.
        """
        waiting = self._waiting[call.service]
        turn = asyncio.get_running_loop().create_future()
        if is_first:
            waiting.appendleft(turn)
        else:
            waiting.append(turn)
        target_s = call.route.target_ms / 1_000
        until_s = call.request.arrived_s + target_s * MAX_PLACE_WAIT_FACTOR
        try:
            async with asyncio.timeout_at(until_s):
                await asyncio.shield(turn)
        except BaseException as error:
            if turn.done():  # the place is for another call
                self.release_place(call.service)
            else:
                waiting.remove(turn)
            if isinstance(error, TimeoutError):
                return False
            raise
        return True

    def release_place(self, pool: str) -> None:
        """Wake the call that has waited longest for a place of that pool."""
        waiting = self._waiting.get(pool)
        if waiting:
            waiting.popleft().set_result(None)

    def _find_long_pause(
        self, call: Call, tried: Collection[str], until_s: float
    ) -> Pausing | None:
        return find_long_pause(self._balancer, call.scope, tried, until_s)

    async def _choose_now(
        self, call: Call, tried: Collection[str], until_s: float
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
        upstream = await self._wait_for_permit(call, tried, first, until_s)
        if upstream is not None:
            return upstream
        excluded = {*tried, *waits_s}
        upstream = await self._choose_permitted(call, excluded, waits_s)
        if upstream is not None:
            return upstream
        if find_pause(self._balancer, call.scope, tried) is not None:
            return None
        return RateLimited(await self._permits.reserve_return(first))

    async def _choose_permitted(
        self, call: Call, tried: Collection[str], waits_s: dict[str, float]
    ) -> Upstream | None:
        """Return an upstream with a permit; add the waits of the others."""
        while True:
            upstream = await self._choose_counted(call, tried, waits_s)
            if upstream is None:
                return None
            permit = await self._permits.acquire(upstream.name)
            if permit.is_granted:
                return self._record_send(upstream)
            waits_s[upstream.name] = permit.wait_s

    async def _choose_counted(
        self, call: Call, tried: Collection[str], denied: Collection[str]
    ) -> Upstream | None:
        """Return the best upstream, a silent one only by recent counts."""
        balancer = self._balancer
        upstream = balancer.choose_upstream(call.scope, tried, denied)
        if (
            upstream is None
            or balancer.counts_basis in RECENT_COUNTS
            or not balancer.is_silent(upstream.name)
        ):
            return upstream
        await balancer.refresh()
        return balancer.choose_upstream(call.scope, tried, denied)

    async def _wait_for_permit(
        self, call: Call, tried: Collection[str], name: str, until_s: float
    ) -> Upstream | None:
        loop = asyncio.get_running_loop()
        remaining_s = call.timeout_at_s - loop.time()
        permit = await self._permits.acquire(
            name, max_wait_s=max(remaining_s, 0.0) * WAIT_FRACTION
        )
        if not permit.is_granted:
            return None
        await sleep_unless(
            permit.wait_s,
            lambda: self._find_long_pause(call, tried, until_s) is not None,
        )
        upstream = self._balancer.find_usable(call.scope, tried, name)
        return self._record_send(upstream) if upstream else None

    def _record_send(self, upstream: Upstream) -> Upstream:
        self._balancer.record_send(upstream)
        return upstream
