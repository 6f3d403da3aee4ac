"""Check the outcomes of callers against what the stand-ins executed."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from collections.abc import Iterable

from balsamlift.testing._tokens import token_text
from scenarios.attempts import digest_tokens
from scenarios.callers import Call
from scenarios.deployment import Deployment
from scenarios.presets import MODEL, VERSION


def check_tokens(deployment: Deployment, call: Call) -> None:
    """Check that the tokens are an ordered prefix of one generation."""
    if not call.tokens:
        return
    salt = call.generation
    if deployment.plan.engines.deterministic:
        salt = f"{call.request.seed}:{MODEL}:{VERSION}"
    expected = [token_text(salt, i) for i in range(len(call.tokens))]
    assert call.tokens == expected, (
        f"{call.kind}: tokens are not from one generation"
    )


def check_whole(deployment: Deployment, call: Call) -> None:
    """Check that an answer is complete and belongs to this request."""
    assert call.outcome is not None
    assert call.reported_outcome == "whole", call.outcome
    if call.kind in ("lookup", "refund"):
        check_result(call.outcome.result, call.keys, call.request.payload)
        return
    check_tokens(deployment, call)
    assert len(call.tokens) == call.length
    assert call.outcome.tokens == call.length
    assert call.outcome.digest == digest_tokens(call.tokens)


def check_result(result: object, keys: list[str], payload: object) -> None:
    """Check that a service computed this result from this payload."""
    text = json.dumps(payload, separators=(",", ":"), sort_keys=True)
    assert isinstance(result, dict)
    assert result["key"] in keys
    digest = hashlib.sha256(text.encode()).hexdigest()
    assert result["payload_digest"] == digest


def count_executions(executions: Counter[str], call: Call) -> int:
    """Return how often a call was executed, under any of its keys."""
    return sum(executions[key] for key in call.keys)


def check_refused_not_run(
    executions: Counter[str], calls: Iterable[Call]
) -> None:
    """Check that no refused call was executed."""
    for call in calls:
        if call.reported_outcome == "refused":
            assert count_executions(executions, call) == 0, call


def check_at_most_once(
    executions: Counter[str], calls: Iterable[Call]
) -> None:
    """Check that no non-idempotent call was executed twice.

    A complete answer also requires exactly one execution.
    """
    for call in calls:
        if call.kind in ("tag", "refund"):
            runs = count_executions(executions, call)
            assert runs <= 1, (runs, call)
            assert call.reported_outcome != "whole" or runs == 1, (runs, call)
