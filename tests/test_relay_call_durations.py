"""Test what hosts learn and share about how long calls take."""

from collections import Counter

import pytest
from _manual_clock import ManualClock

from balsamlift.relay.shutdown import CallDurations
from balsamlift.relay.shutdown._durations import (
    BUCKET_GROWTH,
    MAX_KEYS,
    PERIOD_S,
)


class Values:
    """Values of a host, and those of another one."""

    def __init__(self, *, receives_pushed_counts: bool = True) -> None:
        self.receives_pushed_counts = receives_pushed_counts
        self.own: Counter[str] = Counter()
        self.others: dict[str, int] = {}

    def share_value(self, key: str, value: int) -> None:
        self.own[key] = value

    def other_counts(self, prefix: str) -> dict[str, int]:
        return {k: n for k, n in self.others.items() if k.startswith(prefix)}

    def shared(self) -> dict[str, int]:
        return {key: n for key, n in self.own.items() if n}


class World:
    """A host with the time and the values of a test."""

    def __init__(self, *, receives_pushed_counts: bool = True) -> None:
        self.clock = ManualClock(10 * PERIOD_S)
        self.values = Values(receives_pushed_counts=receives_pushed_counts)
        self.durations = CallDurations(self.values, self.clock)


@pytest.mark.parametrize("took_s", [0.0, 0.004, 0.2, 3.0, 90.0])
def test_the_longest_call_is_known_to_a_tenth(took_s: float) -> None:
    world = World()
    for each_s in (took_s / 3, took_s, took_s / 2):
        world.durations.observe("a", each_s)
    longest_s = world.durations.longest_s("a")
    assert longest_s is not None
    assert took_s <= longest_s <= max(took_s * BUCKET_GROWTH, 0.01) + 1e-9
    assert world.durations.longest_s("b") is None


def test_a_call_counts_for_one_to_two_periods() -> None:
    world = World()
    world.durations.observe("a", 3.0)
    world.clock.now_s += PERIOD_S
    world.durations.discard_expired()
    assert world.durations.longest_s("a") is not None
    world.clock.now_s += PERIOD_S
    world.durations.discard_expired()
    assert world.durations.longest_s("a") is None
    assert world.values.shared() == {}


def test_hosts_share_one_value_of_each_route() -> None:
    world, other = World(), World()
    for took_s in (0.2, 3.0, 0.5):
        world.durations.observe("a", took_s)
    assert len(world.values.shared()) == 1
    other.values.others = world.values.shared()
    assert other.durations.longest_s("a") == world.durations.longest_s("a")


def test_a_route_is_not_taken_for_one_whose_name_it_begins() -> None:
    world = World()
    world.durations.observe("a/b", 3.0)
    world.values.others = world.values.shared()
    assert world.durations.longest_s("a") is None


def test_nothing_is_shared_where_all_counts_are_sent_each_time() -> None:
    """Guard against sums of counts that grow with hosts times routes."""
    world = World(receives_pushed_counts=False)
    world.durations.observe("a", 3.0)
    assert world.values.own == {}
    assert world.durations.longest_s("a") is not None
    world = World()
    world.durations.observe("a", 3.0)
    world.values.receives_pushed_counts = False
    world.durations.discard_expired()
    assert world.values.shared() == {}


def test_routes_are_limited() -> None:
    world = World()
    for number in range(MAX_KEYS + 10):
        world.durations.observe(f"r{number}", 1.0)
    assert len(world.values.shared()) == MAX_KEYS
    assert world.durations.longest_s("r0") is None


@pytest.mark.parametrize(
    ("whole_s", "failed_s", "expected_s"),
    [(None, 0.005, None), (1.0, 0.005, 1.0), (1.0, 3.0, 3.0)],
)
def test_a_failed_call_shows_only_that_calls_take_longer(
    whole_s: float | None, failed_s: float, expected_s: float | None
) -> None:
    world = World()
    if whole_s is not None:
        world.durations.observe("a", whole_s)
    world.durations.observe("a", failed_s, is_whole=False)
    longest_s = world.durations.longest_s("a")
    if expected_s is None:
        assert longest_s is None
    else:
        assert longest_s is not None
        assert expected_s <= longest_s <= expected_s * BUCKET_GROWTH + 1e-9
