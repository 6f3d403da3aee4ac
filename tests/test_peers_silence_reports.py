"""Reports of silent upstreams: how long they hold, and how often they go."""

from _manual_clock import ManualClock

from balsamlift.peers._messages import SilenceReport
from balsamlift.peers._silence_reports import (
    RENEWAL_S,
    REPORT_TTL_MS,
    SilenceReports,
)

TTL_S = REPORT_TTL_MS / 1_000


def make_reports() -> tuple[SilenceReports, ManualClock, list[int]]:
    """Return reports, their clock and the number of each round sent."""
    clock = ManualClock()
    reports = SilenceReports(clock)
    sent: list[int] = []
    reports.start(lambda: sent.append(len(sent)))
    return reports, clock, sent


def test_a_report_holds_until_it_is_no_longer_renewed():
    reports, clock, _ = make_reports()
    reports.report("u1")
    clock.now_s += TTL_S - 0.1
    assert reports.has("u1")
    assert not reports.has("u2")
    reports.report("u1")
    clock.now_s += TTL_S - 0.1
    assert reports.has("u1")
    clock.now_s += 0.2
    assert not reports.has("u1")


def test_many_hosts_that_see_one_silence_send_few_reports():
    reports, clock, sent = make_reports()
    for _ in range(100):
        reports.report("u1")
        reports.add([SilenceReport("u1", REPORT_TTL_MS)])
        clock.now_s += RENEWAL_S / 100
    assert len(sent) == 1


def test_a_report_that_comes_back_does_not_renew_itself():
    reports, clock, sent = make_reports()
    reports.report("u1")
    clock.now_s += TTL_S - 0.1
    reports.add([SilenceReport("u1", 100)])
    assert len(sent) == 1
    clock.now_s += 0.2
    assert not reports.has("u1")


def test_a_report_holds_no_longer_than_any_host_may_say():
    reports, clock, _ = make_reports()
    reports.add([SilenceReport("u1", 60_000), SilenceReport("u2", -5)])
    assert not reports.has("u2")
    clock.now_s += TTL_S + 0.1
    assert not reports.has("u1")
