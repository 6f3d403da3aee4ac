"""Run many non-idempotent requests under random faults."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

import pytest
from scenarios import checks
from scenarios.callers import RecordingClient, make_call
from scenarios.context import ScenarioContext
from scenarios.fault_injector import FaultInjector
from scenarios.hosts import TestHost
from scenarios.retrying import RetriedRequest, send_to_each

from balsamlift.requests import new_homed_key

pytest_plugins = ("scenarios.steps",)

SEEDS = (11, 22, 33)
CALLS = 280  # through the client library, for each seed
RETRIED_REQUESTS = 80  # each key sent to three hosts; for each seed
CALLERS = 16
FAULT_INTERVAL_S = 0.3
TAG_TOKENS = 25
UNHOMED_SHARE = 0.25  # of the retried requests
DEADLINE_S = 240.0


class RandomLoad:
    """Run calls and retried requests from concurrent callers."""

    def __init__(self, context: ScenarioContext, seed: int) -> None:
        self.context = context
        self.retried: list[RetriedRequest] = []
        self._random = random.Random(seed)
        self._numbers = iter(range(1, 1_000_000))
        per_caller = CALLS // CALLERS + 1
        self._futures = [
            context.background.submit(self._run_caller(per_caller))
            for _ in range(CALLERS)
        ]
        self._futures.append(context.background.submit(self._send_retried()))

    @property
    def done(self) -> bool:
        return all(future.done() for future in self._futures)

    def check(self) -> None:
        """Raise the exception of a caller that failed."""
        for future in self._futures:
            future.result(0)

    async def _run_caller(self, count: int) -> None:
        hosts = self.context.deployment.usable_hosts
        addresses = [h.address for h in hosts]
        client: RecordingClient | None = None
        for _ in range(count):
            kind = self._random.choice(["tag", "refund"])
            length = TAG_TOKENS if kind == "tag" else 0
            call = make_call(kind, next(self._numbers), length)
            client = client or RecordingClient(addresses, call, None)
            self.context.calls.append(call)
            await client.run_recorded(call)
            await asyncio.sleep(self._random.uniform(0, 0.5))
        if client is not None:
            client.close()

    async def _send_retried(self) -> None:
        running = set()
        for _ in range(RETRIED_REQUESTS):
            running.add(asyncio.ensure_future(self._send_one_retried()))
            await asyncio.sleep(self._random.uniform(0, 0.3))
        await asyncio.gather(*running)

    async def _send_one_retried(self) -> None:
        hosts = self.context.deployment.usable_hosts
        self._random.shuffle(hosts)
        key = await self._draw_key(hosts[0])
        if not key:
            return  # the host has just failed: nothing was sent
        number = next(self._numbers)
        addresses = [h.address for h in hosts[:3]]
        self.retried.append(
            await send_to_each(key, addresses, number, self._random)
        )

    async def _draw_key(self, host: TestHost) -> str:
        if self._random.random() < UNHOMED_SHARE:
            return self.context.new_unhomed_key()
        loop = asyncio.get_running_loop()
        try:
            prefix = await loop.run_in_executor(None, host.key_prefix)
        except (OSError, AssertionError):
            return ""
        return new_homed_key(prefix)


@pytest.mark.parametrize("seed", SEEDS)
def test_runs_at_most_once_with_truthful_outcomes(
    context: ScenarioContext, seed: int, capsys: pytest.CaptureFixture[str]
) -> None:
    context.deploy(4, 2, 2)
    fault_injector = FaultInjector(context.deployment, seed)
    fault_injector.prepare()
    load = RandomLoad(context, seed)
    end = time.monotonic() + DEADLINE_S
    while not load.done:
        assert time.monotonic() < end, "callers did not finish in time"
        fault_injector.step()
        time.sleep(FAULT_INTERVAL_S)
    fault_injector.heal_all()
    load.check()
    context.wait_idle()
    executions = context.deployment.executions()
    with capsys.disabled():
        print(f"\nseed {seed}: {_describe(context, load, fault_injector)}")
    checks.check_at_most_once(executions, context.calls)
    checks.check_refused_not_run(executions, context.calls)
    _check_retried(executions, load.retried)
    for call in context.calls:
        if call.reported_outcome == "whole":
            checks.check_whole(context.deployment, call)
    assert len(context.calls) >= CALLS
    assert len(load.retried) >= RETRIED_REQUESTS * 3 // 4
    # A system that reports "unknown" for every call passes the checks above.
    assert _share(context, "whole") > 0.5, "too few calls ended as whole"


def _check_retried(
    executions: Counter[str], requests: list[RetriedRequest]
) -> None:
    for retried in requests:
        runs = executions[retried.key]
        assert runs <= 1, (runs, retried)
        if retried.is_homed:
            assert "refused" not in retried.reported_outcomes or runs == 0, (
                retried
            )
        assert "whole" not in retried.reported_outcomes or runs == 1, (
            runs,
            retried,
        )


def _share(context: ScenarioContext, told: str) -> float:
    return sum(c.reported_outcome == told for c in context.calls) / len(
        context.calls
    )


def _describe(
    context: ScenarioContext, load: RandomLoad, fault_injector: FaultInjector
) -> str:
    calls = Counter(c.reported_outcome for c in context.calls)
    retried = Counter(
        "+".join(sorted(r.reported_outcomes)) for r in load.retried
    )
    return (
        f"{len(context.calls)} calls {dict(calls)};"
        f" {len(load.retried)} retried {dict(retried)};"
        f" faults {dict(fault_injector.injected)}"
    )
