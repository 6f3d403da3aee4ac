"""Generations: reserve engine memory, start, and relay the stream."""

from __future__ import annotations

import asyncio

from loguru import logger

from balsamlift.clients import drop
from balsamlift.exceptions import AnswerMemoryError, UpstreamBrokenError
from balsamlift.peers import Upstream, Upstreams
from balsamlift.placement import expected_run_ms
from balsamlift.relay._admission import Admission
from balsamlift.relay._attempt import MAX_UNREACHABLE_UPSTREAMS, Attempt
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._exchange import Reply
from balsamlift.relay._refusals import (
    crowded,
    give_up,
    instead_of_failure,
    no_memory,
    no_upstream,
    pausing,
    rate_limited,
)
from balsamlift.relay._request import (
    Call,
    Outcome,
    Refusal,
    Responder,
    Resume,
)
from balsamlift.relay._retry_budget import RetryBudget
from balsamlift.relay._time_limit import end_in_time
from balsamlift.relay._upstream_chooser import Pausing, RateLimited
from balsamlift.relay._whole_answer import pass_on_whole
from balsamlift.relay.crashes import CRASHING_REQUEST
from balsamlift.relay.forwarding import Unreached
from balsamlift.relay.generations._backup import Backup
from balsamlift.relay.generations._engine_placement import EnginePlacement
from balsamlift.relay.generations._events import parse_event_id
from balsamlift.relay.generations._generation import Generation
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_wait import NoMemory
from balsamlift.relay.generations._repeat import Repeat, RepeatContext
from balsamlift.relay.generations._sender import (
    GATEWAY_TIMEOUT,
    Sender,
    StartedGeneration,
)
from balsamlift.relay.generations._token_estimate import read_token_estimate
from balsamlift.relay.shutdown import RunningCall

log = logger.bind(part="generations")

MAX_SENDS = 4  # of one request, to start a generation
_MS_PER_S = 1_000
MAX_ERROR_BODY_BYTES = 65_536  # of an engine's response that is not a stream
# Used where the configuration does not describe the engines of a service.
DEFAULT_TRAITS = EngineTraits(memory_tokens=1 << 40)


