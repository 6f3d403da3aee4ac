"""Wait for engine memory for as long as that may serve the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import attrs
from loguru import logger

from balsamlift.metrics import Metrics
from balsamlift.placement import (
    LateShares,
    RefuseNow,
    ResidenceTimes,
    WaitRequest,
    WaitUntil,
    decide_wait,
    expected_run_ms,
)
from balsamlift.relay._balance import Balancer
from balsamlift.relay._refusals import return_fraction
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import (
    MemoryAllocator,
    MemoryReservation,
)
from balsamlift.relay.generations._memory_request import MemoryRequest

log = logger.bind(part="generations")

RENEWAL_INTERVAL_S = 0.2  # of the forecast, while a generation waits

_MS_PER_S = 1_000


@attrs.frozen
class NoMemory:
    """Tell that no engine has memory in time, and when to return."""

    retry_after_ms: int | None = None  # None: unknown


@attrs.frozen(eq=False)
class _Waiting:
    """Name the pool of a waiting generation, and when its target passes."""

    pool: str
    target_s: float


class MemoryWait:
    """Reserve memory, and refuse generations that would wait in vain."""

    def __init__(
        self, balancer: Balancer, allocator: MemoryAllocator, metrics: Metrics
    ) -> None:
        """Reserve through `allocator`; learn from what is released."""
        self._balancer = balancer
        self._allocator = allocator
        self._metrics = metrics
        self._residence = ResidenceTimes()
        self._late_shares = LateShares()
        self._waiting: set[_Waiting] = set()

    def record_released(self, job: Job, reserved_s: float) -> None:
        """Record a generation that held memory from `reserved_s` until now."""
        held_s = asyncio.get_running_loop().time() - reserved_s
        self._residence.record(
            job.scope.pool, job.tokens, _expected_ms(job), held_s * _MS_PER_S
        )

    async def reserve(
        self, job: Job, request: MemoryRequest, is_over: Callable[[], bool]
    ) -> MemoryReservation | NoMemory:
        """Return a reservation, or that there is no memory in time.

        The wait also ends when `is_over`, without a forecast.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await self._refresh(job)
        reservation = await self._wait(job, request, is_over)
        waited_ms = (loop.time() - began_s) * _MS_PER_S
        if reservation is not None:
            self._metrics.observe_ms("generations.wait", waited_ms)
            return reservation
        if is_over() or self._balancer.is_closed(job.scope):
            return NoMemory()
        return self._refuse(job, request, waited_ms)

    async def _refresh(self, job: Job) -> None:
        """Fetch the counts of other hosts; go on without if it takes long."""
        now_s = asyncio.get_running_loop().time()
        until_s = max(_target_s(job), now_s + RENEWAL_INTERVAL_S)
        with suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await self._balancer.refresh()

    async def _wait(
        self, job: Job, request: MemoryRequest, is_over: Callable[[], bool]
    ) -> MemoryReservation | None:
        """Return memory, which is reserved at once if it is free."""
        loop = asyncio.get_running_loop()
        first: WaitUntil | RefuseNow | None = None
        renewal: asyncio.Handle

        def renew() -> None:
            nonlocal first, renewal
            if limit.expired():
                return
            decision = self._decide(job, request, is_waiting=bool(first))
            # Once there was a forecast, it stays in force until the next.
            if first is None or decision.expected_ms is not None:
                limit.reschedule(_until_s(job, decision))
            first = first or decision
            renewal = loop.call_later(RENEWAL_INTERVAL_S, renew)

        renewal = loop.call_soon(renew)
        waiting = _Waiting(job.scope.pool, _target_s(job))
        self._waiting.add(waiting)
        try:
            async with asyncio.timeout(None) as limit:
                reservation = await self._allocator.wait(request, is_over)
        except TimeoutError:
            return None
        finally:
            renewal.cancel()
            self._waiting.discard(waiting)
        if reservation is not None and first is not None:
            reservation.expected_wait_ms = first.expected_ms
            self._record_granted(waiting)
        return reservation

    def _record_granted(self, granted: _Waiting) -> None:
        """Record whether late generations of its pool get memory."""
        now_s = asyncio.get_running_loop().time()
        is_late = granted.target_s <= now_s
        if is_late or any(
            other.pool == granted.pool and other.target_s <= now_s
            for other in self._waiting
        ):
            self._late_shares.record(granted.pool, is_late=is_late)

    def _decide(
        self, job: Job, request: MemoryRequest, *, is_waiting: bool
    ) -> WaitUntil | RefuseNow:
        if job.wait_until_s is not None:
            return WaitUntil(until_s=job.wait_until_s, expected_ms=None)
        return decide_wait(
            _wait_request(job),
            self._allocator.backlog(request),
            self._residence.of(job.scope.pool, _expected_ms(job)),
            asyncio.get_running_loop().time(),
            is_waiting=is_waiting,
            late_share=self._late_shares.share(job.scope.pool),
        )

    def _refuse(
        self, job: Job, request: MemoryRequest, waited_ms: float
    ) -> NoMemory:
        """Log and count the refusal, and return when to return."""
        backlog = self._allocator.backlog(request)
        decision = self._decide(job, request, is_waiting=False)
        reason, retry_after_ms = "overdue", None
        if isinstance(decision, RefuseNow):
            reason, retry_after_ms = decision.reason, decision.retry_after_ms
        self._metrics.count(f"generations.refused.{reason}")
        self._metrics.observe_ms("generations.wait_in_vain", waited_ms)
        if retry_after_ms is not None:
            self._metrics.observe_ms("generations.retry_after", retry_after_ms)
        log.bind(
            request=job.request_id,
            waited_ms=round(waited_ms),
            expected_wait_ms=decision.expected_ms,
            late_share=self._late_shares.share(job.scope.pool),
            retry_after_ms=retry_after_ms,
            tokens=request.tokens,
            ahead_tokens=backlog.ahead_tokens,
            free_tokens=backlog.free_tokens,
            used_tokens=backlog.used_tokens,
            counts=self._balancer.counts_basis,
        ).info("no memory: {}", reason)
        return NoMemory(retry_after_ms)


def _wait_request(job: Job) -> WaitRequest:
    call = job.call
    return WaitRequest(
        tokens=min(job.tokens, job.traits.memory_tokens),
        arrived_s=call.request.arrived_s,
        target_ms=call.route.target_ms,
        max_gap_ms=call.route.max_gap_ms,
        timeout_at_s=call.timeout_at_s,
        deadline_s=call.deadline_s,
        spread=return_fraction(call),
    )


def _until_s(job: Job, decision: WaitUntil | RefuseNow) -> float:
    """Return until when a generation waits; until its target at most.

    One that waits for longer holds up those that can still be in time.
    """
    if isinstance(decision, RefuseNow):
        return asyncio.get_running_loop().time()
    if job.wait_until_s is not None:
        return decision.until_s
    return min(decision.until_s, _target_s(job))


def _target_s(job: Job) -> float:
    call = job.call
    return call.request.arrived_s + call.route.target_ms / _MS_PER_S


def _expected_ms(job: Job) -> float:
    return expected_run_ms(job.estimate.output_tokens)
