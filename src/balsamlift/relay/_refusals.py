"""The relay's own answers to calls that it gives up on."""

from __future__ import annotations

from balsamlift.relay._attempt import Attempt
from balsamlift.relay._request import Refusal

# Upstreams that leave are replaced, and lists of them are read, within
# fractions of a second: a caller that comes back earlier finds the same.
RETRY_MS = 100


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
