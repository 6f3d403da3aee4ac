"""Requests of this host that upstreams have not answered yet.

The system takes bytes for a process that has stopped, which reads and runs
them once it goes on.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from itertools import islice

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.relay.health._stall_watch import StallWatch

log = logger.bind(part="upstreams")

# One that stays silent for longer has left the list.
MAX_UNREAD_S = 4.0


@attrs.frozen
class Unanswered:
    """What an upstream owes this host."""

    requests: int
    oldest_ms: int
    silent_ms: int  # since its last byte, or the first of these requests


@attrs.define(eq=False)
class _Upstream:
    """What this host has sent to one upstream and heard of it."""

    heard_s: float = -math.inf  # its last byte
    open: dict[OpenRequest, None] = attrs.field(factory=dict)  # oldest first
    # Given up on while it was silent, so that they may lie unread.
    unread: dict[OpenRequest, None] = attrs.field(factory=dict)
    is_reported: bool = False  # that it leaves

    def owed(self) -> int:
        return len(self.open) + len(self.unread)

    def oldest_s(self) -> float:
        oldest = [*islice(self.open, 1), *self.unread]
        return min(request.sent_s for request in oldest)

    def silent_since_s(self) -> float:
        return max(self.heard_s, self.oldest_s())


class OpenRequest:
    """One request, from its send to the end of its response."""

    def __init__(
        self, unanswered: UnansweredRequests, upstream: Upstream, sent_s: float
    ) -> None:
        """Create the handle of a request that is sent now."""
        self._unanswered = unanswered
        self._upstream = upstream
        self.sent_s = sent_s

    def record_bytes(self) -> None:
        """Record that the upstream has sent something."""
        self._unanswered.record_bytes(self._upstream.name)

    def end(self) -> None:
        """Record that nothing more is expected of the upstream."""
        self._unanswered.end(self, self._upstream.name)

    def give_up(self) -> None:
        """Record that its connection is closed before a response."""
        self._unanswered.give_up(self, self._upstream.name)


class UnansweredRequests:
    """Track the requests that each upstream has, and its last sign of life."""

    def __init__(
        self, clock: Clock, metrics: Metrics, stalls: StallWatch
    ) -> None:
        """Start without any request.

        No upstream counts as silent for the time of a stall.
        """
        self._clock = clock
        self._stalls = stalls
        self._metrics = metrics
        self._upstreams: dict[str, _Upstream] = {}
        self._on_unread: Callable[[str, int], None] = lambda name, change: None

    def on_unread(self, callback: Callable[[str, int], None]) -> None:
        """Call back with an upstream and how many more may lie unread there.

        The number is negative once they do not.
        """
        self._on_unread = callback

    def open(self, upstream: Upstream) -> OpenRequest:
        """Return the handle of a request that is sent to an upstream now."""
        request = OpenRequest(self, upstream, self._clock.monotonic())
        state = self._upstreams.setdefault(upstream.name, _Upstream())
        state.open[request] = None
        return request

    def record_bytes(self, name: str) -> None:
        """Record a sign of life of an upstream."""
        state = self._upstreams.get(name)
        if state is None:
            return
        state.heard_s = self._clock.monotonic()
        self._discard_unread(name, state, list(state.unread))

    def end(self, request: OpenRequest, name: str) -> None:
        """Remove a request; a second call does nothing."""
        state = self._upstreams.get(name)
        if state is not None:
            state.open.pop(request, None)

    def give_up(self, request: OpenRequest, name: str) -> None:
        """Remove a request; it may lie unread until the upstream is heard."""
        state = self._upstreams.get(name)
        if state is None or request not in state.open:
            return
        del state.open[request]
        if state.heard_s < request.sent_s:
            state.unread[request] = None
            self._on_unread(name, 1)

    def describe(self, name: str) -> Unanswered | None:
        """Return what an upstream owes, None if that is nothing."""
        state = self._upstreams.get(name)
        if state is None or not state.owed():
            return None
        now_s = self._clock.monotonic()
        return Unanswered(
            requests=state.owed(),
            oldest_ms=round((now_s - state.oldest_s()) * 1_000),
            silent_ms=round(self.silent_s(name) * 1_000),
        )

    def report_leaving(self, is_leaving: Callable[[str], bool]) -> None:
        """Log what upstreams owe that leave, or are no longer listed."""
        for name, state in self._upstreams.items():
            owed = self.describe(name)
            if state.is_reported or owed is None or not is_leaving(name):
                continue
            state.is_reported = True
            self._metrics.count("upstreams.left_unanswered", owed.requests)
            log.bind(upstream=name, **attrs.asdict(owed)).warning(
                "leaves with requests unanswered"
            )

    def silent_s(self, name: str) -> float:
        """Return for how long an upstream has owed an answer in silence."""
        state = self._upstreams.get(name)
        if state is None or not state.owed():
            return 0.0
        return self._stalls.awake_s(state.silent_since_s())

    def was_silent_for(self, name: str, sent_s: float, least_s: float) -> bool:
        """Return whether nothing came for so long after a request's send."""
        if self.was_heard_since(name, sent_s) or self._stalls.is_just_over():
            return False
        return self._stalls.awake_s(sent_s) >= least_s

    def was_heard_since(self, name: str, since_s: float) -> bool:
        """Return whether an upstream has sent anything since a moment."""
        state = self._upstreams.get(name)
        return state is not None and state.heard_s >= since_s

    def prune(self, live: Collection[str]) -> None:
        """Forget upstreams that have left, and what was sent long ago."""
        until_s = self._clock.monotonic() - MAX_UNREAD_S
        for name, state in list(self._upstreams.items()):
            old = [
                request
                for request in state.unread
                if name not in live or request.sent_s < until_s
            ]
            self._discard_unread(name, state, old)
            if name not in live and not state.open:
                del self._upstreams[name]

    def _discard_unread(
        self, name: str, state: _Upstream, requests: Collection[OpenRequest]
    ) -> None:
        for request in requests:
            del state.unread[request]
        if requests:
            self._on_unread(name, -len(requests))
