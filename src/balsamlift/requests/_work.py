"""Dispatch state of one admitted request, and the choice of its upstream."""

from __future__ import annotations

import random

import attrs

from balsamlift.exceptions import BalsamliftError, RefusedError
from balsamlift.peers import Upstream
from balsamlift.placement import Ticket
from balsamlift.requests._execution import Execution
from balsamlift.requests._messages import RequestBody
from balsamlift.requests._parts import Parts
from balsamlift.streams import REFUSED, Outcome

RETRY_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
LEAST_RETRY_MS = 1_000  # if the refusal gives no retry time


class NotRunError(BalsamliftError):
    """Raise when the request certainly did not run on this upstream."""

    def __init__(self, reason: str, retry_after_ms: int = 0) -> None:
        """Store the reason and when to retry, 0 if unknown."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class LostError(BalsamliftError):
    """Raise when the request ran, or may have run, but cannot be followed.

    `ended` states that it is certainly no longer running.
    """

    def __init__(self, reason: str, *, ended: bool) -> None:
        """Store the reason and whether it has ended."""
        super().__init__(reason)
        self.reason = reason
        self.ended = ended


@attrs.define(eq=False)
class Work:
    """Hold one admitted request, its limits and the state of its dispatch."""

    parts: Parts
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
    waits_until_s: float | None = None  # for an upstream; None: not waiting
    refusal: NotRunError | None = None  # the last one from an upstream

    def note_lost(self, upstream: Upstream) -> None:
        """Record that it ran, or may have, on this upstream and is lost."""
        self.lost = True
        self.excluded.add(upstream.name)
        self.waits_until_s = None
        self.refusal = None

    def left_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_s - self.parts.clock.monotonic()

    def record(self, kind: str, **detail: str | int | float) -> None:
        """Record an event of this request on the timeline."""
        self.parts.timeline.record(kind, request=self.execution.key, **detail)


async def next_upstream(work: Work) -> Upstream | Outcome:
    """Return the upstream to try next, or a refusal after the wait limit.

    An admitted request waits for an upstream for at most the preset's queue
    wait. Refusals by upstreams do not extend the wait.
    """
    parts = work.parts
    if work.waits_until_s is None:
        now_s = parts.clock.monotonic()
        work.waits_until_s = now_s + _longest_wait_s(work)
    if work.excluded and not parts.placement.may_retry():
        await parts.clock.sleep(MAX_PAUSE_S)
    if work.refusal and parts.clock.monotonic() > work.waits_until_s:
        return _refused(work.refusal)
    pause_s = RETRY_PAUSE_S
    while True:
        try:
            excluded = frozenset(work.excluded)
            chosen = parts.placement.choose(work.ticket, excluded)
            assert isinstance(chosen, Upstream)
            return chosen
        except RefusedError as error:
            if parts.clock.monotonic() + pause_s > work.waits_until_s:
                return _refused(error)
        work.excluded.clear()
        await parts.clock.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(pause_s * 2, MAX_PAUSE_S)


def _refused(error: RefusedError | NotRunError) -> Outcome:
    return Outcome(
        outcome=REFUSED,
        reason=error.reason,
        retry_after_ms=error.retry_after_ms or LEAST_RETRY_MS,
    )


def _longest_wait_s(work: Work) -> float:
    in_force = work.parts.presets.in_force()
    left_s = work.left_s()
    if in_force is None:
        return left_s
    return min(left_s, in_force.preset.policy.queue_wait_ms / 1_000)


def note_dispatch(work: Work, upstream: Upstream) -> None:
    """Record that from now on this upstream may be running the request."""
    work.execution.dispatched = True
    work.record("dispatched", upstream=upstream.name)


def note_not_run(work: Work, upstream: Upstream, error: NotRunError) -> None:
    """Report to placement and peers that this upstream refused the request."""
    parts = work.parts
    work.excluded.add(upstream.name)
    work.refusal = error
    work.execution.dispatched = work.lost
    parts.placement.handle_refusal(
        work.ticket, upstream, error.reason, error.retry_after_ms
    )
    if error.reason == "draining":
        parts.upstreams.mark(upstream.name, "leaving", "refusal")
    elif error.reason == "unreachable":
        parts.upstreams.mark(upstream.name, "dead", "connect")
    work.record("not_run", upstream=upstream.name, reason=error.reason)
    parts.metrics.count(f"requests.not_run.{error.reason}")
