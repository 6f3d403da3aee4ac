"""What hosts show operators of waiting requests and of engines."""

import asyncio
import random
from typing import Any, cast

import attrs
import pytest
from _listed_engines import POOL, SCOPE, ListedEngines
from _relay_helpers import USAGE, behave_all, hang_midway, run, until_arrived
from test_relay_memory_allocator import MAX_LOAD, TRAITS, OtherHosts

from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.peers import Peers, Upstreams
from balsamlift.relay._balance import Balancer
from balsamlift.relay._views import EngineRow, engine_rows, queue_rows
from balsamlift.relay.generations import EnginePaceRow, MemoryAllocator
from balsamlift.relay.generations._waiting_requests import MemoryRequest
from balsamlift.testing.relay import (
    HEADER_NAMES,
    WORKSPACE,
    RelayHarness,
    ReplicaStandIn,
)

WEIGHTS = {"large": 3.0}


class OtherWaitingHosts(OtherHosts):
    def counts_under(self, prefix: str) -> dict[str, int]:
        return {k: n for k, n in self.counts.items() if k.startswith(prefix)}


class OneHost:
    """The allocator of one host with a single engine."""

    def __init__(self) -> None:
        self.others = OtherWaitingHosts()
        self.listed = ListedEngines({"e1": "north"})
        self.balancer = Balancer(
            cast(Upstreams, self.listed),
            cast(Peers, self.others),
            SystemClock(),
            random.Random(5),
            "north",
        )
        self.allocator = MemoryAllocator(self.balancer)

    async def ask(self, workspace: str, tokens: int, priority: int) -> None:
        request = MemoryRequest(
            scope=SCOPE,
            traits=TRAITS,
            tokens=tokens,
            priority=priority,
            workspace=workspace,
        )
        await self.allocator.wait(request)


@pytest.mark.parametrize(
    ("group", "expected"),
    [
        pytest.param(
            (1, "large"),
            {
                "weight": 3.0,
                "waiting_requests": 2,
                "waiting_tokens": 5_000,
                "longest_wait_ms": 7_000,
            },
            id="waits here",
        ),
        pytest.param(
            (0, "elsewhere"),
            {"waiting_requests": 0, "waiting_tokens_elsewhere": 700},
            id="waits at another host",
        ),
        pytest.param(
            (0, "served"),
            {"waiting_requests": 0, "held_tokens": MAX_LOAD + 600},
            id="holds memory here and elsewhere",
        ),
    ],
)
def test_a_queue_row_shows_a_group_that(
    group: tuple[int, str], expected: dict[str, Any]
) -> None:
    async def test() -> None:
        host = OneHost()
        await host.ask("served", MAX_LOAD, 0)
        tasks = [
            asyncio.create_task(host.ask("large", tokens, 1))
            for tokens in (2_000, 3_000)
        ]
        await asyncio.sleep(0)
        host.others.counts[f"{POOL}/waiting"] = 700
        host.others.counts[f"{POOL}/waiting/0/elsewhere"] = 700
        host.others.counts[f"{POOL}/held/0/served"] = 600
        waiting = host.allocator.waiting()
        now_s = waiting[0].since_s + 7.0
        rows = queue_rows(
            [POOL, "idle"],
            host.allocator,
            lambda workspace: WEIGHTS.get(workspace, 1.0),
            "heard",
            now_s,
        )
        shown = {(row.priority, row.workspace): row for row in rows}
        assert set(shown) == {(0, "elsewhere"), (0, "served"), (1, "large")}
        row = attrs.asdict(shown[group])
        assert {name: row[name] for name in expected} == expected
        for task in tasks:
            task.cancel()

    run(test())


PACE = EnginePaceRow(
    upstream="e1",
    gap_ms=52.04,
    slowness=1.5,
    own_age_ms=40,
)


def engine_row(host: OneHost, paces: dict[str, EnginePaceRow]) -> EngineRow:
    (row,) = engine_rows(
        host.listed.all(),
        {POOL: TRAITS},
        host.balancer,
        paces,
        SystemClock().monotonic(),
    )
    return row


def test_an_engine_row_shows_memory_of_all_hosts_and_its_pace() -> None:
    host = OneHost()
    host.balancer.add("e1", 4_000)
    host.others.counts["e1"] = 1_000
    row = engine_row(host, {"e1": PACE})
    assert (row.memory_tokens, row.reserved_tokens) == (10_000, 5_000)
    assert (row.gap_ms, row.slowness) == (52.0, 1.5)
    assert (row.gap_age_ms, row.is_ejected) == (40, False)


def test_an_engine_row_shows_an_ejection_and_an_unknown_pace() -> None:
    host = OneHost()
    host.balancer.eject("e1")
    row = engine_row(host, {})
    assert row.is_ejected
    assert row.failure_share == host.balancer.failure_share("e1") > 0
    assert (row.gap_ms, row.slowness, row.gap_age_ms) == (None, None, None)


def test_a_host_serves_both_views_at_its_operators_address() -> None:
    async def test() -> None:
        stand_ins = [ReplicaStandIn("model-1", "model", HEADER_NAMES)]
        behave_all(stand_ins, hang_midway)
        async with RelayHarness(stand_ins) as world:
            http = HttpClient(max_calls=2)

            async def view(name: str) -> list[dict[str, Any]]:
                url = f"http://{world.operators.address}/v1/{name}"
                answer = await http.call("GET", url, timeout_ms=2_000)
                return answer.decode(list[dict[str, Any]])

            assert await view("queues") == await view("engines") == []
            world.configure()
            calling = asyncio.create_task(
                world.call("/draft/1", headers=USAGE)
            )
            await until_arrived(stand_ins)
            (engine,) = await view("engines")
            (queue,) = await view("queues")
            calling.cancel()
            http.close()
        assert engine["name"].startswith("model-1")
        assert engine["reserved_tokens"] == queue["held_tokens"] > 0
        assert queue["workspace"] == WORKSPACE

    run(test())
