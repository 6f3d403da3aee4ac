"""Upstreams that are silent get no more than they can run, and two."""

import asyncio
from collections import Counter

from _manual_clock import ManualClock
from _relay_helpers import DEADLINE_S, behave_all, hang

from balsamlift.metrics import Metrics
from balsamlift.peers import SilenceReports
from balsamlift.peers._silence_reports import REPORT_TTL_MS
from balsamlift.peers._upstream import Upstream, build_upstream
from balsamlift.relay.health import (
    SilenceLimit,
    StallWatch,
    UnansweredRequests,
)
from balsamlift.relay.health._silence_limit import SILENT_AFTER_S
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

SLOTS = 2
MOST = SLOTS + 2
CALLS = 30
DEADLINE_MS = 4_000


def make_replicas(count: int) -> list[ReplicaStandIn]:
    return [
        ReplicaStandIn(f"u{n}", "plain", HEADER_NAMES, slots=SLOTS)
        for n in range(count)
    ]


async def call_all(
    world: RelayHarness,
    count: int = CALLS,
    gap_s: float = 0.02,
    deadline_ms: int = DEADLINE_MS,
) -> list[asyncio.Task[CallerAnswer]]:
    """Send calls that are not idempotent, one after the other."""
    calls = []
    for number in range(count):
        call = asyncio.create_task(
            world.call("/order/1", f"r{number}", deadline_ms=deadline_ms)
        )
        calls.append(call)
        await asyncio.sleep(gap_s)
    return calls


def test_calls_beyond_the_places_of_silent_upstreams_are_refused_as_not_run():
    replicas = make_replicas(2)

    async def check() -> None:
        async with (
            asyncio.timeout(DEADLINE_S),
            RelayHarness(replicas) as world,
        ):
            world.configure()
            behave_all(replicas, hang)
            calls = await call_all(world)
            answers = await asyncio.gather(*calls)
            arrived = sum(len(replica.arrivals) for replica in replicas)
            statuses = Counter(answer.status for answer in answers)
            assert statuses == {504: arrived, 503: CALLS - arrived}
            refused = [a for a in answers if a.status == 503]
            assert all("Retry-After" in a.headers for a in refused)
            assert arrived <= MOST * len(replicas)

    asyncio.run(check())


def test_a_call_that_waits_is_sent_once_a_silent_upstream_goes_on():
    replicas = make_replicas(1)
    goes_on = asyncio.Event()

    async def stop(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await goes_on.wait()
        await connection.answer(request, b"done")

    async def check() -> None:
        async with (
            asyncio.timeout(DEADLINE_S),
            RelayHarness(replicas) as world,
        ):
            world.configure()
            behave_all(replicas, stop)
            calls = await call_all(world, MOST)
            await asyncio.sleep(2 * SILENT_AFTER_S)
            calls += await call_all(world, CALLS, gap_s=0)
            await asyncio.sleep(SILENT_AFTER_S)
            assert len(replicas[0].arrivals) == MOST
            goes_on.set()
            answers = await asyncio.gather(*calls)
            assert {answer.status for answer in answers} == {200}

    asyncio.run(check())


def test_calls_given_up_on_leave_no_place_for_others_at_a_silent_upstream():
    replicas = make_replicas(2)

    async def work(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await asyncio.sleep(0.1)
        await connection.answer(request, b"done")

    async def check() -> None:
        async with (
            asyncio.timeout(DEADLINE_S),
            RelayHarness(replicas) as world,
        ):
            world.configure()
            behave_all(replicas[:1], hang)
            behave_all(replicas[1:], work)
            calls = await call_all(world, count=90, deadline_ms=300)
            await asyncio.gather(*calls)
            assert len(replicas[0].arrivals) <= MOST

    asyncio.run(check())


class Silence:
    """The limit of one host, and an upstream that has its places taken."""

    def __init__(self, slots: int = SLOTS) -> None:
        self.clock = ManualClock(10.0)
        self.unanswered = UnansweredRequests(
            self.clock, Metrics(), StallWatch(self.clock, Metrics())
        )
        self.reports = SilenceReports(self.clock)
        self.limit = SilenceLimit(
            self.unanswered, self.reports, self.clock, Metrics()
        )
        replica = ReplicaStandIn("u1", "plain", HEADER_NAMES, slots=slots)
        upstream = build_upstream(replica.entry(), {})
        assert upstream is not None
        self.upstream: Upstream = upstream

    def allows(self, load: int = MOST) -> bool:
        return self.limit.allows(self.upstream, load)


def test_a_silent_upstream_may_have_its_places_and_two():
    silence = Silence()
    request = silence.unanswered.open(silence.upstream)
    assert silence.allows(load=100)
    silence.clock.now_s += 0.2
    assert not silence.allows()
    assert silence.allows(load=MOST - 1)
    request.record_bytes()
    assert silence.allows(load=100)


def test_an_upstream_that_owes_nothing_is_not_silent():
    silence = Silence()
    silence.unanswered.open(silence.upstream).end()
    silence.clock.now_s += 5
    assert silence.allows(load=100)


def test_hosts_tell_each_other_of_a_silent_upstream_until_it_goes_on():
    silence = Silence()
    request = silence.unanswered.open(silence.upstream)
    silence.clock.now_s += 0.2
    silence.allows()
    assert silence.reports.has("u1")
    request.record_bytes()
    silence.allows()
    silence.clock.now_s += REPORT_TTL_MS / 1_000
    assert not silence.reports.has("u1")


def test_what_others_tell_counts_for_a_host_that_has_heard_nothing():
    silence = Silence()
    silence.reports.report("u1")
    assert not silence.allows()
    silence.unanswered.open(silence.upstream).record_bytes()
    assert silence.allows()


def test_an_upstream_without_known_places_has_no_limit():
    silence = Silence(slots=0)
    silence.unanswered.open(silence.upstream)
    silence.clock.now_s += 5
    assert silence.allows(load=100)


def test_calls_go_elsewhere_once_one_was_given_up_on_at_a_silent_upstream():
    replicas = make_replicas(2)
    silent = replicas[0]

    async def check() -> None:
        async with (
            asyncio.timeout(DEADLINE_S),
            RelayHarness(replicas) as world,
        ):
            world.configure()
            silent.behave = hang
            statuses = []
            while 504 not in statuses:
                answer = await world.call("/order/1", "r1", deadline_ms=600)
                statuses.append(answer.status)
            arrived = len(silent.arrivals)
            for _ in range(10):
                answer = await world.call("/order/1", "r1", deadline_ms=600)
                assert answer.status == 200
            assert len(silent.arrivals) == arrived

    asyncio.run(check())
