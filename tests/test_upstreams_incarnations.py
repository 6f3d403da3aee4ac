"""Incarnations of one upstream, told in any order, against a model."""

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
from balsamlift.peers._list_reader import RETURN_S
from balsamlift.peers._upstream import Upstream, join_upstream
from balsamlift.settings import PlatformSettings, PoolSettings, Settings
from balsamlift.timeline import Timeline

IDS = ("i-1", "i-2")


class ManualClock(SystemClock):
    """A clock whose monotonic time a test moves on."""

    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class NoList:
    """A list that a test speaks for."""

    async def read(self) -> list[ListEntry] | None:
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


def joined(upstream_id: str, started_ms: int) -> Upstream:
    upstream = join_upstream(entry(upstream_id, started_ms), {})
    assert upstream is not None
    return upstream


@pytest.mark.parametrize(
    ("known", "listed", "latest"),
    [
        ([], [5], 5),
        ([5], [9], 9),
        ([9], [5], 9),  # a late word of the one before
        ([9], [0], 9),  # by another writer, who tells no start
        ([0], [9], 9),
        ([], [5, 9], 9),
        ([], [9, 5], 9),
    ],
)
def test_only_the_latest_incarnation_counts(
    known: list[int], listed: list[int], latest: int
) -> None:
    found = take_latest(
        [joined("i-1", ms) for ms in listed],
        [joined("i-1", ms) for ms in known],
    )
    assert [u.started_ms for u in found] == [latest]


def test_what_is_known_and_not_listed_is_not_among_the_latest() -> None:
    assert take_latest([], [joined("i-1", 5)]) == []


def test_incarnations_have_names_of_their_own_and_one_id() -> None:
    first, second = joined("i-1", 5), joined("i-1", 9)
    assert first.name != second.name
    assert first.id == second.id == "i-1"
    assert joined("i-1", 0).name == "i-1"


def started_upstreams(clock: ManualClock) -> Iterator[Upstreams]:
    """Yield upstreams of a daemon that reads nothing by itself."""
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
    upstreams = Upstreams(product, clock, http, NoList())
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
    """Upstreams start, are cut off, start again and are told of late."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.making = started_upstreams(self.clock)
        self.upstreams = next(self.making)
        self.listed: dict[str, ListEntry] = {}
        self.latest: dict[str, int] = {}  # since it was last not listed
        self.marked: set[str] = set()
        self.ms = 1_000

    def teardown(self) -> None:
        next(self.making, None)

    def read(self) -> None:
        self.upstreams._take_reading(list(self.listed.values()))
        for upstream_id in IDS:
            told = self.listed.get(upstream_id)
            if told is None:
                self.latest.pop(upstream_id, None)
            else:
                before = self.latest.get(upstream_id, 0)
                self.latest[upstream_id] = max(before, told.started_ms)

    def name(self, upstream_id: str, started_ms: int) -> str:
        return joined(upstream_id, started_ms).name

    @rule(upstream_id=st.sampled_from(IDS))
    def start(self, upstream_id: str) -> None:
        self.ms += 1
        self.listed[upstream_id] = entry(upstream_id, self.ms)
        self.read()

    @rule(upstream_id=st.sampled_from(IDS), back_ms=st.integers(1, 3))
    def late_word_of_one_before(self, upstream_id: str, back_ms: int) -> None:
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
    def peer_tells_of_one(self, upstream_id: str, back_ms: int) -> None:
        latest = self.latest.get(upstream_id)
        if latest is not None and latest > back_ms:
            name = self.name(upstream_id, latest - back_ms)
            self.upstreams.mark(name, "leaving", "peer")
            self.marked.add(name)

    @rule()
    def long_after(self) -> None:
        self.clock.now_s += RETURN_S + 60.0
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
    def a_late_word_harms_only_the_one_it_names(self) -> None:
        for upstream in self.upstreams.all():
            expected = "leaving" if upstream.name in self.marked else "live"
            assert upstream.state == expected


TestIncarnations = Incarnations.TestCase
TestIncarnations.settings = settings(
    max_examples=25, stateful_step_count=30, deadline=None, derandomize=True
)
