"""A failed claim is reported as refused only if the key cannot have run."""

import asyncio
from types import SimpleNamespace

import pytest

from balsamlift.clock import SystemClock
from balsamlift.exceptions import KeyTooOldError, RefusedError
from balsamlift.requests import Home, RequestBody, new_unhomed_key
from balsamlift.requests._claimed import ClaimedRequests


class FailingClaims:
    """Presets whose claims fail with a given error."""

    def __init__(self, error):
        self.error = error

    async def claim(self, key):
        raise self.error


class StubRunner:
    """Resolve no settings, record outcomes and run nothing."""

    def __init__(self):
        self.registry = set()

    def resolve_settings(self, body):
        return None

    def finish(self, execution, outcome):
        execution.finish(outcome, 0.0)


async def outcome_of(error, **fields):
    parts = SimpleNamespace(presets=FailingClaims(error), clock=SystemClock())
    claimed = ClaimedRequests(parts, Home("h", "1"), StubRunner(), None)
    key = new_unhomed_key(SystemClock().now())
    body = RequestBody(key=key, workspace="w", kind="refund", **fields)
    execution = claimed.submit(body)
    await execution.task
    return execution.outcome


@pytest.mark.parametrize(
    ("error", "fields", "expected"),
    [
        # Another host may have run the request after an earlier attempt.
        (RefusedError("log_down", 800), {}, "unknown"),
        (RefusedError("log_down", 800), {"first_attempt": True}, "refused"),
        (KeyTooOldError("k"), {"first_attempt": True}, "unknown"),
    ],
)
def test_only_a_first_attempt_is_reported_as_refused(error, fields, expected):
    outcome = asyncio.run(outcome_of(error, **fields))
    assert outcome.outcome == expected
    if isinstance(error, RefusedError):
        assert outcome.retry_after_ms == 800


def test_the_digest_ignores_first_attempt():
    key = new_unhomed_key(SystemClock().now())
    first, retry = (
        RequestBody(key=key, workspace="w", kind="k", first_attempt=flag)
        for flag in (True, False)
    )
    assert first.digest() == retry.digest()
