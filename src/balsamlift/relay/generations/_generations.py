"""Generations: reserve engine memory, start, and relay the stream."""

from __future__ import annotations

import asyncio

import attrs
from loguru import logger

from balsamlift.exceptions import (
    UpstreamBrokenError,
    UpstreamRestrictedError,
    UpstreamUnreachableError,
)
from balsamlift.peers import Upstream, Upstreams
from balsamlift.placement import expected_run_ms
from balsamlift.relay._admission import Admission
from balsamlift.relay._attempt import MAX_UNREACHABLE_UPSTREAMS, Attempt
from balsamlift.relay._balance import prefill_key
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._exchange import Reply
from balsamlift.relay._headers import caller_headers
from balsamlift.relay._refusals import (
    give_up,
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
from balsamlift.relay.crashes import CRASHING_REQUEST
from balsamlift.relay.forwarding import Unreached
from balsamlift.relay.generations._backup import Backup
from balsamlift.relay.generations._engine_placement import EnginePlacement
from balsamlift.relay.generations._generation import Generation
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import MemoryReservation
from balsamlift.relay.generations._memory_wait import NoMemory
from balsamlift.relay.generations._token_estimate import (
    TokenEstimate,
    read_token_estimate,
)

log = logger.bind(part="generations")

MAX_SENDS = 4  # of one request, to start a generation
MAX_ERROR_BODY_BYTES = 65_536  # of an engine's response that is not a stream
GATEWAY_TIMEOUT = 504  # from an engine, at the caller's deadline
# Used where the configuration does not describe the engines of a service.
DEFAULT_TRAITS = EngineTraits(memory_tokens=1 << 40)


@attrs.frozen
class _StartedGeneration:
    """An engine's response and the memory reserved for the generation."""

    reply: Reply
    reservation: MemoryReservation
    reserved_s: float  # monotonic
    backup: Backup


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
        self._admission = admission
        self._retries = retries
        self._upstreams = upstreams
        self._forwarder = context.forwarder
        self._running: set[Generation] = set()
        self._leaves_at_s: float | None = None
        upstreams.on_change(self._move_off_leaving_engines)
        self._forwarder.on_change(self._check_links)

    def leave(self, leaves_at_s: float) -> None:
        """Start only generations expected to end by `leaves_at_s`.

        The time is on the event loop's clock.
        """
        self._leaves_at_s = leaves_at_s

    def _fits_before_leaving(self, estimate: TokenEstimate) -> bool:
        if self._leaves_at_s is None:
            return True
        remaining_s = self._leaves_at_s - asyncio.get_running_loop().time()
        return expected_run_ms(estimate.output_tokens) <= remaining_s * 1_000

    async def serve(self, call: Call, responder: Responder) -> Outcome:
        """Respond to the caller and return the outcome for the log."""
        attempt = Attempt(is_idempotent=False)
        origin = call.request.origin
        resume = origin.resume if origin is not None else None
        job = self._make_job(call)
        return await end_in_time(
            call,
            attempt,
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
        return Job(call, estimate, traits)

    async def _resume(
        self,
        job: Job,
        resume: Resume,
        attempt: Attempt,
        responder: Responder,
    ) -> Outcome | Refusal:
        """Go on with a generation whose host has lost its engines."""
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
        try:
            reply = await generation.request_resume(upstream, resume)
            if reply is None:
                return give_up(attempt, "could not resume")
            text = await generation.relay(reply)
            return Outcome(text, upstream.name, [upstream.name])
        finally:
            self._running.discard(generation)
            reservation.release()
            backup.release()

    async def _run(
        self, job: Job, attempt: Attempt, responder: Responder
    ) -> Outcome | Refusal:
        if not self._fits_before_leaving(job.estimate):
            # Another host can finish it; this one would have to abort it.
            return give_up(attempt, "host is leaving", 0)
        result = await self._start(job, attempt)
        if isinstance(result, _StartedGeneration):
            text = await self._relay(result, job, responder)
            upstream = result.reservation.upstream.name
            return Outcome(text, upstream, attempt.sent_to)
        if not isinstance(result, Unreached):
            return result
        return await self._forwarder.run(job.call, attempt, responder, result)

    async def _start(
        self, job: Job, attempt: Attempt
    ) -> _StartedGeneration | Refusal | Unreached:
        call = job.call
        tried: set[str] = set()
        unreachable = 0
        while True:
            blamed = self._context.crash_guard.refusal(call, attempt)
            if blamed is not None:
                return blamed
            if self._context.crash_guard.is_trial(call):
                tried |= self._placement.busy(job, tried)
            unreached = self._forwarder.unreached(call, attempt)
            tried |= unreached
            is_unreached = bool(unreached or unreachable)
            if is_unreached and self._forwarder.is_cut_off(call, tried):
                now_s = asyncio.get_running_loop().time()
                return Unreached(no_memory(attempt, call, now_s))
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
            backup = Backup(self._context, job)
            backup.choose(reservation.upstream)
            self._log_placed(call, reservation, backup)
            pending_prefill = MemoryReservation(
                self._context.balancer,
                reservation.upstream,
                job.estimate.prompt_tokens,
                prefill_key,
            )
            try:
                if not self._admission.still_allows(call):
                    return give_up(attempt, "configuration changed", 0)
                blamed = self._context.crash_guard.refusal(call, attempt)
                if blamed is not None:
                    return blamed
                result = await self._send(
                    call, attempt, reservation.upstream, backup.headers()
                )
            except BaseException:
                reservation.release()
                backup.release()
                raise
            finally:
                pending_prefill.release()
            if isinstance(result, Reply):
                return _StartedGeneration(result, reservation, now_s, backup)
            reservation.release()
            backup.release()
            tried.add(reservation.upstream.name)
            if attempt.sends == sends_before:
                unreachable += 1  # the request was not sent
                if unreachable >= MAX_UNREACHABLE_UPSTREAMS:
                    return Unreached(result)
                continue
            sends_exhausted = attempt.sends >= MAX_SENDS
            if sends_exhausted or not attempt.certainly_not_run:
                return result
            if not self._retries.spend(call.service):
                return result

    def _log_placed(
        self, call: Call, reservation: MemoryReservation, backup: Backup
    ) -> None:
        waited_s = asyncio.get_running_loop().time() - call.request.arrived_s
        balancer = self._context.balancer
        upstream = reservation.upstream.name
        log.bind(
            request=call.request_id,
            upstream=upstream,
            priority=call.priority,
            workspace=call.workspace.name if call.workspace else "",
            tokens=reservation.tokens,
            load=balancer.load(upstream),  # including this call
            unread=balancer.load(prefill_key(upstream)),  # excluding this call
            counts=balancer.counts_basis,
            backup=backup.upstream,
            waited_ms=round(waited_s * 1_000),
            expected_wait_ms=reservation.expected_wait_ms,
            **self._context.paces.describe(upstream),
        ).info("placed")

    async def _send(
        self,
        call: Call,
        attempt: Attempt,
        upstream: Upstream,
        extra: list[tuple[str, str]],
    ) -> Reply | Refusal:
        balancer = self._context.balancer
        try:
            async with self._context.crash_guard.limit(call):
                reply = await self._context.exchange.send(
                    call, attempt, upstream, extra
                )
        except TimeoutError:  # a part of its prompt was blocked meanwhile
            return CRASHING_REQUEST
        except UpstreamRestrictedError as error:
            return give_up(attempt, f"engine {error.restriction}")
        except (UpstreamUnreachableError, UpstreamBrokenError) as error:
            backoff_s = balancer.eject(upstream.name)
            log.bind(
                request=call.request_id,
                upstream=upstream.name,
                out_ms=round(backoff_s * 1_000),
                may_have_run=attempt.may_have_run,
            ).warning("ejected: {}", error)
            if isinstance(error, UpstreamBrokenError):
                self._context.crash_guard.check_broken_call(
                    call, upstream, had_output=False
                )
            return give_up(attempt, "engine gave no answer")
        if reply.disposition == "not_executed":
            reply.connection.close()
            balancer.abandon_trial(upstream.name)
            log.bind(
                request=call.request_id,
                upstream=upstream.name,
                status=reply.head.status,
                load=balancer.load(upstream.name),
            ).info("engine refused")
            return give_up(attempt, "engines full")
        return reply

    async def _relay(
        self,
        started: _StartedGeneration,
        job: Job,
        responder: Responder,
    ) -> str:
        reply = started.reply
        generation = Generation(
            self._context, job, responder, started.reservation, started.backup
        )
        self._running.add(generation)
        if self._upstreams.is_leaving(reply.upstream.name):
            generation.leave_engine()  # notified before the first event
        try:
            if not reply.is_success:
                if reply.head.status != GATEWAY_TIMEOUT:
                    self._context.balancer.record_error(reply.upstream.name)
                return await self._forward_failure(reply, responder)
            self._context.balancer.record_success(reply.upstream.name)
            outcome = await generation.relay(reply)
            stats = generation.stats
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
            started.reservation.release()
            self._placement.record_released(job, started.reserved_s)
            started.backup.release()

    async def _forward_failure(
        self, reply: Reply, responder: Responder
    ) -> str:
        """Forward an error response of the engine unchanged."""
        try:
            body = await self._context.exchange.read_full_body(
                reply, MAX_ERROR_BODY_BYTES
            )
        except UpstreamBrokenError:
            responder.refuse(Refusal(status=502, reason="engine broke off"))
            return "engine broke off"
        head = reply.head
        headers = caller_headers(head.headers)
        headers["Content-Length"] = str(len(body))
        await responder.start(head.status, head.reason, headers)
        if body:
            await responder.write(body)
        responder.finish()
        return f"answered {head.status}"

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
