"""The order of waiting requests, within one host and over hosts."""

from collections import Counter

import attrs
import pytest

from balsamlift.placement import (
    Offer,
    WaitingGroup,
    WaitingLine,
    YieldLimit,
    groups_before,
    leaves_room,
)
from balsamlift.placement._host_order import MAX_YIELD_S


@attrs.define(eq=False)
class Request:
    """A waiting request."""

    workspace: str = "w"
    cost: float = 1_000.0
    priority: int = 0
    weight: float = 1.0
    scope: str = "any"
    in_time_until_s: float = 100.0


class Memory:
    """Free memory by scope, offered to the requests of a line."""

    def __init__(self, **free_tokens: float) -> None:
        self.free_tokens = free_tokens
        self.line: WaitingLine[Request] = WaitingLine()

    def push(self, *requests: Request) -> None:
        for request in requests:
            self.line.push(request)

    def place(
        self, tokens: float = 0, now_s: float = 0, scope: str = "any"
    ) -> list[Request]:
        self.free_tokens[scope] = self.free_tokens.get(scope, 0) + tokens
        return self.line.place(self._offer, now_s)

    def _offer(self, request: Request) -> Offer:
        if self.free_tokens.get(request.scope, 0) < request.cost:
            return Offer.NO_ROOM
        self.free_tokens[request.scope] -= request.cost
        return Offer.TAKEN


def test_late_requests_go_after_those_of_the_same_priority_in_time() -> None:
    memory = Memory()
    late = Request(in_time_until_s=1.0)
    in_time, less_urgent = Request(), Request(priority=1)
    memory.push(less_urgent, late, in_time)
    assert memory.place(3_000, now_s=2.0) == [in_time, late, less_urgent]


@pytest.mark.parametrize(("weight", "expected"), [(1.0, 50), (3.0, 75)])
def test_workspaces_share_by_weight_whatever_they_send(
    weight: float, expected: int
) -> None:
    memory = Memory()
    memory.push(*(Request("many") for _ in range(900)))
    memory.push(*(Request("few", weight=weight) for _ in range(90)))
    taken = Counter(memory.place(1_000)[0].workspace for _ in range(100))
    assert taken["few"] == pytest.approx(expected, abs=2)


def test_a_less_urgent_priority_earns_a_tenth_and_no_more() -> None:
    memory = Memory()
    memory.push(*(Request(priority=1) for _ in range(90)))
    taken: Counter[int] = Counter()
    for _ in range(110):
        memory.push(Request())
        taken[memory.place(1_000)[0].priority] += 1
    assert taken == {0: 100, 1: 10}


def test_a_large_request_is_overtaken_by_as_much_as_it_asks_for() -> None:
    memory = Memory()
    large = Request(cost=5_000)
    memory.push(large)
    overtaken = 0.0
    for _ in range(20):
        memory.push(Request())
        overtaken += sum(each.cost for each in memory.place(1_000))
        if large not in memory.line:
            break
    assert overtaken == 5_000 + large.cost
    assert len(memory.line) > 0  # blocked behind it until it fitted


def test_a_request_blocks_no_other_scope() -> None:
    memory = Memory(any=0)
    first, other = Request(cost=9_000), Request(scope="other")
    memory.push(first, *(Request() for _ in range(9)), other)
    memory.place(9_000 - 1)
    assert memory.place(1_000, scope="other") == [other]


def test_requests_behind_a_blocked_one_are_served_by_share() -> None:
    """To go round in vain must not even out the workspaces' deficits."""
    memory = Memory()
    memory.push(Request("large", cost=1e6))
    memory.push(*(Request("heavy", weight=3.0) for _ in range(90)))
    memory.push(*(Request("light") for _ in range(90)))
    taken = Counter(memory.place(1_000)[0].workspace for _ in range(80))
    assert taken["heavy"] == pytest.approx(60, abs=2)


def test_a_workspace_that_yields_is_passed_over() -> None:
    line: WaitingLine[Request] = WaitingLine()
    requests = [Request("a"), Request("a"), Request("b")]
    for request in requests:
        line.push(request)
    taken = line.place(
        lambda r: Offer.YIELDED if r is requests[0] else Offer.TAKEN, 0.0
    )
    assert taken == [requests[2]]


