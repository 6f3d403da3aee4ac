"""The relay's own answers to calls that it gives up on."""

from __future__ import annotations

from balsamlift.relay._attempt import Attempt
from balsamlift.relay._request import Call, Refusal

# A full upstream has room again after some of its calls.
RETRY_MS = 100
# Where there is no upstream, the list is out of reach or a replacement is on
# its way.
RETRY_NO_UPSTREAM_MS = 2_000
# Engines have room again as generations end.
RETRY_NO_ROOM_MS = 4_000
# Callers wait for no more than a third of the time that they have left.
RETRY_PART = 0.3


def no_upstream(attempt: Attempt, call: Call, now_s: float) -> Refusal:
    """Return the truth about a call that no upstream may take now."""
    wait_ms = _within(call, now_s, RETRY_NO_UPSTREAM_MS)
    return give_up(attempt, "no upstream", wait_ms)


def no_room(attempt: Attempt, call: Call, now_s: float) -> Refusal:
    """Return the truth about a generation that found no engine with room."""
    wait_ms = _within(call, now_s, RETRY_NO_ROOM_MS)
    return give_up(attempt, "no room", wait_ms)


def _within(call: Call, now_s: float, wait_ms: int) -> int:
    """Return a wait that leaves the caller time for another try."""
    left_ms = max(call.deadline_s - now_s, 0.0) * 1_000
    return int(min(wait_ms, left_ms * RETRY_PART))


def give_up(
    attempt: Attempt, reason: str, retry_after_ms: int = RETRY_MS
) -> Refusal:
    """Return the truth about a call that got no answer from upstream."""
    if attempt.certainly_not_run:
        return Refusal(
            status=503, reason=reason, retry_after_ms=retry_after_ms
        )
    return Refusal(status=502, reason=reason)


def timed_out(attempt: Attempt) -> Refusal:
    """Return the truth about a call whose time is over."""
    if attempt.certainly_not_run:
        return Refusal(
            status=503, reason="timed out waiting", retry_after_ms=0
        )
    return Refusal(status=504, reason="timed out")
