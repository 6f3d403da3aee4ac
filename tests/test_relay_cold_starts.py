"""Limit of the requests that all hosts send to a cold upstream per second."""

import asyncio
import random
from collections.abc import Callable

import attrs
import pytest
from _relay_helpers import USAGE, run, stream
from _virtual_time import LoopClock, run_virtual

from balsamlift.peers import HostRank, Upstream
from balsamlift.peers._host_ranks import find_rank
from balsamlift.relay import ColdLimits
from balsamlift.relay._cold_starts import (
    MEMBERSHIP_GROUPS,
    STARTUP_S,
    ColdStartLimiter,
    host_share,
)
from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaStandIn,
    configuration,
)

LIMITS = ColdLimits(factor=1.5, extra_per_s=5.0)
MAX_DELAY_S = 0.2  # from the choice of an upstream to the arrival there
LENGTH_S = 8.0
JOIN_FROM_S, JOIN_LENGTH_S = 6.0, 2.0


def upstream(cold_until_s: float) -> Upstream:
    return Upstream(
        name="e1",
        pool="model",
        kind="service",
        address="10.0.0.1:80",
        failure_domain="north",
        cold_until_s=cold_until_s,
    )


def most_in_a_second(times: list[float]) -> int:
    return max(
        sum(start <= at < start + 1.0 for at in times) for start in times
    )


Views = Callable[[int, float], list[str]]


def all_hosts(number: int) -> Views:
    return lambda host, now_s: [f"h{n}" for n in range(number)]


def partitioned(number: int) -> Views:
    """Hosts in partitions, which know only hosts in the same one."""

    def view(host: int, now_s: float) -> list[str]:
        return [
            f"h{n}"
            for n in range(number)
            if n % MEMBERSHIP_GROUPS == host % MEMBERSHIP_GROUPS
        ]

    return view


def half_joining(number: int) -> Views:
    """Half of the hosts are new, and become known one after the other."""

    def view(host: int, now_s: float) -> list[str]:
        joined = max(now_s - JOIN_FROM_S, 0.0) / JOIN_LENGTH_S
        known = round(number * min(0.5 + joined / 2, 1.0))
        return [f"h{n}" for n in range(number) if n < known or n == host]

    return view


@pytest.mark.parametrize("views", [all_hosts, partitioned, half_joining])
@pytest.mark.parametrize("tolerated_per_s", [0.0, 3.0, 27.0])
@pytest.mark.parametrize("hosts", [8, 87, 195])
def test_all_hosts_together_stay_within_the_limit(
    hosts: int, tolerated_per_s: float, views: Callable[[int], Views]
) -> None:
    """Without a limit, all hosts would send to the least loaded upstream."""
    rng = random.Random(5)
    view = views(hosts)
    arrived: list[float] = []

    async def run_host(number: int) -> None:
        loop = asyncio.get_running_loop()
        own = f"h{number}"

        def rank(subject: str) -> HostRank:
            known = set(view(number, loop.time())) - {own}
            return find_rank(own, known, subject)

        limiter = ColdStartLimiter(
            LIMITS, lambda pool: tolerated_per_s, rank, LoopClock()
        )
        cold = upstream(cold_until_s=100.0)
        while loop.time() < STARTUP_S + LENGTH_S:
            await asyncio.sleep(rng.expovariate(200 / hosts))
            if limiter.allows(cold):
                limiter.record_send(cold)
                arrived.append(loop.time() + rng.uniform(0, MAX_DELAY_S))

    async def main() -> None:
        await asyncio.gather(*(run_host(number) for number in range(hosts)))

    run_virtual(main)
    limit = tolerated_per_s * LIMITS.factor + LIMITS.extra_per_s
    assert arrived
    assert most_in_a_second(arrived) <= limit


@pytest.mark.parametrize("tolerated_per_s", [0.0, 1.0, 3.0, 27.0, 500.0])
@pytest.mark.parametrize("hosts", [1, 8, 87, 195])
def test_shares_add_up_to_the_limit_of_a_group(
    hosts: int, tolerated_per_s: float
) -> None:
    shares = [
        host_share(HostRank(position, hosts), tolerated_per_s, LIMITS)
        for position in range(hosts)
    ]
    limit = tolerated_per_s * LIMITS.factor + LIMITS.extra_per_s
    assert 1 <= sum(shares) <= max(limit / MEMBERSHIP_GROUPS, 1)


def test_no_limit_applies_without_settings_or_once_warm() -> None:
    async def test() -> None:
        def rank(subject: str) -> HostRank:
            return HostRank(0, 1)

        cold = upstream(cold_until_s=50.0)
        unlimited = ColdStartLimiter(None, lambda pool: 0.0, rank, LoopClock())
        without_tolerance = ColdStartLimiter(
            LIMITS, lambda pool: None, rank, LoopClock()
        )
        limited = ColdStartLimiter(LIMITS, lambda pool: 0.0, rank, LoopClock())
        assert unlimited.allows(cold)
        assert without_tolerance.allows(cold)
        assert not limited.allows(cold)  # other hosts are not known yet
        await asyncio.sleep(STARTUP_S)
        assert limited.allows(cold)
        limited.record_send(cold)
        assert not limited.allows(cold)
        await asyncio.sleep(50.0)
        for _ in range(20):
            assert limited.allows(cold)
            limited.record_send(cold)
        again = upstream(cold_until_s=70.0)  # cold again
        assert not limited.allows(again)

    run_virtual(test)


@pytest.mark.parametrize(
    ("path", "pool"), [("/view/1", "plain"), ("/draft/1", "model")]
)
def test_requests_beyond_the_limit_go_to_warm_upstreams(
    path: str, pool: str
) -> None:
    async def test() -> None:
        cold, warm = (
            ReplicaStandIn(f"i-{n}", pool, HEADER_NAMES) for n in "12"
        )
        if pool == "model":
            cold.behave = warm.behave = stream
        cold.cold_ms = 60_000
        async with RelayHarness([cold, warm], cold_limits=LIMITS) as world:
            services = [
                attrs.evolve(service, cold_requests_per_s=0.0)
                for service in configuration().services
            ]
            world.configure(services=tuple(services))
            for n in range(6):
                answer = await world.call(path, f"r{n}", headers=USAGE)
                assert answer.status == 200
            # This host has just started, so its share is 0.
            assert len(warm.arrivals) == 6
            assert not cold.arrivals
            cold.cold_ms, cold.written = 0, 1
            while not world.relay._balancer._allows_cold_start(
                world.upstreams.find("i-1")
            ):
                await asyncio.sleep(0.01)
            calls = [world.call(path, f"w{n}", headers=USAGE) for n in "1234"]
            await asyncio.gather(*calls)
            assert cold.arrivals

    run(test())


def test_rereading_an_upstream_does_not_extend_its_cold_start() -> None:
    async def test() -> None:
        (one,) = [ReplicaStandIn("i-1", "plain", HEADER_NAMES)]
        one.cold_ms = 300
        async with RelayHarness([one]) as world:
            began_s = world.clock.monotonic()
            until_s = world.upstreams.find("i-1").cold_until_s
            assert began_s < until_s <= began_s + 0.3
            await asyncio.sleep(0.2)
            assert world.upstreams.find("i-1").cold_until_s == until_s
            one.written = 1  # cold again
            while world.upstreams.find("i-1").cold_until_s == until_s:
                await asyncio.sleep(0.01)
            assert world.upstreams.find("i-1").cold_until_s > until_s

    run(test())
