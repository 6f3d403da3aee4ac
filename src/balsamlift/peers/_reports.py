"""The reports about upstreams that hosts forward to each other."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers._crash_reports import CrashReports
from balsamlift.peers._messages import PeerMessage
from balsamlift.peers._part_reports import PartReports
from balsamlift.peers._rate_limits import RateLimits
from balsamlift.peers._silence_reports import SilenceReports
from balsamlift.peers._upstream_gossip import UpstreamGossip
from balsamlift.peers._upstream_reports import UpstreamReports
from balsamlift.peers._upstreams import Upstreams


@attrs.frozen
class SentReports:
    """Hold the change numbers up to which a link has sent reports."""

    upstream_states: int = 0
    crashes: int = 0
    rate_limits: int = 0
    leaving_notices: int = 0
    parts: int = 0
    silences: int = 0


NO_REPORTS_SENT = SentReports()


class Reports:
    """Hold the reports that this host has received or made."""

    def __init__(self, clock: Clock) -> None:
        """Start without any report."""
        self._clock = clock
        self.upstream_states = UpstreamReports()
        self.crashes = CrashReports(clock)
        self.parts = PartReports(clock)
        self.silences = SilenceReports(clock)
        self.rate_limits = RateLimits(clock)
        self.gossip = UpstreamGossip(self.upstream_states, clock)

    def start(
        self, upstreams: Upstreams, wake: Callable[[], None], metrics: Metrics
    ) -> None:
        """Call `wake` after each change, to send it to peers at once."""
        self.gossip.start(upstreams, wake)
        self.crashes.start(wake)
        self.parts.start(wake)
        self.silences.start(wake)
        self.rate_limits.start(wake, metrics)
        self.leaving_notices = upstreams.leaving_notices
        self.leaving_notices.share(wake)

    def receive(self, message: PeerMessage) -> None:
        """Apply the reports in the message of a peer."""
        self.gossip.receive(message.upstream_reports)
        self.crashes.add(message.crash_reports)
        self.parts.add(message.part_reports)
        self.silences.add(message.silence_reports)
        self.rate_limits.add(message.rate_limits)
        self.leaving_notices.add(message.leaving_notices)

    @property
    def change(self) -> SentReports:
        """Return the numbers of the latest changes."""
        return SentReports(
            self.upstream_states.change,
            self.crashes.change,
            self.rate_limits.change,
            self.leaving_notices.change,
            self.parts.change,
            self.silences.change,
        )

    def expire(self) -> None:
        """Drop the expired reports of states."""
        self.upstream_states.expire(self._clock.monotonic())
