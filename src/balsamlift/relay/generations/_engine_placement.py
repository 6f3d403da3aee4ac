"""Find an engine with free memory, within the rate limits of engines."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from balsamlift.metrics import Metrics
from balsamlift.peers import Permits
from balsamlift.relay._balance import Balancer
from balsamlift.relay._upstream_chooser import (
    Pausing,
    RateLimited,
    find_long_pause,
    sleep_unless,
)
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import (
    MemoryAllocator,
    MemoryReservation,
)
from balsamlift.relay.generations._memory_request import MemoryRequest
from balsamlift.relay.generations._memory_wait import MemoryWait, NoMemory

# Longest wait for a permit or the end of a pause, as a multiple of the route's
# target latency. A generation that starts after its target is late, and a
# caller who is refused sooner can retry in time.
MAX_WAIT_FACTOR = 1.0


class EnginePlacement:
    """Reserve memory in an engine that may take a generation now."""

    def __init__(
        self,
        balancer: Balancer,
        allocator: MemoryAllocator,
        permits: Permits,
        metrics: Metrics,
    ) -> None:
        """Reserve through `allocator` and acquire `permits`."""
        self._balancer = balancer
        self._allocator = allocator
        self._permits = permits
        self._memory_wait = MemoryWait(balancer, allocator, metrics)
        self.record_released = self._memory_wait.record_released

    async def reserve(
        self, job: Job, tried: Collection[str]
    ) -> MemoryReservation | RateLimited | Pausing | NoMemory:
        """Return a reservation, or why there is none in time."""
        waits_s: dict[str, float] = {}
        while True:
            pausing = self._find_long_pause(job, tried)
            if pausing is not None:
                return pausing
            if waits_s and not self._has_other_engine(job, tried, waits_s):
                return await self._wait_for_permit(job, tried, waits_s)
            reservation = await self._wait_for_memory(job, {*tried, *waits_s})
            if isinstance(reservation, NoMemory):
                return self._find_long_pause(job, tried) or reservation
            wait_s = await self._acquire_permit(reservation)
            if wait_s is None:
                return reservation
            waits_s[reservation.upstream.name] = wait_s

    def busy(self, job: Job, tried: Collection[str]) -> set[str]:
        """Return the engines with more load than the least loaded one."""
        usable = self._balancer.usable(job.scope, tried)
        loads = {u.name: self._balancer.load(u.name) for u in usable}
        least = min(loads.values(), default=0)
        return {name for name, load in loads.items() if load > least}

    def _find_long_pause(
        self, job: Job, tried: Collection[str]
    ) -> Pausing | None:
        """Return the pause of all engines if it is too long to wait for."""
        until_s = _wait_by_s(job)
        return find_long_pause(self._balancer, job.scope, tried, until_s)

    async def _acquire_permit(
        self, reservation: MemoryReservation
    ) -> float | None:
        """Return None if granted, else the wait, with the memory released.

        The memory is released as well if the caller leaves meanwhile.
        """
        try:
            permit = await self._permits.acquire(reservation.upstream.name)
        except BaseException:
            reservation.release()
            raise
        if permit.is_granted:
            return None
        reservation.release()
        return permit.wait_s

    def _has_other_engine(
        self, job: Job, tried: Collection[str], denied: Collection[str]
    ) -> bool:
        usable = self._balancer.usable(job.scope, tried)
        return any(upstream.name not in denied for upstream in usable)

    async def _wait_for_permit(
        self, job: Job, tried: Collection[str], waits_s: dict[str, float]
    ) -> MemoryReservation | RateLimited | Pausing | NoMemory:
        """Wait for the engine whose permit is free first."""
        name = min(waits_s, key=lambda name: waits_s[name])
        remaining_s = _wait_by_s(job) - asyncio.get_running_loop().time()
        permit = await self._permits.acquire(
            name, max_wait_s=max(remaining_s, 0.0)
        )
        if not permit.is_granted:
            return RateLimited(await self._permits.reserve_return(name))
        await sleep_unless(
            permit.wait_s,
            lambda: self._find_long_pause(job, tried) is not None,
        )
        upstream = self._balancer.find_usable(job.scope, tried, name)
        if upstream is None:
            return self._find_long_pause(job, tried) or NoMemory()
        if not self._allocator.fits(upstream, job.traits, job.tokens):
            return NoMemory()
        return self._allocator.reserve(upstream, job.tokens)

    async def _wait_for_memory(
        self, job: Job, tried: Collection[str]
    ) -> MemoryReservation | NoMemory:
        return await self._memory_wait.reserve(
            job,
            _memory_request(job, tried),
            lambda: self._find_long_pause(job, tried) is not None,
        )


def _memory_request(job: Job, tried: Collection[str]) -> MemoryRequest:
    call = job.call
    workspace = call.workspace
    return MemoryRequest(
        scope=job.scope,
        traits=job.traits,
        tokens=job.tokens,
        priority=call.rank,
        workspace=workspace.name if workspace else "",
        weight=workspace.weight if workspace else 1.0,
        in_time_until_s=(
            call.request.arrived_s + call.route.target_ms / 1_000
        ),
        tried=tried,
        prompt_tokens=job.estimate.prompt_tokens,
        first_event_ms=call.table.shortest_target_ms(
            call.service, call.route.priority
        ),
        demand=job.demand,
        request_id=job.request_id,
    )


def _wait_by_s(job: Job) -> float:
    if job.wait_until_s is not None:
        return job.wait_until_s
    call = job.call
    target_s = call.route.target_ms / 1_000
    return call.request.arrived_s + target_s * MAX_WAIT_FACTOR