def test_tokens_before_a_new_request() -> None:
    line: WaitingLine[Request] = WaitingLine()
    for request in (
        Request("w"),
        Request("other", cost=9_000),
        Request("urgent", priority=-1),
        Request("later", priority=1),
        Request("elsewhere", scope="other"),
    ):
        line.push(request)
    # Urgent, its own, and as much again of the other workspace.
    assert line.tokens_before("any", 0, "w", 1.0, 500) == 1_000 * 2 + 1_500


def group(
    priority: int, workspace: str, held: int, weight: float = 1.0
) -> WaitingGroup:
    return WaitingGroup(
        priority=priority,
        workspace=workspace,
        weight=weight,
        waiting_tokens=5_000,
        request_tokens=1_000,
        held_tokens=held,
    )


@pytest.mark.parametrize(
    ("own", "other", "held", "expected"),
    [
        pytest.param(
            group(1, "a", 9),
            group(0, "b", 9),
            {},
            5_000,
            id="more urgent, held tokens not known",
        ),
        pytest.param(
            group(1, "a", 9),
            group(0, "b", 9),
            {0: 8_000, 1: 2_000},
            5_000,
            id="more urgent",
        ),
        pytest.param(
            group(1, "a", 9),
            group(0, "b", 9),
            {0: 9_500, 1: 500},
            0,
            id="more urgent, but this one is below its minimum",
        ),
        pytest.param(
            group(0, "a", 9),
            group(1, "b", 9),
            {0: 9_500, 1: 500},
            500,
            id="less urgent and below its minimum",
        ),
        pytest.param(
            group(0, "a", 9),
            group(1, "b", 9),
            {0: 8_000, 1: 2_000},
            0,
            id="less urgent",
        ),
        pytest.param(
            group(0, "a", 3_000), group(0, "b", 2_000), {}, 5_000, id="less"
        ),
        pytest.param(
            group(0, "a", 3_000), group(0, "b", 2_500), {}, 0, id="a tie"
        ),
        pytest.param(
            group(0, "a", 3_000),
            group(0, "b", 8_000, weight=3.0),
            {},
            5_000,
            id="less for its weight",
        ),
        pytest.param(
            group(0, "a", 3_000), group(0, "a", 3_000), {}, 0, id="the same"
        ),
    ],
)
def test_tokens_of_other_hosts_that_go_first(
    own: WaitingGroup,
    other: WaitingGroup,
    held: dict[int, int],
    expected: int,
) -> None:
    before = groups_before(own, [other], held)
    assert sum(each.waiting_tokens for each in before) == expected


def test_free_memory_is_enough_only_where_requests_fit() -> None:
    waiting = [attrs.evolve(group(0, "a", 0), request_tokens=2_500)]
    assert leaves_room([2_600, 2_600], waiting)
    assert leaves_room([5_000], waiting)
    assert not leaves_room([1_900, 1_900, 2_600], waiting)
    assert leaves_room([], [])


def test_free_memory_is_left_to_other_hosts_for_a_limited_time() -> None:
    limit: YieldLimit[str] = YieldLimit()
    others = [group(0, "b", 0)]
    end_s = MAX_YIELD_S + 0.1
    assert limit.allows("any", 1_000, others, 0.0)
    assert not limit.allows("any", 1_000, others, end_s)
    limit.record_no_room("any", 2_000)
    assert not limit.allows("any", 1_000, others, end_s)
    limit.record_no_room("any", 1_000)
    assert limit.allows("any", 1_000, others, end_s)
    assert limit.allows("any", 1_000, [group(0, "b", 1_000)], 2 * end_s)
    assert not limit.allows("any", 1_000, others, 3 * end_s)
    limit.prune(lambda scope: True)
    assert not limit.allows("any", 1_000, others, 3 * end_s)
    limit.prune(lambda scope: False)
    assert limit.allows("any", 1_000, others, 3 * end_s)
