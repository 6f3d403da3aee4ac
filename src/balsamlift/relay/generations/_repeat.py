"""Send a generation that may be resumed to another engine, without memory.

For routes whose streams another engine may go on with. The next engine reads
the prompt again and goes on after the last event that the caller has.
"""

from __future__ import annotations

import asyncio

import attrs
from loguru import logger

from balsamlift.peers import Upstream
from balsamlift.placement import patience_ms
from balsamlift.relay._attempt import MAX_UNREACHABLE_UPSTREAMS, Attempt
from balsamlift.relay._configuration import Route
from balsamlift.relay._exchange import Reply
from balsamlift.relay._retries import may_send_again, spend_retry
from balsamlift.relay._retry_budget import RetryBudget
from balsamlift.relay.generations._backup import Backup
from balsamlift.relay.generations._engine_placement import EnginePlacement
from balsamlift.relay.generations._events import NO_EVENT_ID
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import MemoryReservation
from balsamlift.relay.generations._sender import Sender, StartedGeneration

log = logger.bind(part="generations")

# Part of the time that callers wait for an event in which a repeat waits for
# memory. The rest is for the engine, which has the prompt to read.
MEMORY_WAIT_FRACTION = 0.5
_MS_PER_S = 1_000


def borne_gap_s(route: Route) -> float:
    """Return how long callers of a stream wait for its next event."""
    return patience_ms(route.target_ms, route.max_gap_ms) / _MS_PER_S


@attrs.frozen
class Repeated:
    """The response of the engine that goes on with a generation."""

    reply: Reply
    started: StartedGeneration | None = None  # None: another host carries it

    @property
    def is_carried(self) -> bool:
        """Return whether another host carries the generation."""
        return self.started is None

    def replace(self, reservation: MemoryReservation, backup: Backup) -> None:
        """Let these hold the memory of the next engine instead."""
        if self.started is None:
            reservation.release()
            backup.release()
        else:
            reservation.replace_by(self.started.reservation)
            backup.replace_by(self.started.backup)


@attrs.frozen
class RepeatContext:
    """What all repeats of this host share."""

    context: GenerationContext
    placement: EnginePlacement
    sender: Sender
    budget: RetryBudget


