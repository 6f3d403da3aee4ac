"""A host that stood still has read nothing: silence then says nothing."""

import asyncio
import time

from _manual_clock import ManualClock

from balsamlift.clock import SystemClock
from balsamlift.metrics import Metrics
from balsamlift.peers._upstream import build_upstream
from balsamlift.relay.health import StallWatch, UnansweredRequests
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


class StoppedHost(StallWatch):
    """A watch whose host has just gone on."""

    def went_on_s(self) -> float:
        return self._clock.monotonic()


def test_no_upstream_is_silent_for_the_time_of_a_stall():
    clock = ManualClock()
    unanswered = UnansweredRequests(
        clock, Metrics(), StoppedHost(clock, Metrics())
    )
    upstream = build_upstream(
        ReplicaStandIn("u1", "plain", HEADER_NAMES).entry(), {}
    )
    assert upstream is not None
    request = unanswered.open(upstream)
    clock.now_s += 5
    assert unanswered.silent_s("u1") == 0
    assert not unanswered.was_silent_for("u1", request.sent_s, 0.4)
