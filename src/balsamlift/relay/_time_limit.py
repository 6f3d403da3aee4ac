"""End a call at its time limit, with a true answer."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from balsamlift.relay._refusals import timed_out
from balsamlift.relay._request import Outcome, Refusal, Responder
from balsamlift.relay.shutdown import RunningCall, Shutdown

_Result = TypeVar("_Result")


async def end_in_time(
    shutdown: Shutdown,
    running: RunningCall,
    responder: Responder,
    result: Awaitable[_Result | Outcome | Refusal],
) -> _Result | Outcome:
    """Await a result until the call's time, or that of the host, is over.

    A refusal, also for that reason, is sent; a response that has begun is
    aborted.
    """
    attempt = running.attempt
    try:
        async with running.timeout:
            with shutdown.watch(running):
                ended = await result
    except TimeoutError:
        refusal = shutdown.end(running)
        if responder.is_started:
            responder.abort()
            text = refusal.reason if refusal else "timed out"
            return Outcome(f"{text} midway", sent_to=attempt.sent_to)
        ended = refusal or timed_out(attempt)
    if isinstance(ended, Refusal):
        responder.refuse(ended)
        return Outcome(ended.reason, sent_to=attempt.sent_to)
    return ended
