"""A host that cannot claim a key says no more than it knows."""

import asyncio
from types import SimpleNamespace

import pytest

from balsamlift.clock import SystemClock
from balsamlift.exceptions import KeyTooOldError, RefusedError
from balsamlift.requests import Home, RequestBody, new_unhomed_key
from balsamlift.requests._claimed import ClaimedRequests


class NoClaims:
    """Presets that raise instead of claiming."""

    def __init__(self, error):
        self.error = error

    async def claim(self, key):
        raise self.error


class StubRunner:
    """Find terms and note outcomes; run nothing."""

    def __init__(self):
        self.kept = set()

    def find_terms(self, body):
        return None

    def finish(self, execution, outcome):
        execution.finish(outcome, 0.0)


async def outcome_of(error, **fields):
    parts = SimpleNamespace(presets=NoClaims(error), clock=SystemClock())
    claimed = ClaimedRequests(parts, Home("h", "1"), StubRunner(), None)
    key = new_unhomed_key(SystemClock().now())
    body = RequestBody(key=key, workspace="w", kind="refund", **fields)
    execution = claimed.submit(body)
    await execution.task
    return execution.outcome


@pytest.mark.parametrize(
    ("error", "fields", "told"),
    [
        # Another host may have taken an earlier attempt at the key.
        (RefusedError("log_down", 800), {}, "unknown"),
        (RefusedError("log_down", 800), {"first_attempt": True}, "refused"),
        (KeyTooOldError("k"), {"first_attempt": True}, "unknown"),
    ],
)
def test_only_a_first_attempt_is_refused(error, fields, told):
    outcome = asyncio.run(outcome_of(error, **fields))
    assert outcome.outcome == told
    if isinstance(error, RefusedError):
        assert outcome.retry_after_ms == 800


def test_attempts_at_one_request_are_the_same_request():
    key = new_unhomed_key(SystemClock().now())
    first, again = (
        RequestBody(key=key, workspace="w", kind="k", first_attempt=flag)
        for flag in (True, False)
    )
    assert first.digest() == again.digest()
