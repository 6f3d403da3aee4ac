"""State of one request with respect to at-most-once execution.

A request may be sent to another upstream, or be refused as not run, only
while no upstream can have started it.
"""

from __future__ import annotations

import attrs

from balsamlift.exceptions import BalsamliftError

# Failed connection attempts allowed per call. Nothing reaches the upstream, so
# they count neither as retries nor towards the route's limit on attempts. A
# refused connection takes a few milliseconds, and the caller can still be
# given a Retry-After.
MAX_UNREACHABLE_UPSTREAMS = 4


class UnsafeResendError(BalsamliftError):
    """Raised before a send that could run a request a second time."""


@attrs.define(eq=False)
class Attempt:
    """Whether a request may have run, and how often it was sent."""

    is_idempotent: bool
    may_have_run: bool = False
    sent_to: list[str] = attrs.field(factory=list)  # names of upstreams
    sent_s: float | None = None  # monotonic, of the last send
    began_s: float | None = None  # the same, since when it may have run

    @property
    def sends(self) -> int:
        """Return how often the request was sent."""
        return len(self.sent_to)

    @property
    def may_send(self) -> bool:
        """Return whether sending cannot break the route's guarantee."""
        return self.is_idempotent or not self.may_have_run

    @property
    def certainly_not_run(self) -> bool:
        """Return whether no upstream can have run the request."""
        return not self.may_have_run

    def record_send(self, upstream: str, now_s: float) -> None:
        """Record that the request is about to be sent to an upstream.

        Raises `UnsafeResendError` if it must not be sent again.
        """
        if not self.may_send:
            raise UnsafeResendError("the request may have run already")
        self.sent_to.append(upstream)
        self.sent_s = now_s
        if not self.may_have_run:
            self.began_s = now_s
        self.may_have_run = True

    def record_not_executed(self, may_have_run_before: bool) -> None:
        """Record that the upstream reported the last send as not executed.

        `may_have_run_before` is the value of `may_have_run` before that
        send: an earlier send may still have run.
        """
        self.may_have_run = may_have_run_before

    def record_not_sent(self, may_have_run_before: bool) -> None:
        """Record that the last host it was sent to sent it to no upstream."""
        self.sent_to.pop()
        self.may_have_run = may_have_run_before
