"""What forbids sending a request to an upstream, whatever the alternatives.

An ejection or a report by peers only advises against an upstream, and a
fallback may pass over it. A restriction binds on every path.
"""

from __future__ import annotations

import random
from typing import Literal

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Evacuations, LeavingNotices, Upstream
from balsamlift.relay.statements._retry_after import RetryAfterTracker
from balsamlift.relay.statements._send_audit import SendPath

Restriction = Literal["evacuated", "leaving", "asked for no requests"]


class Restrictions:
    """Tell what forbids a request to an upstream."""

    def __init__(
        self,
        notices: LeavingNotices,
        evacuations: Evacuations,
        retry_after: RetryAfterTracker,
        last_resort_s: float,
    ) -> None:
        """Let an upstream be a last resort for that long after its notice."""
        self._notices = notices
        self._evacuations = evacuations
        self._retry_after = retry_after
        self.last_resort_s = last_resort_s

    def at_choice(self, upstream: Upstream) -> Restriction | None:
        """Return what forbids to choose an upstream, or None."""
        if self._notices.has(upstream.name):
            return "leaving"
        return self.at_send(upstream, "chosen")

    def at_send(
        self, upstream: Upstream, path: SendPath
    ) -> Restriction | None:
        """Return what forbids to send to an upstream now, or None.

        It applies to last resorts as well, and to what was chosen before an
        upstream gave notice. A generation is resumed where its memory is.
        """
        if self._evacuations.covers(upstream.failure_domain):
            return "evacuated"
        if path == "resumed":
            return None
        notice_age_s = self._notices.age_s(upstream.name)
        if notice_age_s is not None and notice_age_s > self.last_resort_s:
            return "leaving"
        if self._retry_after.is_pausing(upstream.name):
            return "asked for no requests"
        return None


def no_restrictions(clock: Clock, rng: random.Random) -> Restrictions:
    """Return restrictions that forbid nothing."""
    return Restrictions(
        LeavingNotices(clock),
        Evacuations(),
        RetryAfterTracker(clock, Metrics(), rng),
        last_resort_s=0.0,
    )
