"""A host that stood still has read nothing: silence then says nothing."""

import asyncio
import time

import pytest
from _manual_clock import ManualClock

from balsamlift.clock import SystemClock
from balsamlift.metrics import Metrics
from balsamlift.peers._upstream import build_upstream
from balsamlift.relay.health import (
    OpenRequest,
    StallWatch,
    UnansweredRequests,
)
from balsamlift.relay.health._stall_watch import STALL_S, TICK_INTERVAL_S
from balsamlift.testing.relay import HEADER_NAMES, ReplicaStandIn


async def watch_a_stall(stall_s: float) -> tuple[StallWatch, float]:
    """Return the watch, and when the loop went on."""
    stalls = StallWatch(SystemClock(), Metrics())
    task = asyncio.create_task(stalls.run())
    await asyncio.sleep(2 * TICK_INTERVAL_S)
    time.sleep(stall_s)
    went_on_s = time.monotonic()
    assert stalls.is_just_over() == (stall_s > STALL_S)
    await asyncio.sleep(TICK_INTERVAL_S)
    task.cancel()
    return stalls, went_on_s


def test_a_stall_is_known_from_the_moment_at_which_it_is_over():
    stalls, went_on_s = asyncio.run(watch_a_stall(2 * STALL_S))
    assert abs(stalls.went_on_s() - went_on_s) < TICK_INTERVAL_S


def test_a_loop_that_makes_its_turns_does_not_stall():
    stalls, _ = asyncio.run(watch_a_stall(0.0))
    assert not stalls.is_just_over()


def test_a_watch_that_was_not_started_knows_of_no_stall():
    clock = ManualClock()
    stalls = StallWatch(clock, Metrics())
    clock.now_s += 10
    assert not stalls.is_just_over()


class Host:
    """A host that waits for an answer of one upstream."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.stalls = StallWatch(self.clock, Metrics())
        self.unanswered = UnansweredRequests(
            self.clock, Metrics(), self.stalls
        )
        self.stalls.tick()

    def send(self) -> OpenRequest:
        upstream = build_upstream(
            ReplicaStandIn("u1", "plain", HEADER_NAMES).entry(), {}
        )
        assert upstream is not None
        return self.unanswered.open(upstream)

    def tick_late(self, stall_s: float, times: int = 1) -> None:
        """Make turns that are late by a time each."""
        for _ in range(times):
            self.clock.now_s += TICK_INTERVAL_S + stall_s
            self.stalls.tick()

    def is_silent_for(self, request: OpenRequest, least_s: float) -> bool:
        return self.unanswered.was_silent_for("u1", request.sent_s, least_s)


def test_no_upstream_is_silent_for_the_time_of_a_stall():
    host = Host()
    host.clock.now_s += TICK_INTERVAL_S
    request = host.send()
    host.clock.now_s += 5
    assert host.unanswered.silent_s("u1") == 0
    assert not host.is_silent_for(request, 0.4)
    host.stalls.tick()
    host.clock.now_s += TICK_INTERVAL_S
    assert host.unanswered.silent_s("u1") == pytest.approx(TICK_INTERVAL_S)


def test_a_silence_counts_on_after_each_stall():
    host = Host()
    request = host.send()
    host.tick_late(0.15, times=5)
    assert host.unanswered.silent_s("u1") == pytest.approx(0.5)
    host.clock.now_s += 0.15
    assert host.is_silent_for(request, 0.4)


def test_what_came_during_a_stall_may_be_read_before_it_counts_as_silence():
    host = Host()
    request = host.send()
    host.tick_late(0, times=5)
    host.tick_late(3.0)
    host.tick_late(0)
    assert not host.is_silent_for(request, 0.4)
    host.tick_late(0, times=2)
    assert host.is_silent_for(request, 0.4)


@pytest.mark.parametrize("stall_s", [0.0, 0.15, 3.0])
def test_the_time_awake_leaves_out_stalls_that_began_before(stall_s: float):
    host = Host()
    host.tick_late(stall_s, times=3)
    since_s = host.clock.now_s - stall_s / 2
    assert host.stalls.awake_s(since_s) == pytest.approx(0)
    host.tick_late(stall_s, times=2)
    assert host.stalls.awake_s(since_s) == pytest.approx(2 * TICK_INTERVAL_S)
