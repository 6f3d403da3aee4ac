"""Calls to engines: find room, start, and relay until the end."""

from __future__ import annotations

import asyncio

import attrs
from loguru import logger

from balsamlift.exceptions import (
    UpstreamBrokenError,
    UpstreamUnreachableError,
)
from balsamlift.peers import Upstream, Upstreams
from balsamlift.relay._admission import Admission
from balsamlift.relay._attempt import MOST_UNREACHABLE, Attempt
from balsamlift.relay._backup import Backup
from balsamlift.relay._balance import prefill_key
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._crash_guard import CRASHING_REQUEST
from balsamlift.relay._exchange import Reply
from balsamlift.relay._generation import Generation
from balsamlift.relay._headers import caller_headers
from balsamlift.relay._job import Job
from balsamlift.relay._memory_allocator import MemoryReservation
from balsamlift.relay._refusals import (
    give_up,
    no_room,
    no_upstream,
    timed_out,
)
from balsamlift.relay._request import Call, Outcome, Refusal, Responder
from balsamlift.relay._retry_budget import RetryBudget
from balsamlift.relay._token_estimate import TokenEstimate, read_token_estimate
from balsamlift.relay._tools import Tools

log = logger.bind(part="generations")

MOST_SENDS = 4  # engines asked to start one generation
MOST_FAILURE_BYTES = 65_536  # of an engine's answer that is no stream
TIMED_OUT = 504  # an engine's answer at the caller's deadline
# What a generation takes on crowded engines.
START_S = 1.0
TOKEN_S = 0.012
# What begins after its target is late; a caller who is told sooner can come
# back in time.
WAIT_TARGETS = 1.0
# Where the operators tell nothing of the engines of a service.
UNTOLD = EngineTraits(memory_tokens=1 << 40)


@attrs.frozen
class _Started:
    """Hold an engine's answer and the memory held there."""

    reply: Reply
    holding: MemoryReservation
    backup: Backup


