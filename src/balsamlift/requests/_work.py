"""One admitted request on its way through upstreams."""

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
LEAST_RETRY_MS = 1_000  # where the upstream gave no time of its own


class NotRunError(BalsamliftError):
    """Tell that the work certainly did not run on this upstream."""

    def __init__(self, reason: str, retry_after_ms: int = 0) -> None:
        """Keep the reason and when to come back."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class LostError(BalsamliftError):
    """Tell that the work ran, or may have, and cannot be followed.

    `ended` says that it certainly runs no more.
    """

    def __init__(self, reason: str, *, ended: bool) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason
        self.ended = ended


@attrs.define(eq=False)
class Work:
    """Hold one admitted request and the rules it runs under."""

    parts: Parts
    execution: Execution
    body: RequestBody
    ticket: Ticket
    model: str  # that the pool shall run; "" where the preset names none
    idempotent: bool
    max_tokens: int
    priority: int
    deadline_s: float  # by the monotonic clock
    excluded: set[str] = attrs.field(factory=set)
    lost: bool = False  # whether it ran, or may have, on one that is lost
    waits_until_s: float | None = None  # for a place; None: not yet waiting
    refusal: NotRunError | None = None  # the last by an upstream

    def note_lost(self, upstream: Upstream) -> None:
        """Note that it ran, or may have, where it cannot be followed."""
        self.lost = True
        self.excluded.add(upstream.name)
        self.waits_until_s = None
        self.refusal = None

    def left_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_s - self.parts.clock.monotonic()

    def record(self, kind: str, **detail: str | int | float) -> None:
        """Put an event of this request on the time line."""
        self.parts.timeline.record(kind, request=self.execution.key, **detail)


async def next_upstream(work: Work) -> Upstream | Outcome:
    """Return where to try next, or the refusal when time is over.

    A request that was admitted waits for a place, for as long as a request
    may wait in the queue; upstreams that refuse it do not prolong that.
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
    """Note that from now on this upstream may be running the work."""
    work.execution.dispatched = True
    work.record("dispatched", upstream=upstream.name)


def note_not_run(work: Work, upstream: Upstream, error: NotRunError) -> None:
    """Tell the other parts that this upstream did not take the work."""
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
