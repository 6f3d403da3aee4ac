"""Tables of members, counts and reports that hosts exchange."""

import random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from balsamlift.peers._counts import OwnCounts, PeerCounts
from balsamlift.peers._members import MAX_INCARNATIONS, Members
from balsamlift.peers._messages import Member, UpstreamReport
from balsamlift.peers._upstream_reports import (
    UPSTREAM_REPORT_TTL_MS,
    UpstreamReports,
)

HOSTS = 4


def member(host: str, incarnation: str, epoch: int = 1) -> Member:
    return Member(
        host=host,
        incarnation=incarnation,
        epoch=epoch,
        version=1,
        state="live",
        operators_address="127.0.0.1:1",
        callers_address="127.0.0.1:2",
        peers_address="127.0.0.1:3",
        failure_domain="d1",
    )


class Tables(RuleBasedStateMachine):
    """Hosts restart, leave, and declare each other dead, rightly or not."""

    def __init__(self) -> None:
        super().__init__()
        self.starts = 0
        self.tables = [self.begin(n, 10) for n in range(HOSTS)]

    def begin(self, number: int, epoch: int) -> Members:
        self.starts += 1
        return Members(member(f"h{number}", f"i{self.starts}", epoch))

    @rule(number=st.integers(0, HOSTS - 1), clock=st.integers(0, 20))
    def restart(self, number: int, clock: int) -> None:
        """Restart a host with a clock that may have gone back."""
        self.tables[number] = self.begin(number, clock)

    @rule(number=st.integers(0, HOSTS - 1))
    def leave(self, number: int) -> None:
        self.tables[number].change_own(state="leaving")

    @rule(number=st.integers(0, HOSTS - 1), other=st.integers(0, HOSTS - 1))
    def declare(self, number: int, other: int) -> None:
        if number != other:
            self.tables[number].declare_dead(f"h{other}")

    @rule(
        sender=st.integers(0, HOSTS - 1),
        receiver=st.integers(0, HOSTS - 1),
        since=st.integers(0, 10),
    )
    def send(self, sender: int, receiver: int, since: int) -> None:
        """Send entries changed since some version; lose all others."""
        for entry in self.tables[sender].changed_since(since):
            before = self.tables[receiver].find(entry.host)
            is_new = self.tables[receiver].merge(entry)
            after = self.tables[receiver].find(entry.host)
            if before is not None and after is not None:
                assert after.order >= before.order
            assert is_new == (after != before)

    def teardown(self) -> None:
        """Check that all tables agree on each host's own entry in the end."""
        for _ in range(HOSTS * 2):
            for sender in self.tables:
                for receiver in self.tables:
                    for entry in sender.changed_since(0):
                        receiver.merge(entry)
        for table in self.tables:
            for other in self.tables:
                host = other.own.host
                assert table.find(host) == other.own
                assert other.own.state != "dead"
                assert table.incarnations(host)[-1] == other.own.incarnation


TestTables = Tables.TestCase
TestTables.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=30
)


def test_an_unknown_dead_host_is_not_added() -> None:
    table = Members(member("h1", "i1"))
    assert not table.merge(
        msgspec.structs.replace(member("h2", "i2"), state="dead")
    )
    assert table.find("h2") is None


def test_incarnations_are_limited_and_removed_with_the_host() -> None:
    table = Members(member("h1", "i1"))
    for number in range(MAX_INCARNATIONS + 3):
        table.merge(member("h2", f"i{number}", number))
    assert len(table.incarnations("h2")) == MAX_INCARNATIONS
    table.forget("h2")
    assert table.incarnations("h2") == ()
    assert [m.host for m in table.changed_since(0)] == ["h1"]


def test_counts_are_updated_by_deltas() -> None:
    rng = random.Random(7)
    own, peers = OwnCounts(), PeerCounts()
    sent_up_to = 0
    exact: dict[str, int] = {}
    for step in range(2_000):
        upstream = f"e{rng.randrange(20)}"
        exact[upstream] = rng.choice([0, 1, 5, 1_000, 1_010, 20_000])
        own.set(upstream, exact[upstream])
        if step % 7 == 0:
            peers.update("h1", own.changed_since(sent_up_to), full=False)
            sent_up_to = own.change
            own.drop_sent_zeros(sent_up_to)
    peers.update("h1", own.changed_since(sent_up_to), full=False)
    for upstream, n in exact.items():
        assert peers.total(upstream) == pytest.approx(n, rel=0.1)
        assert (peers.total(upstream) == 0) == (n == 0)
    peers.update("h1", own.full(), full=True)
    assert {u: peers.total(u) for u in exact} == exact
    peers.update("h2", {"e1": 3}, full=True)
    peers.drop("h1")
    assert peers.total("e1") == 3


def report(
    ttl_ms: int = UPSTREAM_REPORT_TTL_MS, address: str = "a:1"
) -> UpstreamReport:
    return UpstreamReport(
        name="e1", address=address, state="leaving", ttl_ms=ttl_ms
    )


def test_reports_expire() -> None:
    tables = [UpstreamReports() for _ in range(3)]
    tables[0].add(report(), now_s=0.0)
    now_s, added = 0.0, 0
    while now_s < 3 * UPSTREAM_REPORT_TTL_MS / 1_000:
        for sender in tables:
            for receiver in tables:
                for received in sender.changed_since(0, now_s):
                    added += receiver.add(received, now_s)
        now_s += 0.5
        for table in tables:
            table.expire(now_s)
    assert added == 2
    assert not any(table.changed_since(0, now_s) for table in tables)


def test_a_report_is_for_one_incarnation_and_applied_once() -> None:
    reports = UpstreamReports()
    reports.add(report(address="a:1"), now_s=0.0)
    assert reports.to_apply({"e1": "a:2"}.__getitem__) == []
    assert reports.to_apply({"e1": "a:1"}.__getitem__) == [report()]
    assert reports.to_apply({"e1": "a:1"}.__getitem__) == []
    assert not reports.add(
        report(ttl_ms=UPSTREAM_REPORT_TTL_MS - 10), now_s=1.0
    )
    assert reports.add(report(), now_s=20.0)


def test_reports_of_live_upstreams_are_ignored() -> None:
    reports = UpstreamReports()
    assert not reports.add(
        msgspec.structs.replace(report(), state="live"), now_s=0.0
    )


def test_a_report_added_each_second_is_renewed_occasionally() -> None:
    reports = UpstreamReports()
    added = sum(reports.add(report(), float(now_s)) for now_s in range(60))
    assert added == 4
    assert reports.changed_since(0, 60.0)