class Generations:
    """Run generations, and take them off engines that leave."""

    def __init__(
        self,
        tools: Tools,
        admission: Admission,
        retries: RetryBudget,
        upstreams: Upstreams,
    ) -> None:
        """Watch `upstreams` for engines that leave."""
        self._tools = tools
        self._admission = admission
        self._retries = retries
        self._upstreams = upstreams
        self._running: set[Generation] = set()
        self._leaves_s: float | None = None
        upstreams.on_change(self._look)

    def leave(self, by_s: float) -> None:
        """Begin only what is expected to end by then, on the loop's clock."""
        self._leaves_s = by_s

    def _fits_before_leaving(self, need: TokenEstimate) -> bool:
        if self._leaves_s is None:
            return True
        left_s = self._leaves_s - asyncio.get_running_loop().time()
        took_s = START_S + need.output_tokens * TOKEN_S
        return took_s <= left_s

    async def run(self, call: Call, responder: Responder) -> Outcome:
        """Answer the caller; return the outcome for the log."""
        attempt = Attempt(is_idempotent=False)
        need = read_token_estimate(call.request.headers, self._tools.names)
        if not self._fits_before_leaving(need):
            # Another host will finish it; this one would have to cut it off.
            refusal = give_up(attempt, "host is leaving", 0)
            responder.refuse(refusal)
            return Outcome(refusal.reason)
        service = call.table.services.get(call.service)
        traits = (service.engine if service else None) or UNTOLD
        job = Job(call, need, traits)
        try:
            async with asyncio.timeout_at(call.give_up_s):
                result = await self._start(job, attempt)
                if isinstance(result, _Started):
                    text = await self._relay(result, job, responder)
                    upstream = result.holding.upstream.name
                    return Outcome(text, upstream, attempt.sends)
        except TimeoutError:
            if responder.is_started:
                responder.abort()
                return Outcome("timed out midway", sends=attempt.sends)
            result = timed_out(attempt)
        responder.refuse(result)
        return Outcome(result.reason, sends=attempt.sends)

    async def _start(self, job: Job, attempt: Attempt) -> _Started | Refusal:
        call = job.call
        tried: set[str] = set()
        dialled = 0
        while True:
            if self._tools.crash_guard.is_culprit(call):
                return CRASHING_REQUEST
            sends_before = attempt.sends
            holding = await self._wait_for_room(job, tried)
            if holding is None:
                now_s = asyncio.get_running_loop().time()
                if self._tools.balancer.is_blocked_by_operators(call.scope):
                    return no_upstream(attempt, call, now_s)
                return no_room(attempt, call, now_s)
            backup = Backup(self._tools, job)
            backup.choose(holding.upstream)
            self._log_placed(call, holding, backup)
            unread = MemoryReservation(
                self._tools.balancer,
                holding.upstream,
                job.estimate.prompt_tokens,
                prefill_key,
            )
            try:
                if not self._admission.still_allows(call):
                    return give_up(attempt, "configuration changed", 0)
                if self._tools.crash_guard.is_culprit(call):
                    return CRASHING_REQUEST
                result = await self._send(
                    call, attempt, holding.upstream, backup.headers()
                )
            except BaseException:
                holding.release()
                backup.release()
                raise
            finally:
                unread.release()
            if isinstance(result, Reply):
                return _Started(result, holding, backup)
            holding.release()
            backup.release()
            tried.add(holding.upstream.name)
            if attempt.sends == sends_before:
                dialled += 1  # nothing reached the engine
                if dialled >= MOST_UNREACHABLE:
                    return result
                continue
            spent = attempt.sends >= MOST_SENDS
            if spent or not attempt.certainly_not_run:
                return result
            if not self._retries.spend(call.service):
                return result

    async def _wait_for_room(
        self, job: Job, tried: set[str]
    ) -> MemoryReservation | None:
        """Return room in an engine; None where it comes too late."""
        call = job.call
        target_s = call.route.target_ms / 1_000
        wait_by_s = call.request.arrived_s + target_s * WAIT_TARGETS
        try:
            async with asyncio.timeout_at(wait_by_s):
                await self._tools.balancer.refresh()
                return await self._tools.rooms.wait(
                    call.scope, job.traits, job.tokens, call.priority, tried
                )
        except TimeoutError:
            return None

    def _log_placed(
        self, call: Call, holding: MemoryReservation, backup: Backup
    ) -> None:
        waited_s = asyncio.get_running_loop().time() - call.request.arrived_s
        balancer = self._tools.balancer
        upstream = holding.upstream.name
        log.bind(
            request=call.request_id,
            upstream=upstream,
            tokens=holding.tokens,
            load=balancer.load(upstream),  # with it
            unread=balancer.load(prefill_key(upstream)),  # before it
            counts=balancer.counts_basis,
            backup=backup.upstream,
            waited_ms=round(waited_s * 1_000),
        ).info("placed")

    async def _send(
        self,
        call: Call,
        attempt: Attempt,
        upstream: Upstream,
        extra: list[tuple[str, str]],
    ) -> Reply | Refusal:
        balancer = self._tools.balancer
        try:
            reply = await self._tools.exchange.send(
                call, attempt, upstream, extra
            )
        except (UpstreamUnreachableError, UpstreamBrokenError) as error:
            out_s = balancer.eject(upstream.name)
            log.bind(
                request=call.request_id,
                upstream=upstream.name,
                out_ms=round(out_s * 1_000),
                may_have_run=attempt.may_have_run,
            ).warning("left alone: {}", error)
            if isinstance(error, UpstreamBrokenError):
                self._tools.crash_guard.check_broken_call(
                    call, upstream, had_output=False
                )
            return give_up(attempt, "engine gave no answer")
        if reply.meaning == "not_executed":
            reply.connection.close()
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
        started: _Started,
        job: Job,
        responder: Responder,
    ) -> str:
        reply = started.reply
        generation = Generation(
            self._tools, job, responder, started.holding, started.backup
        )
        self._running.add(generation)
        if self._has_left(reply.upstream):
            generation.leave()  # the notice came before the first event
        try:
            if not reply.is_success:
                if reply.head.status != TIMED_OUT:
                    self._tools.balancer.record_failure(reply.upstream.name)
                return await self._pass_failure(reply, responder)
            self._tools.balancer.record_success(reply.upstream.name)
            outcome = await generation.relay(reply)
            course = generation.course
            log.bind(
                request=job.request_id,
                upstream=started.holding.upstream.name,
                first_ms=course.first_ms,
                gap_ms=course.gap_ms,
                moves=course.moves,
                events=course.events,
                prompt_tokens=job.estimate.prompt_tokens,
                output_tokens=job.estimate.output_tokens,
            ).info("stream: {}", outcome)
            return outcome
        finally:
            self._running.discard(generation)
            started.holding.release()
            started.backup.release()

    async def _pass_failure(self, reply: Reply, responder: Responder) -> str:
        """Pass on an answer that is no stream, as the engine gave it."""
        try:
            body = await self._tools.exchange.read_whole(
                reply, MOST_FAILURE_BYTES
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

    def in_use(self) -> list[Upstream]:
        """Return the engines that run generations of this host, as known."""
        names = {g.upstream.name for g in self._running if g.upstream}
        found = [self._upstreams.find(name) for name in names]
        return [upstream for upstream in found if upstream is not None]

    def _look(self) -> None:
        """Take generations off engines that leave or are no longer listed."""
        for generation in self._running:
            upstream = generation.upstream
            if upstream is not None and self._has_left(upstream):
                generation.leave()

    def _has_left(self, upstream: Upstream) -> bool:
        known = self._upstreams.find(upstream.name)
        return known is None or known.state == "leaving"
