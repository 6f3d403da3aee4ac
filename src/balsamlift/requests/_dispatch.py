"""Dispatch state of one admitted request, and the choice of its upstream."""

from __future__ import annotations

import random

import attrs

from balsamlift.exceptions import BalsamliftError, RefusedError
from balsamlift.peers import Upstream
from balsamlift.placement import Ticket
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._execution import Execution
from balsamlift.requests._messages import RequestBody
from balsamlift.streams import REFUSED, Outcome

RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 1.0
DEFAULT_RETRY_AFTER_MS = 1_000  # if the refusal gives no retry time


class NotRunError(BalsamliftError):
    """Raise when the request certainly did not run on this upstream."""

    def __init__(self, reason: str, retry_after_ms: int = 0) -> None:
        """Store the reason and when to retry, 0 if unknown."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class ExecutionLostError(BalsamliftError):
    """Raise when the request ran, or may have run, but cannot be followed.

    `ended` states that it is certainly no longer running.
    """

    def __init__(self, reason: str, *, ended: bool) -> None:
        """Store the reason and whether it has ended."""
        super().__init__(reason)
        self.reason = reason
        self.ended = ended


@attrs.define(eq=False)
class Dispatch:
    """Hold one admitted request, its limits and the state of its dispatch."""

    dependencies: Dependencies
    execution: Execution
    body: RequestBody
    ticket: Ticket
    model: str  # that the pool should run; "" if the preset names none
    idempotent: bool
    max_tokens: int
    priority: int
    deadline_s: float  # on the monotonic clock
    excluded: set[str] = attrs.field(factory=set)
    lost: bool = False  # whether it ran, or may have, on a lost upstream
    wait_deadline_s: float | None = None  # for an upstream; None: not waiting
    refusal: NotRunError | None = None  # the last one from an upstream

    def mark_lost(self, upstream: Upstream) -> None:
        """Record that it ran, or may have, on this upstream and is lost."""
        self.lost = True
        self.excluded.add(upstream.name)
        self.wait_deadline_s = None
        self.refusal = None

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_s - self.dependencies.clock.monotonic()

    def record(self, kind: str, **detail: str | int | float) -> None:
        """Record an event of this request on the timeline."""
        self.dependencies.timeline.record(
            kind, request=self.execution.key, **detail
        )


async def choose_upstream(dispatch: Dispatch) -> Upstream | Outcome:
    """Return the upstream to try next, or a refusal after the wait limit.

    An admitted request waits for an upstream for at most the preset's queue
    wait. Refusals by upstreams do not extend the wait.
    """
    dependencies = dispatch.dependencies
    if dispatch.wait_deadline_s is None:
        now_s = dependencies.clock.monotonic()
        dispatch.wait_deadline_s = now_s + _max_wait_s(dispatch)
    if dispatch.excluded and not dependencies.placement.may_retry():
        await dependencies.clock.sleep(MAX_RETRY_PAUSE_S)
    if (
        dispatch.refusal
        and dependencies.clock.monotonic() > dispatch.wait_deadline_s
    ):
        return _refused_outcome(dispatch.refusal)
    pause_s = RETRY_PAUSE_S
    while True:
        try:
            excluded = frozenset(dispatch.excluded)
            chosen = dependencies.placement.choose(dispatch.ticket, excluded)
            assert isinstance(chosen, Upstream)
            return chosen
        except RefusedError as error:
            if (
                dependencies.clock.monotonic() + pause_s
                > dispatch.wait_deadline_s
            ):
                return _refused_outcome(error)
        dispatch.excluded.clear()
        await dependencies.clock.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)


def _refused_outcome(error: RefusedError | NotRunError) -> Outcome:
    return Outcome(
        outcome=REFUSED,
        reason=error.reason,
        retry_after_ms=error.retry_after_ms or DEFAULT_RETRY_AFTER_MS,
    )


def _max_wait_s(dispatch: Dispatch) -> float:
    in_force = dispatch.dependencies.presets.in_force()
    remaining_s = dispatch.remaining_s()
    if in_force is None:
        return remaining_s
    return min(remaining_s, in_force.preset.policy.queue_wait_ms / 1_000)


def record_dispatch(dispatch: Dispatch, upstream: Upstream) -> None:
    """Record that from now on this upstream may be running the request."""
    dispatch.execution.dispatched = True
    dispatch.record("dispatched", upstream=upstream.name)


def record_not_run(
    dispatch: Dispatch, upstream: Upstream, error: NotRunError
) -> None:
    """Report to placement and peers that this upstream refused the request."""
    dependencies = dispatch.dependencies
    dispatch.excluded.add(upstream.name)
    dispatch.refusal = error
    dispatch.execution.dispatched = dispatch.lost
    dependencies.placement.handle_refusal(
        dispatch.ticket, upstream, error.reason, error.retry_after_ms
    )
    if error.reason == "draining":
        dependencies.upstreams.mark(upstream.name, "leaving", "refusal")
    elif error.reason == "unreachable":
        dependencies.upstreams.mark(upstream.name, "dead", "connect")
    dispatch.record("not_run", upstream=upstream.name, reason=error.reason)
    dependencies.metrics.count(f"requests.not_run.{error.reason}")
