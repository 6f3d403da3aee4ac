"""Retries of one request: how often it may be sent, and from which budget."""

from __future__ import annotations

from loguru import logger

from balsamlift.relay._attempt import Attempt
from balsamlift.relay._request import Call
from balsamlift.relay._retry_budget import RetryBudget

log = logger.bind(part="calls")


def max_sends(call: Call) -> int:
    """Return how often this host may send a call that may have run."""
    origin = call.request.origin
    sends_before = origin.sends if origin is not None else 0
    return call.route.most_attempts - sends_before


def may_send_again(call: Call, attempt: Attempt) -> bool:
    """Return whether the route lets a call be sent to another upstream."""
    if not attempt.may_send:
        return False
    return not attempt.may_have_run or attempt.sends < max_sends(call)


def spend_retry(call: Call, attempt: Attempt, budget: RetryBudget) -> bool:
    """Charge a retry to the budget of the service, if it allows one."""
    is_allowed = budget.spend(call.service)
    log.bind(
        request=call.request_id,
        sends=attempt.sends,
        may_have_run=attempt.may_have_run,
    ).info(
        "retrying on another upstream" if is_allowed else "retry budget spent"
    )
    return is_allowed
