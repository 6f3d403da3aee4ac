"""Reports of requests that are sent despite what their upstream has said."""

import random

import pytest
from _manual_clock import ManualClock

from balsamlift.metrics import Metrics
from balsamlift.peers import LeavingNotices, Upstream
from balsamlift.relay.statements._retry_after import RetryAfterTracker
from balsamlift.relay.statements._send_audit import SendAudit, SendPath

DRAIN_S = 2.0


class Audited:
    """An upstream, and a host that audits what it sends there."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.notices = LeavingNotices(self.clock)
        self.retry_after = RetryAfterTracker(
            self.clock, self.metrics, random.Random(1)
        )
        self.audit = SendAudit(
            self.notices, self.retry_after, self.metrics, self.clock, DRAIN_S
        )

    def upstream(self, name: str = "e1") -> Upstream:
        return Upstream(
            name=name,
            id="e1",
            pool="p",
            kind="service",
            address="127.0.0.1:1",
            failure_domain="north",
        )

    def counts(self, path: SendPath = "chosen", name: str = "e1") -> set[str]:
        before = dict(self.metrics.snapshot().counters)
        self.audit.record_send("r1", self.upstream(name), path)
        after = self.metrics.snapshot().counters
        return {key for key in after if after[key] != before.get(key)}


@pytest.mark.parametrize(
    ("at_s", "path", "is_late"),
    [(1.9, "chosen", False), (2.1, "chosen", True), (9.0, "resumed", False)],
)
def test_a_send_long_after_a_notice_is_too_late(
    at_s: float, path: SendPath, is_late: bool
) -> None:
    host = Audited()
    host.notices.record("e1", "answer")
    host.clock.now_s = at_s
    counts = host.counts(path)
    assert "relay.sends_despite_leaving" in counts
    assert ("relay.sends_too_late_leaving" in counts) == is_late


@pytest.mark.parametrize(
    ("path", "is_late"), [("chosen", True), ("resumed", False)]
)
def test_a_chosen_send_in_a_time_without_requests_is_too_late(
    path: SendPath, is_late: bool
) -> None:
    host = Audited()
    host.retry_after.record("e1", 3.0)
    counts = host.counts(path)
    assert ("relay.sends_too_late_retry_after" in counts) == is_late


@pytest.mark.parametrize(
    ("name", "counts"),
    [("e1", {"relay.sends_despite_lost_notice"}), ("e1@5", set())],
)
def test_a_notice_that_was_heard_and_lost_is_reported(
    name: str, counts: set[str]
) -> None:
    host = Audited()
    host.audit.record_notice(host.upstream())
    host.clock.now_s = 1.9
    assert not host.counts(name=name)
    host.clock.now_s = 2.1
    assert host.counts(name=name) == counts


def test_an_upstream_that_was_replaced_is_not_bound_by_what_it_said() -> None:
    host = Audited()
    host.notices.record("e1", "answer")
    host.audit.record_notice(host.upstream())
    for written in (7, None):
        host.notices.prune(lambda _, written=written: written)
    host.clock.now_s = 70.0
    host.notices.prune(lambda _: 1)
    assert not host.counts()


def test_sends_to_others_are_not_reported() -> None:
    host = Audited()
    assert not host.counts()
