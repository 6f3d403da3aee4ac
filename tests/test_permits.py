"""Permits for upstreams that name a rate limit, among many hosts."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import pytest
from _permit_hosts import UPSTREAM, Fleet, tolerated
from _virtual_time import run_virtual
from hypothesis import given
from hypothesis import strategies as st

from balsamlift.peers._permit_bucket import (
    BURST_S,
    MIN_BURST,
    PROBE_INTERVAL_S,
    RESUMED_EXTRA,
    PermitBucket,
)

REQUESTS_PER_S = 25.0  # that callers ask for; more than any limit here
LENGTH_S = 40.0
MIN_USED_FRACTION = 0.8  # while callers ask for more and hosts are calm

Disturbance = Callable[[Fleet], Awaitable[None]]


async def calm(fleet: Fleet) -> None:
    pass


async def granting_host_restarts(fleet: Fleet) -> None:
    for _ in range(4):
        await asyncio.sleep(7.0)
        fleet.restart(fleet.granting_host())


async def granting_host_freezes(fleet: Fleet) -> None:
    for duration_s in (0.5, 1.2, 3.0, 6.0):
        await asyncio.sleep(4.0)
        await fleet.freeze(fleet.granting_host(), duration_s)


async def all_hosts_restart(fleet: Fleet) -> None:
    await asyncio.sleep(10.0)
    for host in list(fleet.hosts):
        fleet.restart(host.number)


async def hosts_join(fleet: Fleet) -> None:
    for _ in range(len(fleet.hosts)):
        await asyncio.sleep(20.0 / len(fleet.hosts))
        fleet.add_host()


async def halves_are_cut_off(fleet: Fleet) -> None:
    await asyncio.sleep(10.0)
    fleet.partition(2)


async def requests_come_at_once(fleet: Fleet) -> None:
    for _ in range(3):
        await asyncio.sleep(9.0)
        await fleet.burst(4 * len(fleet.hosts))


DISTURBANCES = [
    calm,
    granting_host_restarts,
    granting_host_freezes,
    all_hosts_restart,
    hosts_join,
    halves_are_cut_off,
    requests_come_at_once,
]


async def run_fleet(
    hosts: int, limit_per_s: float, disturb: Disturbance, seed: int = 1
) -> Fleet:
    fleet = Fleet(hosts, seed, limit_per_s)
    disturbing = asyncio.ensure_future(disturb(fleet))
    await fleet.run(LENGTH_S, REQUESTS_PER_S)
    disturbing.cancel()
    fleet.stop()
    return fleet


@pytest.mark.parametrize("disturb", DISTURBANCES)
@pytest.mark.parametrize("limit_per_s", [0.0, 0.4, 1.9, 2.4])
@pytest.mark.parametrize("hosts", [7, 87, 195])
def test_all_hosts_together_keep_a_rate_limit(
    hosts: int, limit_per_s: float, disturb: Disturbance
) -> None:
    async def test() -> None:
        fleet = await run_fleet(hosts, limit_per_s, disturb)
        assert len(fleet.arrivals) > 4
        assert fleet.most_in_a_window() <= tolerated(limit_per_s)

    run_virtual(test)


@pytest.mark.parametrize("limit_per_s", [0.4, 1.9, 2.4, 12.0])
@pytest.mark.parametrize("hosts", [1, 7, 87, 195])
def test_calm_hosts_use_most_of_a_rate_limit(
    hosts: int, limit_per_s: float
) -> None:
    async def test() -> None:
        fleet = Fleet(hosts, 1, limit_per_s)
        await fleet.run(5.0, REQUESTS_PER_S)
        from_s = asyncio.get_running_loop().time()
        await fleet.run(LENGTH_S, REQUESTS_PER_S)
        assert fleet.used_fraction(from_s) >= MIN_USED_FRACTION
        fleet.stop()

    run_virtual(test)


@pytest.mark.parametrize(
    "limits_per_s", [(2.4, 0.4), (0.4, 2.4), (2.4, 0.0, 1.9), (6.0, 1.1, 0.0)]
)
@pytest.mark.parametrize("hosts", [7, 87])
def test_hosts_follow_a_limit_that_changes(
    hosts: int, limits_per_s: tuple[float, ...]
) -> None:
    async def test() -> None:
        fleet = Fleet(hosts, 3, limits_per_s[0])
        for limit_per_s in limits_per_s:
            fleet.arrivals.clear()
            fleet.name_limit(limit_per_s)
            await fleet.run(20.0, REQUESTS_PER_S)
            assert fleet.most_in_a_window() <= tolerated(limit_per_s)
        fleet.stop()

    run_virtual(test)


@pytest.mark.parametrize("limit_per_s", [0.0, 1.9])
@pytest.mark.parametrize("hosts", [7, 87, 195])
def test_all_hosts_learn_that_a_limit_has_ended(
    hosts: int, limit_per_s: float
) -> None:
    """Also those that send nothing, and also when the limit allows nothing."""

    async def test() -> None:
        fleet = Fleet(hosts, 2, limit_per_s)
        await fleet.run(10.0, REQUESTS_PER_S)
        assert any(host.permits.is_limited(UPSTREAM) for host in fleet.hosts)
        fleet.name_limit(None)
        await fleet.run(PROBE_INTERVAL_S + 1.0, REQUESTS_PER_S)
        limited = [h for h in fleet.hosts if h.permits.is_limited(UPSTREAM)]
        assert limited == []
        fleet.stop()

    run_virtual(test)


def grant_as_any_host(hosts: Iterable[str], subject: str) -> str:
    """Return the name of the host that asks, in place of the first one."""
    return next(iter(hosts))


def grant_whole_limit(limit: float, live: int, known: int) -> float:
    """Return the limit, whichever hosts are live."""
    return limit


@pytest.mark.parametrize(
    ("disturb", "name", "variant"),
    [
        (calm, "balsamlift.peers._permits.first_host", grant_as_any_host),
        (
            halves_are_cut_off,
            "balsamlift.peers._permits.live_share",
            grant_whole_limit,
        ),
    ],
)
def test_variants_of_the_permits_exceed_the_limit(
    monkeypatch: pytest.MonkeyPatch,
    disturb: Disturbance,
    name: str,
    variant: object,
) -> None:
    """Each host grants for itself, or each half grants the whole limit."""
    monkeypatch.setattr(name, variant)

    async def test() -> None:
        fleet = await run_fleet(7, 2.4, disturb)
        assert fleet.most_in_a_window() > tolerated(2.4)

    run_virtual(test)


def test_without_a_limit_no_host_asks_another() -> None:
    async def test() -> None:
        fleet = Fleet(87, 2, None)
        await fleet.run(10.0, REQUESTS_PER_S)
        assert fleet.asked_other_hosts == 0
        assert len(fleet.arrivals) > 200
        fleet.stop()

    run_virtual(test)


STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 1.5),  # pause
        st.sampled_from(["now", "later", "resumed"]),
    ),
    max_size=60,
)


@given(rate_per_s=st.floats(0.0, 20.0), steps=STEPS)
def test_a_bucket_never_lets_more_through_than_its_bound(
    rate_per_s: float, steps: list[tuple[float, str]]
) -> None:
    now_s = 100.0
    bucket = PermitBucket(now_s)
    sent_s: list[float] = []
    for pause_s, kind in steps:
        now_s += pause_s
        bucket.set_rate(rate_per_s, now_s)
        if kind == "resumed":
            wait_s = 0.0 if bucket.take_resumed(now_s) else None
        else:
            wait_s = bucket.take(now_s, 2.0 if kind == "later" else 0.0)
        if wait_s is not None:
            sent_s.append(now_s + wait_s)
    rate_per_s = max(rate_per_s, 1 / PROBE_INTERVAL_S)
    burst = max(MIN_BURST, rate_per_s * BURST_S) + RESUMED_EXTRA
    for start_s in sent_s:
        in_window = sum(start_s <= at_s < start_s + 4.0 for at_s in sent_s)
        assert in_window <= rate_per_s * 4.0 + burst + 1e-6


def test_denied_callers_are_told_to_return_one_after_the_other() -> None:
    bucket = PermitBucket(0.0)
    bucket.set_rate(2.0, 0.0)
    returns_s = [bucket.reserve_return(0.0) for _ in range(4)]
    assert returns_s == [1.0, 1.5, 2.0, 2.5]
