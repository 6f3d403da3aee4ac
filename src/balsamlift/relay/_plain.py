"""Calls to services that answer at once: lookups and the like."""

from __future__ import annotations

import asyncio

import attrs
from loguru import logger

from balsamlift.exceptions import (
    UpstreamBrokenError,
    UpstreamUnreachableError,
)
from balsamlift.peers import Upstream
from balsamlift.relay._admission import Admission
from balsamlift.relay._attempt import MOST_UNREACHABLE, Attempt
from balsamlift.relay._balance import Balancer
from balsamlift.relay._crash_guard import CRASHING_REQUEST, CrashGuard
from balsamlift.relay._exchange import Exchange, Reply
from balsamlift.relay._headers import caller_headers
from balsamlift.relay._refusals import (
    give_up,
    no_upstream,
    timed_out,
)
from balsamlift.relay._request import Call, Outcome, Refusal, Responder
from balsamlift.relay._retry_budget import RetryBudget

log = logger.bind(part="calls")

MOST_ANSWER_BYTES = 4_194_304  # held until whole; a lookup has 1 KB
# A try that may be repeated gets this part of the time left, so that an
# upstream that hangs leaves time for another.
TRY_PART = 0.4


@attrs.frozen
class _Answer:
    """Hold a whole answer of an upstream."""

    reply: Reply
    body: bytes


class PlainCalls:
    """Run calls that fit in memory, with retries where they may be."""

    def __init__(
        self,
        exchange: Exchange,
        balancer: Balancer,
        admission: Admission,
        retries: RetryBudget,
        crash_guard: CrashGuard,
    ) -> None:
        """Send through `exchange` to upstreams that `balancer` picks."""
        self._exchange = exchange
        self._balancer = balancer
        self._admission = admission
        self._retries = retries
        self._crash_guard = crash_guard

    async def run(self, call: Call, responder: Responder) -> Outcome:
        """Answer the caller; return the outcome for the log."""
        attempt = Attempt(call.is_idempotent)
        try:
            async with asyncio.timeout_at(call.give_up_s):
                result = await self._answer(call, attempt)
        except TimeoutError:
            result = timed_out(attempt)
        if isinstance(result, Refusal):
            responder.refuse(result)
            return Outcome(result.reason, sends=attempt.sends)
        head = result.reply.head
        headers = caller_headers(head.headers)
        headers["Content-Length"] = str(len(result.body))
        await responder.start(head.status, head.reason, headers)
        if result.body and call.method != "HEAD":
            await responder.write(result.body)
        responder.finish()
        text = f"answered {head.status}"
        return Outcome(text, result.reply.upstream.name, attempt.sends)

    async def _answer(self, call: Call, attempt: Attempt) -> _Answer | Refusal:
        tried: set[str] = set()
        dialled = 0
        while True:
            if self._crash_guard.is_culprit(call):
                return CRASHING_REQUEST
            upstream = self._balancer.choose_upstream(call.scope, tried)
            if upstream is None:
                now_s = asyncio.get_running_loop().time()
                return no_upstream(attempt, call, now_s)
            if not self._admission.still_allows(call):
                return give_up(attempt, "configuration changed", 0)
            tried.add(upstream.name)
            try:
                answer = await self._try(call, attempt, upstream)
            except UpstreamUnreachableError:
                dialled += 1
                if dialled >= MOST_UNREACHABLE:
                    return give_up(attempt, "upstreams unreachable")
                continue
            except UpstreamBrokenError as error:
                refusal = give_up(attempt, error.message)
            else:
                if answer.reply.meaning == "answer":
                    return answer
                if self._may_repeat(call, attempt):
                    continue
                if answer.reply.meaning == "not_executed":
                    return give_up(attempt, "upstreams full")
                return answer  # the upstream's own failure, as it gave it
            if not self._may_repeat(call, attempt):
                return refusal

    async def _try(
        self, call: Call, attempt: Attempt, upstream: Upstream
    ) -> _Answer:
        loop = asyncio.get_running_loop()
        bound_s = None
        if attempt.is_idempotent and attempt.sends + 1 < self._most(call):
            left_s = call.give_up_s - loop.time()
            bound_s = loop.time() + left_s * TRY_PART
        try:
            with self._balancer.count_in_flight(upstream.name, 1):
                async with asyncio.timeout_at(bound_s):
                    reply = await self._exchange.send(call, attempt, upstream)
                    body = await self._exchange.read_whole(
                        reply, MOST_ANSWER_BYTES
                    )
        except (UpstreamUnreachableError, UpstreamBrokenError) as error:
            self._leave_alone(call, attempt, upstream, str(error))
            if isinstance(error, UpstreamBrokenError):
                self._crash_guard.check_broken_call(
                    call, upstream, had_output=False
                )
            raise
        except TimeoutError as error:
            if bound_s is None or loop.time() >= call.give_up_s:
                raise
            self._leave_alone(call, attempt, upstream, "no answer yet")
            raise UpstreamBrokenError(
                upstream.name, "no answer yet"
            ) from error
        if reply.meaning != "not_executed":
            self._crash_guard.record_completed(call)
        if reply.meaning == "answer":
            self._balancer.record_success(upstream.name)
        elif reply.meaning == "not_executed":
            self._balancer.health.record_failure(
                upstream.name
            )  # full, not broken
        else:
            self._balancer.record_failure(upstream.name)
        return _Answer(reply, body)

    def _leave_alone(
        self, call: Call, attempt: Attempt, upstream: Upstream, why: str
    ) -> None:
        """Send nothing there for a while, and log for how long."""
        out_s = self._balancer.eject(upstream.name)
        log.bind(
            request=call.request_id,
            upstream=upstream.name,
            out_ms=round(out_s * 1_000),
            may_have_run=attempt.may_have_run,
        ).warning("left alone: {}", why)

    def _most(self, call: Call) -> int:
        return max(call.route.most_attempts, 1)

    def _may_repeat(self, call: Call, attempt: Attempt) -> bool:
        """Tell whether another upstream may be tried, and pay for it."""
        if not attempt.may_send:
            return False
        if attempt.may_have_run and attempt.sends >= self._most(call):
            return False
        is_allowed = self._retries.spend(call.service)
        log.bind(
            request=call.request_id,
            sends=attempt.sends,
            may_have_run=attempt.may_have_run,
        ).info("tries another" if is_allowed else "retry budget spent")
        return is_allowed
