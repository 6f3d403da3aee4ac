"""After a stall, requests wait for the news of what happened meanwhile."""

import asyncio
import math

import attrs
import pytest
from _manual_clock import ManualClock

from balsamlift.metrics import Metrics
from balsamlift.relay._catch_up import MAX_WAIT_S, POLL_INTERVAL_S, CatchUp

MAX_AGE_S = 1.5


class SleepingClock(ManualClock):
    """A clock on which a sleep takes no time."""

    async def sleep(self, delay_s: float) -> None:
        self.now_s += delay_s
        await asyncio.sleep(0)


@attrs.define
class Source:
    """The list or the configuration, confirmed at a moment and for good."""

    clock: ManualClock
    confirmed_s: float
    news_s: float = math.inf  # from when on it is followed again
    max_age_s: float = MAX_AGE_S
    reads: int = 0

    @property
    def age_s(self) -> float:
        if self.clock.now_s >= self.news_s:
            return 0.0
        return self.clock.now_s - self.confirmed_s

    def read_soon(self) -> None:
        self.reads += 1


class Stalled:
    def __init__(self, went_on_s: float) -> None:
        self._went_on_s = went_on_s

    def went_on_s(self) -> float:
        return self._went_on_s


class World:
    """A host at the moment 100, after a stall of a few seconds."""

    def __init__(self, confirmed_s: float, went_on_s: float = 100.0) -> None:
        self.clock = SleepingClock(100.0)
        self.upstreams = Source(self.clock, confirmed_s)
        self.routing = Source(self.clock, confirmed_s)
        self.starts_requests = True
        self.catch_up = CatchUp(
            Stalled(went_on_s),  # type: ignore[arg-type]
            self.upstreams,  # type: ignore[arg-type]
            self.routing,  # type: ignore[arg-type]
            self.clock,
            Metrics(),
            lambda: self.starts_requests,
        )

    def hold(self) -> float:
        """Return for how long a request is held."""
        asyncio.run(self.catch_up.wait())
        return self.clock.now_s - 100.0


@pytest.mark.parametrize(
    ("list_s", "configuration_s"), [(100.1, 100.4), (100.4, 100.1)]
)
def test_a_request_waits_for_the_list_and_the_configuration(
    list_s: float, configuration_s: float
):
    world = World(confirmed_s=97.0)
    world.upstreams.news_s = list_s
    world.routing.news_s = configuration_s
    assert math.isclose(world.hold(), 0.4, abs_tol=2 * POLL_INTERVAL_S)
    assert world.upstreams.reads == 1


def test_a_request_goes_on_without_news_after_a_while():
    held_s = World(confirmed_s=90.0).hold()
    assert MAX_WAIT_S <= held_s <= MAX_WAIT_S + 2 * POLL_INTERVAL_S


@pytest.mark.parametrize(
    ("confirmed_s", "went_on_s"),
    [
        (99.0, 100.0),  # news that is as new as ever
        (90.0, 98.0),  # an outage of the store, the stall is long over
        (90.0, -math.inf),  # an outage without a stall
        (-math.inf, 100.0),  # nothing that could be confirmed
    ],
)
def test_a_request_is_held_for_a_stall_alone(
    confirmed_s: float, went_on_s: float
):
    assert World(confirmed_s, went_on_s).hold() == 0.0


def test_no_request_is_held_by_a_host_that_starts_none():
    world = World(confirmed_s=97.0)
    world.starts_requests = False
    assert world.hold() == 0.0
