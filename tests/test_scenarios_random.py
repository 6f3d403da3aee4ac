"""Run many requests that may not be repeated under random faults."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

import pytest
from scenarios import verdicts
from scenarios.callers import RecordingClient, make_call
from scenarios.chaos import Chaos
from scenarios.hosts import TestHost
from scenarios.retrying import Retried, send_often
from scenarios.world import World

from balsamlift.requests import new_homed_key

pytest_plugins = ("scenarios.steps",)

SEEDS = (11, 22, 33)
CALLS = 280  # by the client library, for each seed
RETRIED = 80  # whose key goes to three hosts, for each seed
CALLERS = 16
FAULT_EVERY_S = 0.3
TAG_TOKENS = 25
UNHOMED_SHARE = 0.25  # of the retried requests
DEADLINE_S = 240.0


class RandomLoad:
    """Spread calls and retried requests over callers."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.retried: list[Retried] = []
        self._random = random.Random(seed)
        self._numbers = iter(range(1, 1_000_000))
        per_caller = CALLS // CALLERS + 1
        self._futures = [
            world.background.begin(self._ask(per_caller))
            for _ in range(CALLERS)
        ]
        self._futures.append(world.background.begin(self._retry()))

    @property
    def done(self) -> bool:
        return all(future.done() for future in self._futures)

    def check(self) -> None:
        """Raise what went wrong in a caller."""
        for future in self._futures:
            future.result(0)

    async def _ask(self, count: int) -> None:
        hosts = self.world.deployment.usable_hosts
        addresses = [h.address for h in hosts]
        client: RecordingClient | None = None
        for _ in range(count):
            kind = self._random.choice(["tag", "refund"])
            length = TAG_TOKENS if kind == "tag" else 0
            call = make_call(kind, next(self._numbers), length)
            client = client or RecordingClient(addresses, call, None)
            self.world.calls.append(call)
            await client.run_recorded(call)
            await asyncio.sleep(self._random.uniform(0, 0.5))
        if client is not None:
            client.close()

    async def _retry(self) -> None:
        running = set()
        for _ in range(RETRIED):
            running.add(asyncio.ensure_future(self._retry_one()))
            await asyncio.sleep(self._random.uniform(0, 0.3))
        await asyncio.gather(*running)

    async def _retry_one(self) -> None:
        hosts = self.world.deployment.usable_hosts
        self._random.shuffle(hosts)
        key = await self._draw_key(hosts[0])
        if not key:
            return  # that host has just failed: not a byte was sent
        number = next(self._numbers)
        addresses = [h.address for h in hosts[:3]]
        self.retried.append(
            await send_often(key, addresses, number, self._random)
        )

    async def _draw_key(self, host: TestHost) -> str:
        if self._random.random() < UNHOMED_SHARE:
            return self.world.new_unhomed_key()
        loop = asyncio.get_running_loop()
        try:
            prefix = await loop.run_in_executor(None, host.key_prefix)
        except (OSError, AssertionError):
            return ""
        return new_homed_key(prefix)


@pytest.mark.parametrize("seed", SEEDS)
def test_runs_at_most_once_and_is_never_told_falsely(
    world: World, seed: int, capsys: pytest.CaptureFixture[str]
) -> None:
    world.deploy(4, 2, 2)
    chaos = Chaos(world.deployment, seed)
    chaos.begin()
    load = RandomLoad(world, seed)
    end = time.monotonic() + DEADLINE_S
    while not load.done:
        assert time.monotonic() < end, "callers wait for ever"
        chaos.step()
        time.sleep(FAULT_EVERY_S)
    chaos.heal_all()
    load.check()
    world.settle()
    executions = world.deployment.executions()
    with capsys.disabled():
        print(f"\nseed {seed}: {_describe(world, load, chaos)}")
    verdicts.check_once(executions, world.calls)
    verdicts.check_not_run(executions, world.calls)
    _check_retried(executions, load.retried)
    for call in world.calls:
        if call.told == "whole":
            verdicts.check_whole(world.deployment, call)
    assert len(world.calls) >= CALLS
    assert len(load.retried) >= RETRIED * 3 // 4
    assert _share(world, "whole") > 0.5, "unknown for all is no solution"


def _check_retried(executions: Counter[str], requests: list[Retried]) -> None:
    for retried in requests:
        runs = executions[retried.key]
        assert runs <= 1, (runs, retried)
        if retried.is_homed:
            assert "refused" not in retried.told or runs == 0, retried
        assert "whole" not in retried.told or runs == 1, (runs, retried)


def _share(world: World, told: str) -> float:
    return sum(c.told == told for c in world.calls) / len(world.calls)


def _describe(world: World, load: RandomLoad, chaos: Chaos) -> str:
    calls = Counter(c.told for c in world.calls)
    retried = Counter("+".join(sorted(r.told)) for r in load.retried)
    return (
        f"{len(world.calls)} calls {dict(calls)};"
        f" {len(load.retried)} retried {dict(retried)};"
        f" faults {dict(chaos.caused)}"
    )
