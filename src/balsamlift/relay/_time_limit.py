"""End a call at its time limit, with a true answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from balsamlift.relay._attempt import Attempt
from balsamlift.relay._refusals import timed_out
from balsamlift.relay._request import Call, Outcome, Refusal, Responder

_Result = TypeVar("_Result")


async def end_in_time(
    call: Call,
    attempt: Attempt,
    responder: Responder,
    result: Awaitable[_Result | Outcome | Refusal],
) -> _Result | Outcome:
    """Await a result until the call's time is over.

    A refusal, also for that reason, is sent; a response that has begun is
    aborted.
    """
    try:
        async with asyncio.timeout_at(call.timeout_at_s):
            ended = await result
    except TimeoutError:
        if responder.is_started:
            responder.abort()
            return Outcome("timed out midway", sent_to=attempt.sent_to)
        ended = timed_out(attempt)
    if isinstance(ended, Refusal):
        responder.refuse(ended)
        return Outcome(ended.reason, sent_to=attempt.sent_to)
    return ended
