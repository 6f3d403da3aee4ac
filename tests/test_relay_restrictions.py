"""What binds a host is looked at on every path, and again at the send."""

import random
from collections.abc import Callable, Iterator
from typing import Any, cast

import attrs
import pytest
from _listed_engines import POOL, SCOPE
from _manual_clock import ManualClock
from _relay_helpers import USAGE, hang_midway
from _relay_load import PATHS, Pool, begin_generation, run
from _shared_counts import SingleHost
from _virtual_time import LoopClock
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamlift.metrics import Metrics
from balsamlift.peers import (
    UPSTREAM_ROLE,
    Evacuations,
    EvacuationSnapshot,
    LeavingNotices,
    ListEntry,
    Peers,
    Upstream,
    Upstreams,
)
from balsamlift.peers._known_upstream import KnownUpstream, find_usable
from balsamlift.peers._messages import LeavingReport
from balsamlift.peers._observed_states import UpstreamState
from balsamlift.peers._upstream_table import UpstreamTable
from balsamlift.relay._balance import Balancer
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._connection import UpstreamConnection
from balsamlift.relay._pool import ConnectionPool
from balsamlift.relay.generations._memory_allocator import MemoryAllocator
from balsamlift.relay.statements._restrictions import Restrictions
from balsamlift.relay.statements._retry_after import RetryAfterTracker
from balsamlift.settings import PoolSettings
from balsamlift.testing.relay import RelayHarness

TRAITS = EngineTraits(memory_tokens=1_000)
Restrict = Callable[[RelayHarness, Upstream], None]


def report_notice(world: RelayHarness, upstream: Upstream) -> None:
    """Let a peer report a notice that is older than an upstream works."""
    report = LeavingReport(upstream.name, 5_000)
    world.upstreams.leaving_notices.add([report])


def evacuate(world: RelayHarness, upstream: Upstream) -> None:
    snapshot = EvacuationSnapshot(1, [upstream.failure_domain])
    world.upstreams.evacuations.offer(snapshot, "store")


def ask_for_no_requests(world: RelayHarness, upstream: Upstream) -> None:
    world.relay._retry_after.record(upstream.name, 3.0)


