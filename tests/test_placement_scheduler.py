"""The scheduler of one host and its parts, in virtual time."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamlift.exceptions import RefusedError
from balsamlift.placement import (
    LoadReport,
    PlacementRequest,
    Policy,
    Scheduler,
)
from balsamlift.placement._engine import Engine
from balsamlift.placement._forecast import generation_profile
from balsamlift.placement._lengths import LengthEstimates, survival
from balsamlift.placement._queue import FairQueue
from balsamlift.placement._request import Ticket
from balsamlift.placement._short_turns import rotation_order, short_turn_at

POOL = "drafting"


def make_request(key, **fields):
    values = {"workspace": "w", "kind": "report", "pool": POOL}
    return PlacementRequest(key=key, **(values | fields))


def make_scheduler(policy=None, engines=3, memory=65_536):
    scheduler = Scheduler(policy or Policy(), seed=3)
    names = [f"e{i}" for i in range(engines)]
    scheduler.set_engines(POOL, [Engine(name, limit=1e3) for name in names])
    for name in names:
        load = LoadReport(
            running=0, queued=0, memory_used=0, memory_total=memory
        )
        scheduler.apply_report(POOL, name, load, 0.0)
    return scheduler


def fill(scheduler, count, now_ms=0.0, **fields):
    """Queue `count` requests; return the tickets placed."""
    for index in range(count):
        scheduler.enqueue(make_request(f"k{index}", **fields), now_ms)
    return scheduler.decide(now_ms).placed


def test_length_estimates_fall_back_to_the_kind_until_learned():
    estimates = LengthEstimates()
    for _ in range(100):
        estimates.observe("a", "report", 500)
    assert max(estimates.points("b", "report", 4_096)) == pytest.approx(
        500, rel=0.02
    )
    for _ in range(100):
        estimates.observe("b", "report", 50)
    assert max(estimates.points("b", "report", 4_096)) == 50


@given(
    st.lists(st.integers(1, 5_000), min_size=1, max_size=64),
    st.integers(0, 6_000),
    st.integers(0, 4_000),
)
def test_survival_is_a_decreasing_probability(points, produced, ahead):
    points = sorted(points)
    probability = survival(points, produced, ahead)
    assert 0.0 <= probability <= 1.0
    assert survival(points, produced, ahead + 100) <= probability


def test_memory_forecast_depends_on_tokens_produced():
    points = [100] * 60 + [5_000] * 4
    new = generation_profile(100, 0, points)
    running = generation_profile(100, 150, points)
    assert running.peak > 4 * new.peak


def test_memory_limits_placements():
    scheduler = make_scheduler(engines=1, memory=10_000)
    placed = fill(scheduler, 50, prompt_tokens=1_000, max_tokens=1_000)
    assert 1 <= len(placed) <= 10


def test_reserved_headroom_is_kept_for_priority_0():
    policy = Policy(reserve_share=0.5, queue_requests=1_000)
    counts = []
    for priority in (0, 1):
        scheduler = make_scheduler(policy, engines=1, memory=20_000)
        counts.append(
            len(fill(scheduler, 60, priority=priority, max_tokens=4_000))
        )
    assert counts[0] > 1.5 * counts[1]


def test_many_hosts_together_take_at_most_half_more_than_one():
    alone = make_scheduler(engines=1, memory=20_000)
    most = len(fill(alone, 100, max_tokens=4_000))
    total = 0
    for seed in range(9):
        scheduler = make_scheduler(engines=1, memory=20_000)
        scheduler._random = Random(seed)
        scheduler.hosts = 9
        total += len(fill(scheduler, 100, max_tokens=4_000))
    assert total <= 1.5 * most


def test_queue_shares_tokens_by_weight():
    queue = FairQueue()
    for index in range(400):
        for name, weight in (("large", 3.0), ("small", 1.0)):
            request = make_request(
                f"{name}{index}", workspace=name, weight=weight
            )
            queue.push(Ticket(request, 0.0, cost=300.0))
    left = [200]

    def place(ticket):
        left[0] -= 1
        return left[0] >= 0

    placed = queue.drain(place)
    large = sum(t.request.workspace == "large" for t in placed)
    assert large / len(placed) == pytest.approx(0.75, abs=0.02)


def test_full_queue_displaces_the_workspace_with_the_largest_backlog():
    scheduler = make_scheduler(Policy(queue_requests=5), engines=0)
    for index in range(5):
        scheduler.enqueue(make_request(f"k{index}", workspace="crowd"), 0.0)
    with pytest.raises(RefusedError):
        scheduler.enqueue(make_request("k6", workspace="crowd"), 0.0)
    scheduler.enqueue(make_request("k7", workspace="quiet"), 0.0)
    refused = scheduler.decide(0.0).refused
    assert [r.ticket.request.key for r in refused] == ["k4"]
    assert refused[0].error.reason == "queue_full"


def test_refuses_on_arrival_by_the_observed_rate():
    scheduler = make_scheduler(engines=1, memory=4_000)
    now_ms = 0.0
    error = None
    for index in range(400):
        now_ms += 50.0
        try:
            scheduler.enqueue(
                make_request(f"k{index}", max_tokens=900), now_ms
            )
        except RefusedError as caught:
            error = error or caught
        for ticket in scheduler.decide(now_ms).placed:
            scheduler.finish(ticket, 900)
    assert error is not None
    assert error.reason in ("deadline", "queue_full")
    assert error.retry_after_ms >= 50


def test_request_that_would_miss_its_deadline_is_refused_on_arrival():
    scheduler = make_scheduler()
    with pytest.raises(RefusedError) as caught:
        scheduler.enqueue(make_request("k", deadline_ms=10.0), 0.0)
    assert caught.value.reason == "deadline"


def test_slow_engines_are_ejected_and_return():
    scheduler = make_scheduler()
    fill(scheduler, 30, max_tokens=200)
    for engine in scheduler.engines(POOL):
        gap_ms = 500.0 if engine.name == "e0" else 25.0
        for at_ms in range(0, 3_000, 100):
            engine.observe_gap(gap_ms, float(at_ms))
    now_ms = 3_000.0
    scheduler.tick(now_ms)
    closed = [
        e.name for e in scheduler.engines(POOL) if e.is_closed(now_ms + 1)
    ]
    assert closed == ["e0"]
    slow = scheduler.engines(POOL)[0]
    assert not slow.is_closed(now_ms + Policy().eject_ms)
    back_ms = slow.ramp_up_start_ms
    shares = [
        slow.ramp_up_share(Policy(), back_ms + away) for away in (0, 2e3, 9e3)
    ]
    assert shares == sorted(shares)
    assert shares[0] < 0.2
    assert shares[-1] == 1.0


def test_each_engine_is_reserved_in_turn_one_at_a_time():
    rotation = rotation_order(f"e{i}" for i in range(5))
    policy = Policy()
    seen = set()
    for step in range(300):
        turn = short_turn_at(rotation, policy, step * 100.0)
        assert len(turn.reserved) == 1
        assert turn.reserved <= turn.closed_to_long
        assert len(turn.closed_to_long) <= 3
        seen |= turn.reserved
    assert seen == set(rotation)


def test_long_requests_avoid_the_reserved_engine():
    scheduler = make_scheduler(engines=5)
    (reserved,) = short_turn_at(
        rotation_order(e.name for e in scheduler.engines(POOL)),
        Policy(),
        3_000.0,
    ).reserved
    placed = fill(scheduler, 40, 3_000.0, max_tokens=200)
    assert {t.upstream for t in placed} == {
        e.name for e in scheduler.engines(POOL) if e.name != reserved
    }
    ticket = scheduler.enqueue(make_request("s", priority=0), 3_000.0)
    scheduler.decide(3_000.0)
    assert ticket.upstream == reserved


def test_wait_includes_tokens_served_to_other_workspaces():
    queue = FairQueue()
    for index in range(10):
        request = make_request(f"l{index}", workspace="large", weight=4.0)
        queue.push(Ticket(request, 0.0, cost=1_000.0))
    small = Ticket(make_request("s", workspace="small"), 0.0, cost=500.0)
    queue.push(small)
    assert queue.tokens_before("small", 500.0) == 500.0 + 4 * (500 + 256)
    assert queue.tokens_before("small", 50_000.0) == 50_000.0 + 10_000.0
    assert queue.remove(small)
    assert queue.cost("small") == 0.0
    assert queue.cost("large") == 10_000.0
