"""What a cold upstream gets in any second, from all hosts together."""

import asyncio
import random
from collections.abc import Callable

import attrs
import pytest
from _relay_bench import USAGE, run, stream
from _virtual_time import LoopClock, run_virtual

from balsamlift.peers import HostRank, Upstream
from balsamlift.peers._host_ranks import find_rank
from balsamlift.relay import ColdLimits
from balsamlift.relay._cold_starts import (
    GROUPS,
    START_S,
    ColdStarts,
    host_share,
)
from balsamlift.testing.relay import (
    NAMES,
    RelayWorld,
    ReplicaStandIn,
    configuration,
)

LIMITS = ColdLimits(factor=1.5, extra_per_s=5.0)
MOST_LATE_S = 0.2  # between the choice of an upstream and the arrival there
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


def cut_into_groups(number: int) -> Views:
    """Hosts that know only those on their own side."""

    def view(host: int, now_s: float) -> list[str]:
        return [f"h{n}" for n in range(number) if n % GROUPS == host % GROUPS]

    return view


def half_join(number: int) -> Views:
    """Half of the hosts are new, and known to others one by one."""

    def view(host: int, now_s: float) -> list[str]:
        joined = max(now_s - JOIN_FROM_S, 0.0) / JOIN_LENGTH_S
        known = round(number * min(0.5 + joined / 2, 1.0))
        return [f"h{n}" for n in range(number) if n < known or n == host]

    return view


@pytest.mark.parametrize("views", [all_hosts, cut_into_groups, half_join])
@pytest.mark.parametrize("tolerated_per_s", [0.0, 3.0, 27.0])
@pytest.mark.parametrize("hosts", [8, 87, 195])
def test_all_hosts_together_keep_the_bound(
    hosts: int, tolerated_per_s: float, views: Callable[[int], Views]
) -> None:
    """Each host would send all that it has to the emptiest upstream."""
    rng = random.Random(5)
    view = views(hosts)
    arrived: list[float] = []

    async def play(number: int) -> None:
        loop = asyncio.get_running_loop()
        own = f"h{number}"

        def place(subject: str) -> HostRank:
            known = set(view(number, loop.time())) - {own}
            return find_rank(own, known, subject)

        cold_starts = ColdStarts(
            LIMITS, lambda pool: tolerated_per_s, place, LoopClock()
        )
        cold = upstream(cold_until_s=100.0)
        while loop.time() < START_S + LENGTH_S:
            await asyncio.sleep(rng.expovariate(200 / hosts))
            if cold_starts.allows(cold):
                cold_starts.sending(cold)
                arrived.append(loop.time() + rng.uniform(0, MOST_LATE_S))

    async def main() -> None:
        await asyncio.gather(*(play(number) for number in range(hosts)))

    run_virtual(main)
    bound = tolerated_per_s * LIMITS.factor + LIMITS.extra_per_s
    assert arrived
    assert most_in_a_second(arrived) <= bound


@pytest.mark.parametrize("tolerated_per_s", [0.0, 1.0, 3.0, 27.0, 500.0])
@pytest.mark.parametrize("hosts", [1, 8, 87, 195])
def test_shares_add_up_to_what_a_group_may_send(
    hosts: int, tolerated_per_s: float
) -> None:
    shares = [
        host_share(HostRank(position, hosts), tolerated_per_s, LIMITS)
        for position in range(hosts)
    ]
    bound = tolerated_per_s * LIMITS.factor + LIMITS.extra_per_s
    assert 1 <= sum(shares) <= max(bound / GROUPS, 1)


def test_nothing_is_bound_without_limits_or_once_it_is_warm() -> None:
    async def test() -> None:
        def place(subject: str) -> HostRank:
            return HostRank(0, 1)

        cold = upstream(cold_until_s=50.0)
        free = ColdStarts(None, lambda pool: 0.0, place, LoopClock())
        untold = ColdStarts(LIMITS, lambda pool: None, place, LoopClock())
        bound = ColdStarts(LIMITS, lambda pool: 0.0, place, LoopClock())
        assert free.allows(cold)
        assert untold.allows(cold)
        assert not bound.allows(cold)  # it does not know the others yet
        await asyncio.sleep(START_S)
        assert bound.allows(cold)
        bound.sending(cold)
        assert not bound.allows(cold)
        await asyncio.sleep(50.0)
        for _ in range(20):
            assert bound.allows(cold)
            bound.sending(cold)
        again = upstream(cold_until_s=70.0)  # cold once more
        assert not bound.allows(again)

    run_virtual(test)


@pytest.mark.parametrize(
    ("path", "pool"), [("/view/1", "plain"), ("/draft/1", "model")]
)
def test_work_goes_to_warm_upstreams_beyond_the_bound(
    path: str, pool: str
) -> None:
    async def test() -> None:
        cold, warm = (ReplicaStandIn(f"i-{n}", pool, NAMES) for n in "12")
        if pool == "model":
            cold.behave = warm.behave = stream
        cold.cold_ms = 60_000
        async with RelayWorld([cold, warm], cold_limits=LIMITS) as world:
            services = [
                attrs.evolve(service, cold_per_s=0.0)
                for service in configuration().services
            ]
            world.configure(services=tuple(services))
            for n in range(6):
                answer = await world.call(path, f"r{n}", headers=USAGE)
                assert answer.status == 200
            # This host has just started: none yet.
            assert len(warm.arrivals) == 6
            assert not cold.arrivals
            cold.cold_ms, cold.written = 0, 1
            while not world.relay._balancer._tolerates(
                world.upstreams.find("i-1")
            ):
                await asyncio.sleep(0.01)
            calls = [world.call(path, f"w{n}", headers=USAGE) for n in "1234"]
            await asyncio.gather(*calls)
            assert cold.arrivals

    run(test())


def test_an_upstream_is_warm_when_it_said_so_however_often_it_is_read() -> (
    None
):
    async def test() -> None:
        (one,) = [ReplicaStandIn("i-1", "plain", NAMES)]
        one.cold_ms = 300
        async with RelayWorld([one]) as world:
            began_s = world.clock.monotonic()
            until_s = world.upstreams.find("i-1").cold_until_s
            assert began_s < until_s <= began_s + 0.3
            await asyncio.sleep(0.2)
            assert world.upstreams.find("i-1").cold_until_s == until_s
            one.written = 1  # cold anew
            while world.upstreams.find("i-1").cold_until_s == until_s:
                await asyncio.sleep(0.01)
            assert world.upstreams.find("i-1").cold_until_s > until_s

    run(test())
