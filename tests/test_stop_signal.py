"""Test when a signal to stop counts as received."""

import asyncio
import os
import signal
import time

import pytest
from _manual_clock import ManualClock

from balsamlift._stop_signal import StopSignal
from balsamlift.clock import SystemClock

LATE_S = 0.3


@pytest.fixture(autouse=True)
def _restore_handler() -> object:
    before = signal.getsignal(signal.SIGUSR1)
    yield
    signal.signal(signal.SIGUSR1, before)


def test_the_time_of_a_signal_is_right_while_the_loop_is_late() -> None:
    """The grace period began when the loop first had the processor."""

    async def test() -> None:
        stop = StopSignal(SystemClock())
        stop.install([signal.SIGUSR1])
        os.kill(os.getpid(), signal.SIGUSR1)
        time.sleep(LATE_S)
        await asyncio.wait_for(stop.wait(), 10.0)
        assert stop.left_s(60.0) <= 60.0 - LATE_S

    asyncio.run(test())


def test_what_is_left_counts_from_the_first_signal() -> None:
    async def test() -> None:
        clock = ManualClock(5.0)
        stop = StopSignal(clock)
        stop.install([signal.SIGUSR1])
        assert stop.left_s(3.0) == 3.0
        for now_s in (7.0, 8.0):
            clock.now_s = now_s
            os.kill(os.getpid(), signal.SIGUSR1)
        assert stop.left_s(3.0) == 2.0
        clock.now_s = 20.0
        assert stop.left_s(3.0) == 0.0

    asyncio.run(test())