class Repeat:
    """Sends one generation again when its engine is lost.

    All sends of its request count, on both sides of its first event.
    """

    def __init__(
        self, shared: RepeatContext, job: Job, attempt: Attempt
    ) -> None:
        """Send within what `attempt` has left."""
        self._shared = shared
        self._context = shared.context
        self._job = job
        self._attempt = attempt
        # Another host may have sent it as often as is allowed.
        self._is_handed_over = False
        self._has_spent_retry = False

    async def may_start_again(
        self, lost: Upstream, tried: set[str], reason: str
    ) -> bool:
        """Return whether to start it elsewhere, before its response began.

        A permitted repeat is charged to the retry budget of the service.
        """
        cause = self._find_obstacle()
        if not cause and not self._has_engine(tried):
            cause = "no other engine"
        # Without any event, it is the most likely cause of a crash.
        if not cause and await self._context.crash_guard.has_crashed(lost):
            cause = "engine crashed"
        if not cause and not self._spend_retry():
            cause = "retry budget spent"
        self._report(lost, "", NO_EVENT_ID, reason, cause)
        return not cause

    async def run(
        self, lost: Upstream, last_event: int, last_event_s: float, reason: str
    ) -> Repeated | None:
        """Return the response of the next engine, or None if there is none.

        `last_event_s` is the event loop's time at which the caller got the
        last event.
        """
        self._has_spent_retry = False
        until_s = last_event_s + borne_gap_s(self._job.call.route)
        try:
            async with asyncio.timeout_at(until_s):
                result = await self._run(lost, last_event, last_event_s)
        except TimeoutError:
            result = "no response in time"
        if isinstance(result, str):
            self._report(lost, "", last_event, reason, result)
            return None
        name = self._attempt.sent_to[-1]
        self._report(lost, name, last_event, reason)
        return result

    async def _run(
        self, lost: Upstream, last_event: int, last_event_s: float
    ) -> Repeated | str:
        """Return the next engine's response, or why there is none."""
        extra = self._position(last_event)
        if self._context.forwarder.is_unreached(lost.pool):
            return await self._hand_over(lost, extra)
        sends_before = self._attempt.sends
        wait_s = borne_gap_s(self._job.call.route) * MEMORY_WAIT_FRACTION
        job = attrs.evolve(self._job, wait_until_s=last_event_s + wait_s)
        result = await self._send_here(job, lost, extra)
        if isinstance(result, Repeated) or self._attempt.sends > sends_before:
            return result
        if self._context.forwarder.is_unreached(lost.pool):  # found out now
            return await self._hand_over(lost, extra)
        return result

    async def _send_here(
        self, job: Job, lost: Upstream, extra: list[tuple[str, str]]
    ) -> Repeated | str:
        """Send it to the first engine that is reached."""
        tried = {lost.name}
        result = "no other engine"
        for _ in range(MAX_UNREACHABLE_UPSTREAMS):
            if not self._has_engine(tried):
                return result
            reservation = await self._reserve(job, tried)
            if isinstance(reservation, str):
                return reservation
            tried.add(reservation.upstream.name)
            sends_before = self._attempt.sends
            started = await self._shared.sender.send(
                job, self._attempt, reservation, extra
            )
            if isinstance(started, StartedGeneration):
                return self._check(started)
            result = started.reason
            if self._attempt.sends > sends_before:
                return result
        return result

    async def _reserve(
        self, job: Job, tried: set[str]
    ) -> MemoryReservation | str:
        """Return memory of an engine that it is sent to next, or why not."""
        obstacle = self._find_obstacle()
        if obstacle:
            return obstacle
        reservation = await self._shared.placement.reserve(job, tried)
        if not isinstance(reservation, MemoryReservation):
            return "no memory in time"
        obstacle = self._find_obstacle()  # it may have waited
        if not obstacle and not self._spend_retry():
            obstacle = "retry budget spent"
        if obstacle:
            reservation.release()
            return obstacle
        return reservation

    def _check(self, started: StartedGeneration) -> Repeated | str:
        """Drop a response that does not go on with the stream."""
        reply = started.reply
        if reply.is_success:
            self._context.balancer.record_success(reply.upstream.name)
            return Repeated(reply, started)
        started.release()
        reply.connection.close()
        if started.has_failed:
            self._context.balancer.record_error(reply.upstream.name)
        return f"engine answered {reply.head.status}"

    async def _hand_over(
        self, lost: Upstream, extra: list[tuple[str, str]]
    ) -> Repeated | str:
        """Let another host send it, as this one reaches no engine."""
        obstacle = self._find_obstacle()
        if obstacle:
            return obstacle
        if not self._spend_retry():
            return "retry budget spent"
        sends_before = self._attempt.sends
        try:
            carrier = await self._context.forwarder.repeat(
                self._job.call, self._attempt, extra
            )
        finally:
            self._is_handed_over = self._attempt.sends > sends_before
        if carrier is None:
            return "no host carries it"
        return Repeated(
            Reply(lost, carrier.connection, carrier.head, "answer")
        )

    def _has_engine(self, tried: set[str]) -> bool:
        """Return whether an engine is left that takes requests now."""
        scope = self._job.scope
        return bool(self._context.balancer.usable(scope, tried))

    def _find_obstacle(self) -> str:
        """Return why it may not be sent again now, or ""."""
        call = self._job.call
        if self._is_handed_over or not may_send_again(call, self._attempt):
            return "no attempts left"
        if not self._context.crash_guard.may_go_on(call):
            return "prompt suspected to crash upstreams"
        if not self._context.shutdown.may_begin(self._attempt):
            return "host is leaving"
        refusal = self._shared.sender.refusal(call, self._attempt)
        return refusal.reason if refusal is not None else ""

    def _spend_retry(self) -> bool:
        """Charge the repeat to the retry budget, but only once."""
        if not self._has_spent_retry:
            self._has_spent_retry = spend_retry(
                self._job.call, self._attempt, self._shared.budget
            )
        return self._has_spent_retry

    def _position(self, last_event: int) -> list[tuple[str, str]]:
        """Return the header that names the last event, if there is one."""
        if last_event == NO_EVENT_ID:
            return []
        return [(self._context.names.last_event_id, str(last_event))]

    def _report(
        self,
        lost: Upstream,
        target: str,
        last_event: int,
        reason: str,
        cause: str = "",
    ) -> None:
        """Log and count a repeat, or `cause`, for which there is none."""
        metric = "repeat_failed" if cause else "repeated"
        self._context.metrics.count(f"generations.{metric}")
        log.bind(
            request=self._job.request_id,
            upstream=lost.name,
            target=target,
            event=last_event,
            reason=reason,
            cause=cause,
            sends=self._attempt.sends,
        ).info("not sent again" if cause else "sent to another engine again")
