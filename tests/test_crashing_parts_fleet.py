"""Hosts of any number find the parts that crash engines, and no others."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import cast

import pytest
from _crashing_parts_fleet import CONTACT_S, CRASHES, Crowd, FakeCall, Fleet
from _virtual_time import LoopClock, run_virtual

from balsamlift.metrics import Metrics
from balsamlift.peers import HostRank, PartReports, PartState
from balsamlift.relay._request import Call
from balsamlift.relay.crashes._crash_detector import BrokenCall
from balsamlift.relay.crashes._part_guard import PartGuard, Verdict

MAX_LATE = 3
PART = "part"
LENGTH_S = 40.0
# Sound requests that wait for a trial; beyond the least, of all.
MAX_DOUBTFUL, MAX_DOUBTFUL_SHARE = 5, 1 / 50


def play(
    hosts: int, seed: int, crowd: Crowd, *, restarts: bool = False
) -> Fleet:
    fleets: list[Fleet] = []

    async def main() -> None:
        fleets.append(Fleet(hosts, seed, crowd))
        await fleets[0].run(LENGTH_S, restarts=restarts)

    run_virtual(main)
    return fleets[0]


def check(fleet: Fleet) -> None:
    for culprit, crashes_s in fleet.crashes_s.items():
        assert fleet.late_arrivals(culprit) <= MAX_LATE
        assert len(crashes_s) <= CRASHES + MAX_LATE
    sound = sum(not asked.culprits for asked in fleet.asked)
    assert fleet.sound("refused") == 0
    allowed_s = MAX_DOUBTFUL + MAX_DOUBTFUL_SHARE * sound
    assert fleet.sound("doubtful") <= allowed_s


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("hosts", [1, 7, 87, 195])
def test_a_part_that_crashes_engines_is_refused_by_all_hosts(
    hosts: int, seed: int
) -> None:
    """A host is killed every two seconds."""
    fleet = play(hosts, seed, Crowd(), restarts=hosts > 1)
    assert fleet.crashes_s
    check(fleet)
    if hosts > 1:
        late_s = 5.0 + 4 * CONTACT_S
        assert any(a.culprits and a.at_s > late_s for a in fleet.asked)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("hosts", [7, 87])
def test_engines_that_crash_by_themselves_get_no_part_refused(
    hosts: int, seed: int
) -> None:
    crowd = Crowd(culprits=(), own_crashes_per_s=1.0, longest_s=4.0)
    check(play(hosts, seed, crowd))


def draw_crowd(seed: int) -> Crowd:
    rng = random.Random(seed)
    culprits = tuple(f"culprit-{n}" for n in range(rng.randint(1, 3)))
    return Crowd(
        sound_per_s=rng.uniform(5.0, 40.0),
        crashing_per_s=rng.uniform(0.5, 5.0),
        culprits=culprits,
        longest_s=rng.uniform(0.5, 8.0),
        new_part_share=rng.uniform(0.0, 0.5),
        own_crashes_per_s=rng.choice([0.0, 0.0, 0.2]),
        engines=rng.randint(8, 20),
        crash_after_output=rng.random() < 0.2,
    )


@pytest.mark.parametrize("seed", range(24))
def test_drawn_crowds_lose_the_part_that_crashes_engines_alone(
    seed: int,
) -> None:
    check(play(7, seed, draw_crowd(seed), restarts=seed % 2 == 1))


def run_one_guard(
    test: Callable[[PartGuard, PartReports], Awaitable[None]],
) -> None:
    async def main() -> None:
        clock = LoopClock()
        reports = PartReports(clock)
        guard = PartGuard(reports, lambda _: HostRank(0, 1), clock, Metrics())
        await test(guard, reports)

    run_virtual(main)


def check_one(guard: PartGuard, request_id: str) -> Verdict:
    guard.discard_expired()
    return guard.check(cast(Call, FakeCall(request_id, (PART,))))


@pytest.mark.parametrize("is_crash", [True, False])
def test_one_request_is_tried_before_a_block_ends(is_crash: bool) -> None:
    """Where requests never cease, a part that was blocked wrongly gets free.

    Without the trial the block would end, or never.
    """

    async def test(guard: PartGuard, reports: PartReports) -> None:
        reports.report(PART, PartState.BLOCKED)
        for second in range(9 * 60):
            assert check_one(guard, f"a{second}") == "refused"
            await asyncio.sleep(1.0)
        assert check_one(guard, "trial") == "allowed"
        assert check_one(guard, "other") == "refused"
        assert check_one(guard, "trial") == "allowed"  # before it is sent
        await asyncio.sleep(0.5)
        if is_crash:
            guard.record_crash(
                BrokenCall("", "trial", (PART,), "i-1", False, True)
            )
        else:
            guard.record_run(cast(Call, FakeCall("trial", (PART,))))
        for second in range(8 * 60):
            await asyncio.sleep(1.0)
            expected = "refused" if is_crash else "allowed"
            assert check_one(guard, f"b{second}") == expected

    run_one_guard(test)
