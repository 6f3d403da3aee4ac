"""Times for which an upstream asked a host for no requests."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs
import pytest
from _manual_clock import ManualClock
from _virtual_time import LoopClock, run_virtual

from balsamlift.metrics import Metrics
from balsamlift.relay.statements._retry_after import (
    MAX_RESUMES,
    MAX_UPSTREAMS,
    RECOVERY_S,
    RETURN_SPREAD_S,
    TRIAL_TIMEOUT_S,
    RetryAfterTracker,
)

GRACE_S = 0.5  # after a refusal, for requests that are on their way
MOST_TOLERATED = 2  # requests in the time, after the grace
RETRY_AFTER_S = 3.0


@attrs.define
class Tracked:
    """A tracker of one upstream, and its clock."""

    clock: ManualClock = attrs.field(factory=lambda: ManualClock(100.0))
    tracker: RetryAfterTracker = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        rng = random.Random(3)
        self.tracker = RetryAfterTracker(self.clock, Metrics(), rng)

    def refuse(self, retry_after_s: float) -> None:
        self.tracker.record("e1", retry_after_s)

    def respond(self, *, took_s: float) -> None:
        """Receive a response to a request that was sent `took_s` before."""
        self.tracker.record_response("e1", self.clock.now_s - took_s)

    def pauses_after(self, passed_s: float) -> bool:
        self.clock.now_s += passed_s
        return self.tracker.is_pausing("e1")


def test_a_time_ends_soon_after_its_end() -> None:
    tracked = Tracked()
    tracked.refuse(RETRY_AFTER_S)
    assert tracked.pauses_after(RETRY_AFTER_S)
    assert not tracked.pauses_after(RETURN_SPREAD_S)
    assert tracked.tracker.wait_s("e1") == 0.0


def test_a_shorter_time_does_not_cut_it_and_a_longer_one_extends_it() -> None:
    tracked = Tracked()
    tracked.refuse(RETRY_AFTER_S)
    tracked.refuse(0.1)
    tracked.refuse(0.0)
    assert tracked.pauses_after(RETRY_AFTER_S - 0.1)
    tracked.refuse(RETRY_AFTER_S)
    assert tracked.pauses_after(RETRY_AFTER_S)


def test_a_response_that_was_overtaken_does_not_end_it() -> None:
    tracked = Tracked()
    tracked.refuse(RETRY_AFTER_S)
    assert tracked.pauses_after(1.0)
    tracked.respond(took_s=1.5)
    assert tracked.tracker.is_pausing("e1")


def test_one_request_at_a_time_is_sent_until_one_is_answered() -> None:
    tracked = Tracked()
    tracked.refuse(RETRY_AFTER_S)
    assert not tracked.pauses_after(RETRY_AFTER_S + RETURN_SPREAD_S)
    tracked.tracker.record_send("e1")
    assert tracked.tracker.wait_s("e1") > 0
    tracked.clock.now_s += TRIAL_TIMEOUT_S
    assert tracked.tracker.wait_s("e1") == 0.0
    tracked.tracker.record_send("e1")
    assert tracked.tracker.wait_s("e1") > 0
    tracked.respond(took_s=0.0)
    assert tracked.tracker.wait_s("e1") == 0.0


def test_a_time_without_requests_after_it_is_forgotten() -> None:
    tracked = Tracked()
    tracked.refuse(RETRY_AFTER_S)
    tracked.clock.now_s += RETRY_AFTER_S + RETURN_SPREAD_S + RECOVERY_S
    tracked.tracker.discard_expired()
    tracked.tracker.record_send("e1")
    assert tracked.tracker.wait_s("e1") == 0.0


def test_few_generations_are_resumed_in_the_time() -> None:
    tracked = Tracked()
    assert all(tracked.tracker.take_resume("e1") for _ in range(5))
    tracked.refuse(RETRY_AFTER_S)
    taken = [tracked.tracker.take_resume("e1") for _ in range(5)]
    assert sum(taken) == MAX_RESUMES < MOST_TOLERATED


def test_upstreams_are_bounded_in_number() -> None:
    tracked = Tracked()
    for number in range(MAX_UPSTREAMS + 10):
        tracked.tracker.record(f"e{number}", RETRY_AFTER_S)
    assert not tracked.tracker.is_pausing("e0")
    assert tracked.tracker.is_pausing(f"e{MAX_UPSTREAMS + 9}")


class Fleet:
    """Hosts that call three upstreams, the first of which refuses."""

    upstreams = ("e0", "e1", "e2")

    def __init__(self, hosts: int, *, refuses_all: bool) -> None:
        self.rng = random.Random(hosts)
        clock = LoopClock()
        self.trackers = [
            RetryAfterTracker(clock, Metrics(), random.Random(f"{n}"))
            for n in range(hosts)
        ]
        self.refuses_all = refuses_all
        self.until_s = 0.0  # until which the first one refuses
        self.asked: dict[int, float] = {}  # when, by host
        self.broken: Counter[int] = Counter()  # by host
        self.refused = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.served: list[tuple[float, str]] = []

    async def run(self, length_s: float, per_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + length_s
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            task = asyncio.create_task(self._call(self._pick()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.sleep(0.1)

    def _pick(self) -> int:
        return self.rng.randrange(len(self.trackers))

    async def _call(self, host: int) -> None:
        tracker = self.trackers[host]
        free = [u for u in self.upstreams if not tracker.wait_s(u)]
        upstream = self.rng.choice(free)
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        tracker.record_send(upstream)
        await asyncio.sleep(0.003)
        if self._refuses(upstream, host):
            await self._refuse(upstream, host)
            return
        self.served.append((loop.time(), upstream))
        await asyncio.sleep(0.02)
        tracker.record_response(upstream, sent_s)

    def _refuses(self, upstream: str, host: int) -> bool:
        now_s = asyncio.get_running_loop().time()
        is_asked = self.refuses_all or host == 0
        return upstream == "e0" and is_asked and now_s < self.until_s

    async def _refuse(self, upstream: str, host: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self.refused += 1
        asked_s = self.asked.setdefault(host, now_s)
        self.broken[host] += now_s > asked_s + GRACE_S
        left_s = self.until_s - now_s
        await asyncio.sleep(0.003)
        self.trackers[host].record(upstream, left_s)


@pytest.mark.parametrize("per_s", [25.0, 400.0])
@pytest.mark.parametrize("hosts", [1, 7, 87, 195])
def test_no_host_sends_in_the_time_and_all_return_spread(
    hosts: int, per_s: float
) -> None:
    async def test() -> None:
        fleet = Fleet(hosts, refuses_all=True)
        fleet.until_s = RETRY_AFTER_S
        await fleet.run(RETRY_AFTER_S - 0.1, per_s)
        assert max(fleet.broken.values()) <= MOST_TOLERATED
        fleet.served.clear()
        await fleet.run(RETURN_SPREAD_S + 1.0, per_s)
        times = [at_s for at_s, name in fleet.served if name == "e0"]
        first_s = RETRY_AFTER_S
        at_once = sum(at_s < first_s + 0.05 for at_s in times)
        assert at_once <= max(per_s / 3 * 0.05 * 2, 2)
        fleet.served.clear()
        await fleet.run(4.0, per_s)
        share = sum(name == "e0" for _, name in fleet.served)
        assert share >= len(fleet.served) / 4

    run_virtual(test)


@pytest.mark.parametrize("hosts", [7, 87, 195])
def test_what_one_host_was_asked_takes_no_upstream_from_the_others(
    hosts: int,
) -> None:
    async def test() -> None:
        fleet = Fleet(hosts, refuses_all=False)
        fleet.until_s = RETRY_AFTER_S
        await fleet.run(RETRY_AFTER_S, 100.0)
        share = sum(name == "e0" for _, name in fleet.served)
        assert share >= len(fleet.served) / 4
        assert set(fleet.asked) <= {0}

    run_virtual(test)