class Generations:
    """Runs generations, and moves them off engines that are leaving."""

    def __init__(
        self,
        context: GenerationContext,
        admission: Admission,
        retries: RetryBudget,
        upstreams: Upstreams,
    ) -> None:
        """Subscribe to changes of `upstreams` to detect leaving engines."""
        self._context = context
        self._placement = EnginePlacement(
            context.balancer,
            context.allocator,
            context.permits,
            context.metrics,
        )
        self._sender = Sender(context, admission)
        self._retries = retries
        self._repeats = RepeatContext(
            context,
            self._placement,
            self._sender,
            retries,
        )
        self._upstreams = upstreams
        self._forwarder = context.forwarder
        self._running: set[Generation] = set()
        upstreams.on_change(self._move_off_leaving_engines)
        self._forwarder.on_change(self._check_links)

    async def serve(
        self, call: Call, attempt: Attempt, responder: Responder
    ) -> Outcome:
        """Respond to the caller and return the outcome for the log."""
        origin = call.request.origin
        resume = origin.resume if origin is not None else None
        job = self._make_job(call)
        durations = self._context.durations
        least_ms = expected_run_ms(job.estimate.most_output_tokens)
        running = RunningCall(
            call=call,
            attempt=attempt,
            longest_s=lambda: durations.longest_s(call.duration_key),
            least_s=least_ms / _MS_PER_S,
        )
        return await end_in_time(
            self._context.shutdown,
            running,
            responder,
            self._run(job, attempt, responder)
            if resume is None
            else self._resume(job, resume, attempt, responder),
        )

    def _make_job(self, call: Call) -> Job:
        estimate = read_token_estimate(
            call.request.headers, self._context.names
        )
        service = call.table.services.get(call.service)
        traits = (service.engine if service else None) or DEFAULT_TRAITS
        if not call.is_idempotent:
            return Job(call, estimate, traits)
        position = call.request.headers.get(
            self._context.names.last_event_id, ""
        )
        return Job(call, estimate, traits, parse_event_id(position))

    async def _resume(
        self,
        job: Job,
        resume: Resume,
        attempt: Attempt,
        responder: Responder,
    ) -> Outcome | Refusal:
        """Go on with a generation whose host has lost its engines."""
        refusal = self._context.shutdown.refusal(attempt)
        if refusal is not None:
            return refusal
        upstream = self._upstreams.find(resume.upstream)
        if upstream is None or not self._upstreams.may_take_work(
            upstream.name
        ):
            return give_up(attempt, "engine to resume at is gone")
        reservation = self._context.allocator.reserve(upstream, job.tokens)
        backup = Backup(self._context, job)
        generation = Generation(
            self._context, job, responder, reservation, backup
        )
        self._running.add(generation)
        now_s = asyncio.get_running_loop().time()
        attempt.record_send(upstream.name, now_s)
        try:
            reply = await generation.request_resume(upstream, resume)
            if reply is None:
                return give_up(attempt, "could not resume")
            text = await generation.relay(reply)
            return Outcome(text, upstream.name, attempt.sent_to)
        finally:
            self._running.discard(generation)
            reservation.release()
            backup.release()

    async def _run(
        self, job: Job, attempt: Attempt, responder: Responder
    ) -> Outcome | Refusal:
        result = await self._start(job, attempt)
        if isinstance(result, StartedGeneration):
            text = await self._relay(result, job, attempt, responder)
            upstream = result.reservation.upstream.name
            return Outcome(
                text, upstream, attempt.sent_to, is_success=text == "whole"
            )
        if not isinstance(result, Unreached):
            return result
        return await self._forwarder.run(job.call, attempt, responder, result)

    async def _start(
        self, job: Job, attempt: Attempt
    ) -> StartedGeneration | Refusal | Unreached:
        call = job.call
        tried: set[str] = set()
        unreachable = 0
        while True:
            refused = self._context.shutdown.refusal(attempt)
            refused = refused or self._context.crash_guard.refusal(
                call, attempt
            )
            if refused is not None:
                return refused
            if self._context.crash_guard.is_trial(call):
                tried |= self._placement.busy(job, tried)
            unreached = self._forwarder.unreached(call, attempt)
            tried |= unreached
            is_unreached = bool(unreached or unreachable)
            if is_unreached and self._forwarder.is_cut_off(call, tried):
                now_s = asyncio.get_running_loop().time()
                return Unreached(no_memory(attempt, call, now_s))
            if self._context.balancer.is_shut_out(call.scope):
                now_s = asyncio.get_running_loop().time()
                return Unreached(crowded(attempt, call, now_s))
            sends_before = attempt.sends
            reservation = await self._placement.reserve(job, tried)
            now_s = asyncio.get_running_loop().time()
            if isinstance(reservation, RateLimited):
                return rate_limited(
                    attempt, call, now_s, reservation.retry_after_s
                )
            if isinstance(reservation, Pausing):
                return pausing(attempt, call, now_s, reservation.retry_after_s)
            if isinstance(reservation, NoMemory):
                if self._context.balancer.is_closed(call.scope):
                    return no_upstream(attempt, call, now_s)
                wait_ms = reservation.retry_after_ms
                return no_memory(attempt, call, now_s, wait_ms)
            upstream = reservation.upstream
            refusal = self._sender.refusal(call, attempt)
            if refusal is not None:
                reservation.release()
                return refusal
            result = await self._sender.send(job, attempt, reservation)
            if isinstance(result, StartedGeneration) and not result.has_failed:
                return result
            tried.add(upstream.name)
            if isinstance(result, Refusal) and attempt.sends == sends_before:
                unreachable += 1  # the request was not sent
                if unreachable >= MAX_UNREACHABLE_UPSTREAMS:
                    return Unreached(result)
                continue
            if not await self._may_start_again(
                job, attempt, result, upstream, tried
            ):
                return result
            if isinstance(result, StartedGeneration):
                result.release()
                result.reply.connection.close()
                self._context.balancer.record_error(upstream.name)

    async def _may_start_again(
        self,
        job: Job,
        attempt: Attempt,
        result: StartedGeneration | Refusal,
        upstream: Upstream,
        tried: set[str],
    ) -> bool:
        """Return whether to send a generation to one more engine."""
        if attempt.sends >= MAX_SENDS or result is CRASHING_REQUEST:
            return False
        if attempt.certainly_not_run:
            return self._retries.spend(job.call.service)
        repeat = self._make_repeat(job, attempt)
        if repeat is None:
            return False
        reason = (
            result.reason
            if isinstance(result, Refusal)
            else f"engine answered {result.reply.head.status}"
        )
        return await repeat.may_start_again(upstream, tried, reason)

    def _make_repeat(self, job: Job, attempt: Attempt) -> Repeat | None:
        if not job.call.is_idempotent:
            return None
        return Repeat(self._repeats, job, attempt)

    async def _relay(
        self,
        started: StartedGeneration,
        job: Job,
        attempt: Attempt,
        responder: Responder,
    ) -> str:
        reply = started.reply
        generation = Generation(
            self._context,
            job,
            responder,
            started.reservation,
            started.backup,
            self._make_repeat(job, attempt),
        )
        self._running.add(generation)
        if self._upstreams.is_leaving(reply.upstream.name):
            generation.leave_engine()  # notified before the first event
        try:
            if not reply.is_success:
                if reply.head.status != GATEWAY_TIMEOUT:
                    self._context.balancer.record_error(reply.upstream.name)
                return await self._forward_failure(
                    job, attempt, reply, responder
                )
            self._context.balancer.record_success(reply.upstream.name)
            outcome = await generation.relay(reply)
            stats = generation.stats
            if outcome == "whole":
                self._context.paces.record_length(
                    job.scope.pool, stats.events, job.estimate.output_tokens
                )
            log.bind(
                request=job.request_id,
                upstream=started.reservation.upstream.name,
                first_ms=stats.first_ms,
                gap_ms=stats.gap_ms,
                moves=stats.moves,
                events=stats.events,
                prompt_tokens=job.estimate.prompt_tokens,
                output_tokens=job.estimate.output_tokens,
            ).info("stream: {}", outcome)
            return outcome
        finally:
            self._running.discard(generation)
            started.release()
            self._placement.record_released(job, started.reserved_s)

    async def _forward_failure(
        self, job: Job, attempt: Attempt, reply: Reply, responder: Responder
    ) -> str:
        """Forward an error response of the engine if it may be believed."""
        try:
            body = await self._context.exchange.read_full_body(
                reply, MAX_ERROR_BODY_BYTES, job.call.request.memory
            )
        except (UpstreamBrokenError, AnswerMemoryError):
            responder.refuse(Refusal(status=502, reason="engine broke off"))
            return "engine broke off"
        refusal = instead_of_failure(
            job.call, attempt, reply.head.status, reply.head.headers
        )
        if refusal is not None:
            drop(body)
            responder.refuse(refusal)
            return refusal.reason
        return await pass_on_whole(
            reply.head, body, responder, job.call, reply.upstream.name
        )

    def engines_in_use(self) -> list[Upstream]:
        """Return the listed engines that run generations of this host."""
        names = {g.upstream.name for g in self._running if g.upstream}
        found = [self._upstreams.find(name) for name in names]
        return [upstream for upstream in found if upstream is not None]

    def _move_off_leaving_engines(self) -> None:
        """Move generations off engines that leave or are no longer listed."""
        for generation in self._running:
            upstream = generation.upstream
            if upstream is not None and self._upstreams.is_leaving(
                upstream.name
            ):
                generation.leave_engine()

    def _check_links(self, pool: str) -> None:
        """Let generations go on elsewhere if their pool is not reached."""
        for generation in self._running:
            upstream = generation.upstream
            if upstream is not None and upstream.pool == pool:
                generation.check_links(self._forwarder.is_unreached)
