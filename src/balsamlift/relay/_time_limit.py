"""End a call at its time limit, with a true answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs

from balsamlift.relay._attempt import Attempt
from balsamlift.relay._refusals import timed_out
from balsamlift.relay._request import Call, Outcome, Refusal, Responder
from balsamlift.relay.shutdown import RunningCall, Shutdown

_Result = TypeVar("_Result")


@attrs.frozen(kw_only=True)
class CallLimits:
    """What limits the time of one call."""

    call: Call
    attempt: Attempt
    shutdown: Shutdown
    longest_s: Callable[[], float | None]  # of calls like it; None: unknown
    least_s: float = 0.0  # that it takes for its size


async def end_in_time(
    limits: CallLimits,
    responder: Responder,
    result: Awaitable[_Result | Outcome | Refusal],
) -> _Result | Outcome:
    """Await a result until the call's time, or that of the host, is over.

    A refusal, also for that reason, is sent; a response that has begun is
    aborted.
    """
    call, attempt = limits.call, limits.attempt
    timeout = asyncio.timeout_at(call.timeout_at_s)
    running = RunningCall(
        call=call,
        attempt=attempt,
        timeout=timeout,
        longest_s=limits.longest_s,
        least_s=limits.least_s,
    )
    try:
        async with timeout:
            with limits.shutdown.watch(running):
                ended = await result
    except TimeoutError:
        refusal = limits.shutdown.end(running)
        if responder.is_started:
            responder.abort()
            text = refusal.reason if refusal else "timed out"
            return Outcome(f"{text} midway", sent_to=attempt.sent_to)
        ended = refusal or timed_out(attempt)
    if isinstance(ended, Refusal):
        responder.refuse(ended)
        return Outcome(ended.reason, sent_to=attempt.sent_to)
    return ended
