"""Unary calls: one request and one buffered response, such as a lookup."""

from __future__ import annotations

import asyncio

import attrs
from loguru import logger

from balsamlift.clients import drop
from balsamlift.exceptions import (
    AnswerMemoryError,
    UpstreamBrokenError,
    UpstreamRestrictedError,
    UpstreamUnreachableError,
)
from balsamlift.peers import Upstream
from balsamlift.relay._admission import Admission
from balsamlift.relay._attempt import MAX_UNREACHABLE_UPSTREAMS, Attempt
from balsamlift.relay._attempt_timeout import ending_for_another
from balsamlift.relay._balance import Balancer
from balsamlift.relay._exchange import SILENCE_S, Exchange, Reply
from balsamlift.relay._refusals import (
    crowded,
    give_up,
    instead_of_failure,
    no_upstream,
    pausing,
    rate_limited,
    silent,
)
from balsamlift.relay._request import Call, Outcome, Refusal, Responder
from balsamlift.relay._response_limits import MAX_RESPONSE_BYTES
from balsamlift.relay._retries import (
    max_sends,
    may_send_again,
    spend_retry,
)
from balsamlift.relay._retry_budget import RetryBudget
from balsamlift.relay._time_limit import end_in_time
from balsamlift.relay._upstream_chooser import (
    Crowded,
    Pausing,
    RateLimited,
    Silent,
    UpstreamChooser,
)
from balsamlift.relay._whole_answer import pass_on_whole
from balsamlift.relay.crashes import CrashGuard
from balsamlift.relay.forwarding import Forwarder, Unreached
from balsamlift.relay.shutdown import CallDurations, RunningCall, Shutdown

log = logger.bind(part="calls")

# Fraction of the remaining time given to an attempt that may be retried, so
# that an upstream that hangs leaves time for another.
ATTEMPT_TIME_FRACTION = 0.4


@attrs.frozen
class _BufferedReply:
    """A complete response of an upstream, with its body in memory."""

    reply: Reply
    body: bytearray