@pytest.mark.parametrize(
    "restrict", [report_notice, evacuate, ask_for_no_requests]
)
@pytest.mark.parametrize(("path", "service"), PATHS)
def test_what_binds_while_a_connection_opens_is_heeded(
    path: str,
    service: str,
    restrict: Restrict,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        pool = Pool(service, 2)
        for number, stand_in in enumerate(pool.stand_ins):
            stand_in.failure_domain = f"domain-{number}"
        chosen: list[str] = []
        acquire = ConnectionPool.acquire

        async def acquire_and_restrict(
            connections: ConnectionPool,
            upstream: Upstream,
            timeout_s: float,
        ) -> UpstreamConnection:
            connection = await acquire(connections, upstream, timeout_s)
            chosen.append(upstream.name)
            if len(chosen) == 1:
                restrict(world, upstream)
            return connection

        monkeypatch.setattr(ConnectionPool, "acquire", acquire_and_restrict)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            answer = await world.call(path, "r1", headers=USAGE)
            assert answer.status == 200
            assert not pool.arrivals[chosen[0]]
            assert pool.arrivals[chosen[1]]

    run(test)


@pytest.mark.parametrize("restrict", [report_notice, evacuate])
def test_a_lost_generation_is_not_resumed_at_a_backup_that_is_forbidden(
    restrict: Restrict,
) -> None:
    async def test() -> None:
        pool = Pool("model", 2)
        for number, stand_in in enumerate(pool.stand_ins):
            stand_in.failure_domain = f"domain-{number}"
        pool.set_behaviour(hang_midway)
        async with RelayHarness(pool.stand_ins, LoopClock()) as world:
            world.configure()
            calling, used = await begin_generation(world, pool)
            (backup,) = [s for s in pool.stand_ins if s is not used]
            upstream = world.upstreams.find(backup.name)
            assert upstream is not None
            restrict(world, upstream)
            for task in list(used.open):
                task.cancel()
            assert not (await calling).is_whole
            assert backup.arrivals == []

    run(test)


@attrs.frozen
class Drawn:
    """What is known and suspected of one upstream."""

    listed: UpstreamState
    failure_domain: str
    notice_age_s: float | None
    is_pausing: bool
    is_ejected: bool
    observed: tuple[UpstreamState, bool] | None  # by peers?

    def binds(self, evacuated: set[str], last_resort_s: float) -> bool:
        """Return whether the upstream may get no request."""
        return (
            self.listed != "live"
            or self.failure_domain in evacuated
            or self.is_pausing
            or (
                self.notice_age_s is not None
                and self.notice_age_s > last_resort_s
            )
        )


DOMAINS = ("north", "south", "east")
STATES: tuple[UpstreamState, ...] = ("live", "leaving", "dead")
DRAWN = st.builds(
    Drawn,
    listed=st.sampled_from((*["live"] * 5, "leaving", "dead")),
    failure_domain=st.sampled_from(DOMAINS),
    notice_age_s=st.sampled_from([None, None, 0.0, 0.9, 1.1, 70.0]),
    is_pausing=st.booleans(),
    is_ejected=st.booleans(),
    observed=st.none() | st.tuples(st.sampled_from(STATES), st.booleans()),
)
LAST_RESORT_S = 1.0


class Host:
    """The choices of one host among upstreams in the states drawn."""

    def __init__(
        self, drawn: list[Drawn], evacuated: set[str], is_strict: bool = True
    ) -> None:
        self.is_strict = is_strict
        self.drawn = {f"e{n}": state for n, state in enumerate(drawn)}
        clock = ManualClock(1_000.0)
        rng = random.Random(1)
        self.notices = LeavingNotices(clock)
        evacuations = Evacuations()
        evacuations.offer(EvacuationSnapshot(1, sorted(evacuated)), "store")
        retry_after = RetryAfterTracker(clock, Metrics(), rng)
        pools = {POOL: PoolSettings(kind="service")}
        self.table = UpstreamTable(pools, evacuations, self.notices, clock)
        for name, state in self.drawn.items():
            self._add(name, state, retry_after)
        self.balancer = Balancer(
            cast(Upstreams, self),
            cast(Peers, SingleHost()),
            clock,
            rng,
            "north",
            restrictions=Restrictions(
                self.notices, evacuations, retry_after, LAST_RESORT_S
            ),
            retry_after=retry_after,
        )
        for name, state in self.drawn.items():
            if state.is_ejected:
                self.balancer.eject(name)
        self.allocator = MemoryAllocator(self.balancer)

    def _add(
        self, name: str, state: Drawn, retry_after: RetryAfterTracker
    ) -> None:
        entry = ListEntry(
            name=name,
            role=UPSTREAM_ROLE,
            pool=POOL,
            address="127.0.0.1:1",
            failure_domain=state.failure_domain,
            state=state.listed,
        )
        self.table.apply([*self._listed(), *self.table.build([entry])])
        known = self.table.find(name)
        assert known is not None
        if state.notice_age_s is not None:
            report = LeavingReport(name, round(state.notice_age_s * 1_000))
            self.notices.add([report])
        if state.observed is not None:
            observed, by_peer = state.observed
            known.observed.add(observed, by_peer, now_s=0.0)
        if state.is_pausing:
            retry_after.record(name, 3.0)
        self.table.refresh(known)

    def _listed(self) -> list[Upstream]:
        return [known.listed for known in self.table.all()]

    def __getattr__(self, name: str) -> Any:
        return getattr(self.table, name)

    def in_pool(self, pool: str) -> list[Upstream]:
        """Return what the table does, or all as if it let everything pass."""
        return self.table.in_pool(pool) if self.is_strict else self.all()

    def last_resorts(self, pool: str, max_age_s: float) -> list[Upstream]:
        if not self.is_strict:
            return self.all()
        return self.table.last_resorts(pool, max_age_s)

    def all(self) -> list[Upstream]:
        return [known.upstream for known in self.table.all()]

    def on_change(self, callback: Callable[[], None]) -> None:
        pass

    def choices(self, tried: set[str]) -> Iterator[Upstream | None]:
        """Yield what each way of choosing without a last resort returns."""
        yield from self.balancer.usable(SCOPE, tried)
        for name in self.drawn:
            yield self.balancer.find_usable(SCOPE, tried, name)
        for fill_limit in (None, 1.1):
            yield self.allocator.find(
                SCOPE, TRAITS, 10, tried, fill_limit=fill_limit
            )
        backup = self.allocator.reserve_backup(SCOPE, tried, TRAITS, 10)
        yield backup.upstream if backup else None


@given(
    drawn=st.lists(DRAWN, min_size=1, max_size=5),
    evacuated=st.sets(st.sampled_from(DOMAINS), max_size=2),
    tried=st.sets(st.sampled_from(["e0", "e1", "e2"])),
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_no_way_of_choosing_passes_over_what_binds(
    drawn: list[Drawn], evacuated: set[str], tried: set[str]
) -> None:
    host = Host(drawn, evacuated)
    for chosen in host.choices(tried):
        if chosen is not None:
            assert host.drawn[chosen.name].notice_age_s is None
            assert not host.drawn[chosen.name].binds(evacuated, 0.0)
            assert chosen.name not in tried
    last = host.balancer.choose_upstream(SCOPE, tried, ())
    if last is not None:
        assert not host.drawn[last.name].binds(evacuated, LAST_RESORT_S)
        assert last.name not in tried


@given(
    drawn=st.lists(DRAWN, min_size=1, max_size=5),
    evacuated=st.sets(st.sampled_from(DOMAINS), max_size=2),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_restrictions_bind_even_if_the_list_lets_everything_pass(
    drawn: list[Drawn], evacuated: set[str]
) -> None:
    listed_live = [attrs.evolve(state, listed="live") for state in drawn]
    host = Host(listed_live, evacuated, is_strict=False)
    for chosen in host.choices(set()):
        if chosen is not None:
            assert host.drawn[chosen.name].notice_age_s is None
            assert not host.drawn[chosen.name].binds(evacuated, 0.0)
    last = host.balancer.choose_upstream(SCOPE, set(), ())
    if last is not None:
        assert not host.drawn[last.name].binds(evacuated, LAST_RESORT_S)


def known_upstream() -> KnownUpstream:
    """Return an upstream that peers alone report as dead."""
    clock = ManualClock(0.0)
    listed = Upstream(
        name="e0",
        pool=POOL,
        kind="service",
        address="127.0.0.1:1",
        failure_domain="north",
    )
    known = KnownUpstream(listed, Evacuations(), LeavingNotices(clock))
    known.observed.add("dead", by_peer=True, now_s=0.0)
    known.refresh()
    return known


def test_an_upstream_dead_by_peers_alone_that_gave_notice_is_not_used() -> (
    None
):
    known = known_upstream()
    assert find_usable([known]) == [known.upstream]
    known.leaving_notices.record("e0", "answer")
    known.refresh()
    assert find_usable([known]) == []


def test_an_upstream_in_an_evacuated_domain_is_no_last_resort() -> None:
    known = known_upstream()
    known.observed.add("live", by_peer=False, now_s=0.0)
    known.leaving_notices.record("e0", "answer")
    known.refresh()
    assert known.is_last_resort(LAST_RESORT_S)
    known.evacuations.offer(EvacuationSnapshot(1, ["north"]), "store")
    known.refresh()
    assert not known.is_last_resort(LAST_RESORT_S)
