"""Incarnations of one upstream, reported in any order, against a model."""

import asyncio
from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import OperatorsServer
from balsamlift.peers import UPSTREAM_ROLE, ListEntry, Upstreams
from balsamlift.peers._incarnations import take_latest
from balsamlift.peers._removal_grace import REMOVAL_GRACE_S
from balsamlift.peers._upstream import Upstream, build_upstream
from balsamlift.settings import PlatformSettings, PoolSettings, Settings
from balsamlift.timeline import Timeline

IDS = ("i-1", "i-2")


class ManualClock(SystemClock):
    """A clock whose monotonic time a test sets."""

    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class UnchangedList:
    """A list that never changes; the test applies readings itself."""

    is_complete = False

    async def read(
        self, max_wait_ms: int | None = None
    ) -> list[ListEntry] | None:
        return None


def entry(upstream_id: str, started_ms: int, state: str = "live") -> ListEntry:
    return ListEntry(
        name=upstream_id,
        role=UPSTREAM_ROLE,
        pool="model",
        address="10.1.0.9:80",
        state=state,
        kind="service",
        started_ms=started_ms,
    )


def built(upstream_id: str, started_ms: int) -> Upstream:
    upstream = build_upstream(entry(upstream_id, started_ms), {})
    assert upstream is not None
    return upstream


@pytest.mark.parametrize(
    ("known", "listed", "latest"),
    [
        ([], [5], 5),
        ([5], [9], 9),
        ([9], [5], 9),  # a late entry of the previous one
        ([9], [0], 9),  # from another writer that reports no start
        ([0], [9], 9),
        ([], [5, 9], 9),
        ([], [9, 5], 9),
    ],
)
def test_only_the_latest_incarnation_is_kept(
    known: list[int], listed: list[int], latest: int
) -> None:
    found = take_latest(
        [built("i-1", ms) for ms in listed],
        [built("i-1", ms) for ms in known],
    )
    assert [u.started_ms for u in found] == [latest]


def test_known_but_unlisted_incarnations_are_not_returned() -> None:
    assert take_latest([], [built("i-1", 5)]) == []


def test_incarnations_have_unique_names_and_a_common_id() -> None:
    first, second = built("i-1", 5), built("i-1", 9)
    assert first.name != second.name
    assert first.id == second.id == "i-1"
    assert built("i-1", 0).name == "i-1"


def started_upstreams(clock: ManualClock) -> Iterator[Upstreams]:
    """Yield started upstreams that read nothing by themselves."""
    loop = asyncio.new_event_loop()
    kernel = Kernel()
    product = Settings(
        host="h1",
        failure_domain="d1",
        callers_address="127.0.0.1:0",
        operators_address="127.0.0.1:0",
        peers_address="127.0.0.1:0",
        platform=PlatformSettings(
            log_address="127.0.0.1:9",
            hosts_address="127.0.0.1:9",
            hosts_poll_ms=60_000,
        ),
        pools={"listed": PoolSettings(kind="service")},
        seed=7,
    )
    http = HttpClient(max_calls=1)
    upstreams = Upstreams(product, clock, http, UnchangedList())
    for service in (
        OperatorsServer("127.0.0.1:0"),
        Timeline("h1", clock, 1_000),
        Metrics(),
        upstreams,
    ):
        kernel.register(service)

    async def make() -> None:
        await kernel.start()

    loop.run_until_complete(make())
    try:
        yield upstreams
    finally:
        loop.run_until_complete(kernel.stop())
        loop.close()


class Incarnations(RuleBasedStateMachine):
    """Upstreams start, are removed, restart and are reported late."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.generator = started_upstreams(self.clock)
        self.upstreams = next(self.generator)
        self.listed: dict[str, ListEntry] = {}
        self.latest: dict[str, int] = {}  # since it was last not listed
        self.marked: set[str] = set()
        self.ms = 1_000

    def teardown(self) -> None:
        next(self.generator, None)

    def read(self) -> None:
        self.upstreams._apply_reading(list(self.listed.values()))
        for upstream_id in IDS:
            listed = self.listed.get(upstream_id)
            if listed is None:
                self.latest.pop(upstream_id, None)
            else:
                before = self.latest.get(upstream_id, 0)
                self.latest[upstream_id] = max(before, listed.started_ms)

    def name(self, upstream_id: str, started_ms: int) -> str:
        return built(upstream_id, started_ms).name

    @rule(upstream_id=st.sampled_from(IDS))
    def start(self, upstream_id: str) -> None:
        self.ms += 1
        self.listed[upstream_id] = entry(upstream_id, self.ms)
        self.read()

    @rule(upstream_id=st.sampled_from(IDS), back_ms=st.integers(1, 3))
    def late_entry_of_an_earlier_one(
        self, upstream_id: str, back_ms: int
    ) -> None:
        latest = self.latest.get(upstream_id)
        if latest is not None and latest > back_ms:
            self.listed[upstream_id] = entry(upstream_id, latest - back_ms)
            self.read()

    @rule(upstream_id=st.sampled_from(IDS))
    def entry_without_a_start(self, upstream_id: str) -> None:
        if upstream_id in self.latest:
            self.listed[upstream_id] = entry(upstream_id, 0)
            self.read()

    @rule(upstream_id=st.sampled_from(IDS))
    def entry_is_removed(self, upstream_id: str) -> None:
        self.listed.pop(upstream_id, None)
        self.read()

    @rule(upstream_id=st.sampled_from(IDS), back_ms=st.integers(0, 3))
    def peer_reports_one(self, upstream_id: str, back_ms: int) -> None:
        latest = self.latest.get(upstream_id)
        if latest is not None and latest > back_ms:
            name = self.name(upstream_id, latest - back_ms)
            self.upstreams.mark(name, "leaving", "peer")
            self.marked.add(name)

    @rule()
    def expire_reports(self) -> None:
        self.clock.now_s += REMOVAL_GRACE_S + 60.0
        self.marked.clear()
        self.read()

    @invariant()
    def holds_the_latest_of_each(self) -> None:
        known = {u.name for u in self.upstreams.all()}
        assert known == {
            self.name(upstream_id, ms)
            for upstream_id, ms in self.latest.items()
        }

    @invariant()
    def a_report_affects_only_the_incarnation_it_names(self) -> None:
        for upstream in self.upstreams.all():
            expected = "leaving" if upstream.name in self.marked else "live"
            assert upstream.state == expected


TestIncarnations = Incarnations.TestCase
TestIncarnations.settings = settings(
    max_examples=25, stateful_step_count=30, deadline=None, derandomize=True
)
