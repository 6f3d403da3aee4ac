"""Report requests that are sent despite what their upstream has said."""

from __future__ import annotations

from typing import Literal

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import LeavingNotices, Upstream
from balsamlift.relay.statements._retry_after import RetryAfterTracker

log = logger.bind(part="upstreams")

MAX_HEARD = 5_000
_MS_PER_S = 1_000

# How a request came to be sent: chosen, or resumed where its memory is.
SendPath = Literal["chosen", "resumed"]
_Statement = Literal["leaving", "retry_after"]


@attrs.define
class _Heard:
    """When an upstream first said that it is leaving, and as which one."""

    heard_s: float
    name: str  # of its incarnation
    is_reported: bool = False


class SendAudit:
    """Compare each send with what responses to this host have said.

    What was heard is kept by the id of an upstream and apart from what this
    host believes, so that a notice that was lost on the way shows.
    """

    def __init__(
        self,
        notices: LeavingNotices,
        retry_after: RetryAfterTracker,
        metrics: Metrics,
        clock: Clock,
        drain_s: float,
    ) -> None:
        """Expect no request from `drain_s` after a notice."""
        self._notices = notices
        self._retry_after = retry_after
        self._metrics = metrics
        self._clock = clock
        self._drain_s = drain_s
        self._heard: dict[str, _Heard] = {}  # by id, oldest first
        notices.on_discard(self._forget)

    def record_notice(self, upstream: Upstream) -> None:
        """Record that a response of an upstream says that it is leaving."""
        if upstream.id in self._heard:
            return
        if len(self._heard) >= MAX_HEARD:
            del self._heard[next(iter(self._heard))]
        now_s = self._clock.monotonic()
        self._heard[upstream.id] = _Heard(now_s, upstream.name)

    def _forget(self, name: str) -> None:
        """Forget what an incarnation said that has been replaced."""
        for key, heard in list(self._heard.items()):
            if heard.name == name:
                del self._heard[key]

    def record_send(
        self, request_id: str, upstream: Upstream, path: SendPath
    ) -> None:
        """Report a request that is sent despite a statement."""
        notice_age_s = self._notices.age_s(upstream.name)
        if notice_age_s is not None:
            is_late = path == "chosen" and notice_age_s > self._drain_s
            self._report(
                "leaving", request_id, upstream, path, notice_age_s, is_late
            )
        else:
            self._check_heard(request_id, upstream, path)
        if self._retry_after.is_pausing(upstream.name):
            wait_s = self._retry_after.wait_s(upstream.name)
            is_late = path == "chosen"
            self._report(
                "retry_after", request_id, upstream, path, wait_s, is_late
            )

    def _check_heard(
        self, request_id: str, upstream: Upstream, path: SendPath
    ) -> None:
        """Report a send to an upstream whose notice this host has lost."""
        heard = self._heard.get(upstream.id)
        if heard is None:
            return
        age_s = self._clock.monotonic() - heard.heard_s
        if age_s <= self._drain_s:
            return
        is_same = heard.name == upstream.name  # incarnation
        if is_same:
            self._metrics.count("relay.sends_despite_lost_notice")
        if heard.is_reported:
            return
        heard.is_reported = True
        log.bind(
            request=request_id,
            upstream=upstream.name,
            path=path,
            heard_from=heard.name,
            heard_ms=round(age_s * _MS_PER_S),
            state=upstream.state,
        ).log(
            "WARNING" if is_same else "INFO",
            "sent to an upstream whose notice is no longer known",
        )

    def _report(
        self,
        statement: _Statement,
        request_id: str,
        upstream: Upstream,
        path: SendPath,
        time_s: float,
        is_late: bool,
    ) -> None:
        self._metrics.count(f"relay.sends_despite_{statement}")
        if is_late:
            self._metrics.count(f"relay.sends_too_late_{statement}")
        log.bind(
            request=request_id,
            upstream=upstream.name,
            statement=statement,
            path=path,
            state=upstream.state,
            time_ms=round(time_s * _MS_PER_S),
        ).log(
            "WARNING" if is_late else "INFO",
            "sent despite a statement of the upstream",
        )
