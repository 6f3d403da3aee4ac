"""Refusals that the relay returns for calls that it gives up on."""

from __future__ import annotations

import zlib

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift.placement import limit_retry_ms
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._headers import retry_after_ms
from balsamlift.relay._request import Call, Refusal

# By these, callers know that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A full upstream has capacity again once some of its calls have ended.
RETRY_AFTER_MS = 100
# Without an upstream, either the list of upstreams cannot be read or a
# replacement is starting.
RETRY_NO_UPSTREAM_MS = 2_000
# Engines have free memory again as generations end.
RETRY_NO_MEMORY_MS = 4_000
# The result of a trial is known once its response has ended, or two seconds
# after its first event.
RETRY_SUSPECTED_MS = 1_000
# Callers refused for an upstream's pause return within this time after it.
RETURN_SPREAD_MS = 1_000


def no_upstream(attempt: Attempt, call: Call, now_s: float) -> Refusal:
    """Return the refusal of a call that no upstream can take now."""
    wait_ms = _limit_to_deadline(call, now_s, RETRY_NO_UPSTREAM_MS)
    return give_up(attempt, "no upstream", wait_ms)


def no_memory(
    attempt: Attempt,
    call: Call,
    now_s: float,
    retry_after_ms: int | None = None,
) -> Refusal:
    """Return the refusal of a generation that no engine has memory for.

    `retry_after_ms` is None if it is unknown when there will be memory.
    """
    wait_ms = retry_after_ms
    if wait_ms is None:
        wait_ms = _limit_to_deadline(call, now_s, RETRY_NO_MEMORY_MS)
    return give_up(attempt, "no room", wait_ms)


def rate_limited(
    attempt: Attempt, call: Call, now_s: float, wait_s: float
) -> Refusal:
    """Return the refusal of a call beyond the rate limits of upstreams.

    Callers whose time is too short for the wait return spread over the second
    half of the time that they can wait.
    """
    wait_ms = _wait_in_time(call, now_s, int(wait_s * 1_000))
    return give_up(attempt, "rate limited", wait_ms)


def crowded(attempt: Attempt, call: Call, now_s: float) -> Refusal:
    """Return the refusal of a call beyond what brittle upstreams may get."""
    return _return_soon(attempt, call, now_s, "upstreams brittle")


def silent(attempt: Attempt, call: Call, now_s: float) -> Refusal:
    """Return the refusal of a call whose upstreams may all have stopped."""
    return _return_soon(attempt, call, now_s, "upstreams silent")


def _return_soon(
    attempt: Attempt, call: Call, now_s: float, reason: str
) -> Refusal:
    """Return a refusal whose callers come back spread over a second."""
    wait_ms = RETRY_AFTER_MS + return_fraction(call) * RETURN_SPREAD_MS
    return give_up(attempt, reason, _wait_in_time(call, now_s, int(wait_ms)))


def pausing(
    attempt: Attempt, call: Call, now_s: float, wait_s: float
) -> Refusal:
    """Return the refusal of a call whose upstreams asked for no requests.

    Callers return spread over some time after the end.
    """
    spread_ms = return_fraction(call) * RETURN_SPREAD_MS
    wait_ms = _wait_in_time(call, now_s, int(wait_s * 1_000 + spread_ms))
    return give_up(attempt, "upstreams asked for no requests", wait_ms)


def suspected(attempt: Attempt, call: Call, now_s: float) -> Refusal:
    """Return the refusal of a call that may crash its upstream.

    Another one like it is tried meanwhile.
    """
    wait_ms = RETRY_SUSPECTED_MS + return_fraction(call) * RETURN_SPREAD_MS
    return give_up(
        attempt,
        "prompt suspected to crash upstreams",
        _wait_in_time(call, now_s, int(wait_ms)),
    )


def _wait_in_time(call: Call, now_s: float, wanted_ms: int) -> int:
    """Return a wait; one limited by the deadline is spread over its half."""
    wait_ms = _limit_to_deadline(call, now_s, wanted_ms)
    if wait_ms < wanted_ms:
        wait_ms = int(wait_ms * (1 + return_fraction(call)) / 2)
    return wait_ms


def return_fraction(call: Call) -> float:
    """Return a fraction that differs between the calls of one moment."""
    return zlib.crc32(call.request_id.encode()) / 0xFFFF_FFFF


def _limit_to_deadline(call: Call, now_s: float, wait_ms: int) -> int:
    """Return a wait that leaves the caller time for another attempt."""
    return limit_retry_ms(wait_ms, (call.deadline_s - now_s) * 1_000)


def give_up(
    attempt: Attempt, reason: str, retry_after_ms: int = RETRY_AFTER_MS
) -> Refusal:
    """Return the refusal of a call that got no response from an upstream.

    The status is 503 (retryable) only if the request cannot have run.
    """
    if attempt.certainly_not_run:
        return Refusal(
            status=503, reason=reason, retry_after_ms=retry_after_ms
        )
    return Refusal(status=502, reason=reason)


def instead_of_failure(
    call: Call, attempt: Attempt, status: int, headers: HTTPHeaders
) -> Refusal | None:
    """Return what to say instead of an upstream's failure, if anything.

    An upstream may fail with a status that says "not run" while it runs a
    request. Callers of idempotent requests lose nothing by that.
    """
    if status not in NOT_RUN_STATUSES or attempt.certainly_not_run:
        return None
    if call.route.kind == "idempotent":
        return None
    return Refusal(
        status=502,
        reason=f"upstream answered {status}, but may have run it",
        retry_after_ms=retry_after_ms(headers),
    )


def host_leaving(call: Call, attempt: Attempt) -> Refusal:
    """Return the final response to a call that its host cannot complete.

    Any other host may take it at once, if it has not run.
    """
    refusal = give_up(attempt, "host is leaving", 0)
    is_forwarded = call.request.origin is not None
    return attrs.evolve(
        refusal, is_unreached=is_forwarded and not attempt.sends
    )


def timed_out(attempt: Attempt) -> Refusal:
    """Return the refusal of a call that has exceeded its time limit.

    The status is 503 (retryable) only if the request cannot have run.
    """
    if attempt.certainly_not_run:
        return Refusal(
            status=503, reason="timed out waiting", retry_after_ms=0
        )
    return Refusal(status=504, reason="timed out")
