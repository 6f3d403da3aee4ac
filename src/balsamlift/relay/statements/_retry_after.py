"""Times for which upstreams asked this host to send them nothing."""

from __future__ import annotations

import random

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics

log = logger.bind(part="upstreams")

MAX_UPSTREAMS = 5_000
# Hosts return at a random time after the end, up to this long, as an upstream
# may have asked all of them to wait for the same moment.
RETURN_SPREAD_S = 0.5
# After the end, one request is sent at a time until one is answered; after
# this long without a response, the next one.
TRIAL_TIMEOUT_S = 1.0
TRIAL_POLL_S = 0.05
# An upstream that got no request for this long after the end is used as
# before.
RECOVERY_S = 5.0
# Resumed generations that are sent all the same: each would be lost otherwise,
# and a platform tolerates two requests that were on their way.
MAX_RESUMES = 1
_MS_PER_S = 1_000


@attrs.define
class _Pause:
    """A time without requests; times are monotonic."""

    spread_s: float
    until_s: float
    trial_sent_s: float | None = None
    resumes: int = 0


class RetryAfterTracker:
    """Track until when each upstream that refused asked for no requests.

    It asks only the host that it refuses. A later refusal can extend the
    time but not shorten it, and no other response ends it.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, rng: random.Random
    ) -> None:
        """Start without any upstream."""
        self._clock = clock
        self._metrics = metrics
        self._random = rng
        self._pauses: dict[str, _Pause] = {}  # oldest first

    def is_pausing(self, upstream: str) -> bool:
        """Return whether an upstream wants no requests now."""
        pause = self._pauses.get(upstream)
        return pause is not None and self._clock.monotonic() < pause.until_s

    def wait_s(self, upstream: str) -> float:
        """Return the time until a request may be sent, 0 if it is now."""
        pause = self._pauses.get(upstream)
        if pause is None:
            return 0.0
        now_s = self._clock.monotonic()
        if now_s < pause.until_s:
            return pause.until_s - now_s
        trial_sent_s = pause.trial_sent_s
        if trial_sent_s is None or now_s >= trial_sent_s + TRIAL_TIMEOUT_S:
            return 0.0
        return TRIAL_POLL_S

    def record(self, upstream: str, retry_after_s: float) -> None:
        """Record that an upstream wants no requests for that time."""
        if retry_after_s <= 0:
            return
        pause = self._pauses.pop(upstream, None)
        if pause is None:
            self._make_room()
            spread_s = self._random.uniform(0.0, RETURN_SPREAD_S)
            pause = _Pause(spread_s, until_s=0.0)
        self._pauses[upstream] = pause
        until_s = self._clock.monotonic() + retry_after_s + pause.spread_s
        if until_s <= pause.until_s:
            return
        pause.until_s = until_s
        pause.trial_sent_s = None
        pause.resumes = 0
        self._update_gauge()
        log.bind(
            upstream=upstream,
            retry_after_ms=round(retry_after_s * _MS_PER_S),
        ).info("upstream asked for no requests")

    def record_send(self, upstream: str) -> None:
        """Record that a request is about to be sent."""
        pause = self._pauses.get(upstream)
        if pause is not None and not self.is_pausing(upstream):
            pause.trial_sent_s = self._clock.monotonic()

    def record_response(self, upstream: str, sent_s: float) -> None:
        """Record a response, to a request that was sent at `sent_s`."""
        pause = self._pauses.get(upstream)
        if pause is not None and sent_s >= pause.until_s:
            self._discard(upstream)

    def take_resume(self, upstream: str) -> bool:
        """Return whether a generation may be resumed there all the same."""
        pause = self._pauses.get(upstream)
        if pause is None or not self.is_pausing(upstream):
            return True
        pause.resumes += 1
        return pause.resumes <= MAX_RESUMES

    def discard_expired(self) -> None:
        """Discard pauses that ended long ago; called every second."""
        oldest_s = self._clock.monotonic() - RECOVERY_S
        for upstream, pause in list(self._pauses.items()):
            if pause.until_s < oldest_s:
                self._discard(upstream)

    def _make_room(self) -> None:
        if len(self._pauses) >= MAX_UPSTREAMS:
            del self._pauses[next(iter(self._pauses))]

    def _discard(self, upstream: str) -> None:
        del self._pauses[upstream]
        self._update_gauge()
        log.bind(upstream=upstream).info("upstream takes requests again")

    def _update_gauge(self) -> None:
        self._metrics.gauge("relay.retry_after_upstreams", len(self._pauses))