class UnaryCalls:
    """Runs unary calls, and retries those that may be sent again."""

    def __init__(
        self,
        exchange: Exchange,
        balancer: Balancer,
        chooser: UpstreamChooser,
        admission: Admission,
        retries: RetryBudget,
        crash_guard: CrashGuard,
        forwarder: Forwarder,
        shutdown: Shutdown,
        durations: CallDurations,
    ) -> None:
        """Create a runner for upstreams that `balancer` selects."""
        self._exchange = exchange
        self._balancer = balancer
        self._chooser = chooser
        self._admission = admission
        self._retries = retries
        self._crash_guard = crash_guard
        self._forwarder = forwarder
        self._shutdown = shutdown
        self._durations = durations

    async def run(
        self, call: Call, attempt: Attempt, responder: Responder
    ) -> Outcome:
        """Respond to the caller and return the outcome for the log."""
        running = RunningCall(
            call=call,
            attempt=attempt,
            longest_s=lambda: self._durations.longest_s(call.duration_key),
        )
        result = await end_in_time(
            self._shutdown,
            running,
            responder,
            self._fetch(call, attempt, responder),
        )
        if isinstance(result, Outcome):
            return result
        reply = result.reply
        upstream = reply.upstream.name
        text = await pass_on_whole(
            reply.head, result.body, responder, call, upstream
        )
        return Outcome(
            text, upstream, attempt.sent_to, is_success=reply.is_success
        )

    async def _fetch(
        self, call: Call, attempt: Attempt, responder: Responder
    ) -> _BufferedReply | Refusal | Outcome:
        """Return the reply of an upstream, or let another host respond."""
        result = await self._fetch_reply(call, attempt)
        if not isinstance(result, Unreached):
            return result
        return await self._forwarder.run(call, attempt, responder, result)

    async def _fetch_reply(
        self, call: Call, attempt: Attempt
    ) -> _BufferedReply | Refusal | Unreached:
        tried: set[str] = set()
        unreachable = 0
        while True:
            refused = self._shutdown.refusal(attempt)
            refused = refused or self._crash_guard.refusal(call, attempt)
            if refused is not None:
                return refused
            unreached = self._forwarder.unreached(call, attempt)
            tried |= unreached
            is_unreached = bool(unreached or unreachable)
            if is_unreached and self._forwarder.is_cut_off(call, tried):
                return self._give_up_unreached(call, attempt)
            upstream = await self._chooser.choose(call, tried)
            now_s = asyncio.get_running_loop().time()
            if upstream is None:
                return no_upstream(attempt, call, now_s)
            if isinstance(upstream, RateLimited):
                return rate_limited(
                    attempt, call, now_s, upstream.retry_after_s
                )
            if isinstance(upstream, Pausing):
                return pausing(attempt, call, now_s, upstream.retry_after_s)
            if isinstance(upstream, Crowded):
                refusal = crowded(attempt, call, now_s)
                return Unreached(refusal) if upstream.is_shut_out else refusal
            if isinstance(upstream, Silent):
                return silent(attempt, call, now_s)
            if not self._admission.still_allows(call):
                return give_up(attempt, "configuration changed", 0)
            tried.add(upstream.name)
            try:
                buffered = await self._send_once(
                    call, attempt, upstream, tried
                )
            except UpstreamUnreachableError:
                unreachable += 1
                if unreachable >= MAX_UNREACHABLE_UPSTREAMS:
                    return Unreached(give_up(attempt, "upstreams unreachable"))
                continue
            except AnswerMemoryError as error:
                return give_up(attempt, error.message)
            except UpstreamBrokenError as error:
                refusal = give_up(attempt, error.message)
            else:
                if buffered.reply.disposition == "answer":
                    return buffered
                if self._may_retry(call, attempt):
                    continue
                if buffered.reply.disposition == "not_executed":
                    return give_up(attempt, "upstreams full")
                return _own_failure(call, attempt, buffered)
            if not self._may_retry(call, attempt):
                return refusal

    def _give_up_unreached(self, call: Call, attempt: Attempt) -> Unreached:
        now_s = asyncio.get_running_loop().time()
        return Unreached(no_upstream(attempt, call, now_s))

    async def _send_once(
        self,
        call: Call,
        attempt: Attempt,
        upstream: Upstream,
        tried: set[str],
    ) -> _BufferedReply:
        loop = asyncio.get_running_loop()
        attempt_deadline_s = None
        if attempt.is_idempotent and attempt.sends + 1 < max_sends(call):
            remaining_s = call.timeout_at_s - loop.time()
            attempt_deadline_s = (
                loop.time() + remaining_s * ATTEMPT_TIME_FRACTION
            )
        try:
            with self._balancer.count_in_flight(upstream.name, 1):
                if self._balancer.is_silent(upstream.name):
                    self._balancer.publish()
                async with asyncio.timeout(None) as limit:
                    with ending_for_another(
                        limit,
                        attempt_deadline_s,
                        lambda: self._has_another(call, tried),
                    ):
                        reply = await self._exchange.send(
                            call, attempt, upstream
                        )
                        body = await self._exchange.read_full_body(
                            reply,
                            MAX_RESPONSE_BYTES,
                            call.request.memory,
                        )
        except asyncio.CancelledError:  # its time is over, or its caller left
            if self._was_silent(attempt, upstream):
                self._back_off(call, attempt, upstream, "silent to the end")
            raise
        except UpstreamRestrictedError:
            raise
        except (UpstreamUnreachableError, UpstreamBrokenError) as error:
            self._back_off(call, attempt, upstream, str(error))
            if isinstance(error, UpstreamBrokenError):
                self._crash_guard.check_broken_call(
                    call, upstream, had_output=False
                )
            raise
        except TimeoutError as error:
            if attempt_deadline_s is None or loop.time() >= call.timeout_at_s:
                raise
            self._back_off(call, attempt, upstream, "no answer yet")
            raise UpstreamBrokenError(
                upstream.name, "no answer yet"
            ) from error
        finally:
            self._chooser.release_place(call.service)
        if reply.disposition != "not_executed":
            self._crash_guard.record_completed(call)
        if reply.disposition == "answer":
            self._balancer.record_success(upstream.name)
        elif reply.disposition == "not_executed":
            self._balancer.record_refusal(upstream.name)
        else:
            self._balancer.record_error(upstream.name)
        return _BufferedReply(reply, body)

    def _has_another(self, call: Call, tried: set[str]) -> bool:
        """Return whether to end an attempt, so that another one begins."""
        if self._balancer.stalls.is_just_over():  # it may be answered
            return False
        if not self._retries.has_left(call.service):
            return False
        return self._forwarder.is_unreached(
            call.service
        ) or self._balancer.has_sound(call.scope, tried)

    def _was_silent(self, attempt: Attempt, upstream: Upstream) -> bool:
        """Return whether an upstream has sent nothing since the last send."""
        if attempt.sent_s is None or attempt.sent_to[-1] != upstream.name:
            return False
        return self._balancer.unanswered.was_silent_for(
            upstream.name, attempt.sent_s, SILENCE_S
        )

    def _back_off(
        self, call: Call, attempt: Attempt, upstream: Upstream, cause: str
    ) -> None:
        """Take the upstream out of selection for a while and log it."""
        backoff_s = self._balancer.eject(upstream.name)
        log.bind(
            request=call.request_id,
            upstream=upstream.name,
            out_ms=round(backoff_s * 1_000),
            may_have_run=attempt.may_have_run,
        ).warning("ejected: {}", cause)

    def _may_retry(self, call: Call, attempt: Attempt) -> bool:
        """Return whether to try another upstream.

        A permitted retry is charged to the retry budget of the service.
        """
        return may_send_again(call, attempt) and spend_retry(
            call, attempt, self._retries
        )


def _own_failure(
    call: Call, attempt: Attempt, buffered: _BufferedReply
) -> _BufferedReply | Refusal:
    """Return an upstream's own failure, or what to say instead."""
    head = buffered.reply.head
    refusal = instead_of_failure(call, attempt, head.status, head.headers)
    if refusal is None:
        return buffered
    drop(buffered.body)
    return refusal
