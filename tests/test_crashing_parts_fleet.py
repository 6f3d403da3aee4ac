"""Hosts of any number find the parts that crash engines, and no others."""

import random

import pytest
from _crashing_parts_fleet import CONTACT_S, CRASHES, Crowd, Fleet
from _virtual_time import run_virtual

MAX_LATE = 3
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
