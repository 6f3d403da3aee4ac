"""The service `placement` with fakes of the other services."""

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from balsamlift.clock import SystemClock
from balsamlift.exceptions import RefusedError
from balsamlift.kernel import Kernel
from balsamlift.placement import Placement, PlacementRequest, Policy


@attrs.frozen
class FakeUpstream:
    name: str
    kind: str = "service"
    pool: str = "counter"
    address: str = "127.0.0.1:1"
    failure_domain: str = "a"


class FakeServices:
    def __init__(self, name, policy, upstreams):
        self.name = name
        self.upstreams = upstreams
        self.announced = {}
        self.counts = {}
        self._policy = policy

    async def start(self, kernel):
        pass

    async def stop(self):
        pass

    def in_pool(self, pool):
        return [u for u in self.upstreams if u.pool == pool]

    def on_change(self, callback):
        self.changed = callback

    def in_flight(self, upstream):
        return 0

    def set_in_flight(self, upstream, n):
        self.announced[upstream] = n

    def live(self):
        return []

    def in_force(self):
        return SimpleNamespace(preset=SimpleNamespace(policy=self._policy))

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def observe_ms(self, name, value):
        pass

    def record(self, kind, *, request="", **detail):
        pass


def make_request(key, **fields):
    values = {"workspace": "w", "kind": "lookup", "pool": "counter"}
    return PlacementRequest(key=key, **(values | fields))


def run(scenario, policy=None, upstreams=()):
    policy = policy or Policy()

    async def main():
        kernel = Kernel()
        services = {}
        for name in ("upstreams", "peers", "presets", "metrics", "timeline"):
            services[name] = FakeServices(name, policy, list(upstreams))
            kernel.register(services[name])
        placement = Placement(SystemClock(), seed=1)
        kernel.register(placement)
        await kernel.start()
        try:
            await asyncio.wait_for(scenario(placement, services), 10)
        finally:
            await kernel.stop()

    asyncio.run(main())


def test_chooses_another_upstream_after_a_refusal():
    async def scenario(placement, services):
        ticket = await placement.admit(make_request("k"))
        first = placement.choose(ticket, frozenset())
        assert placement.choose(ticket, frozenset()) is first
        placement.handle_refusal(ticket, first, "full", 500)
        second = placement.choose(ticket, frozenset({first.name}))
        assert second is not first
        placement.mark_started(ticket, second)
        placement.record_progress(ticket, second, 3, 20.0)
        placement.finish(ticket, 3)

    run(scenario, upstreams=[FakeUpstream("u1"), FakeUpstream("u2")])


def test_choose_refuses_when_every_upstream_is_excluded():
    async def scenario(placement, services):
        ticket = await placement.admit(make_request("k"))
        with pytest.raises(RefusedError) as caught:
            placement.choose(ticket, frozenset({"u1"}))
        assert caught.value.reason == "no_upstream"

    run(scenario, upstreams=[FakeUpstream("u1")])


def test_refuses_queued_requests_past_their_deadline():
    async def scenario(placement, services):
        with pytest.raises(RefusedError) as caught:
            await placement.admit(make_request("k"))
        assert caught.value.reason == "deadline"
        assert caught.value.retry_after_ms > 0

    run(scenario, policy=Policy(queue_wait_ms=200))


def test_cancelled_admission_releases_its_place():
    async def scenario(placement, services):
        waiting = asyncio.create_task(placement.admit(make_request("k1")))
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        services["upstreams"].upstreams.append(FakeUpstream("u1"))
        services["upstreams"].changed()
        ticket = await placement.admit(make_request("k2"))
        assert placement.choose(ticket, frozenset()).name == "u1"
        while services["peers"].announced.get("u1") != 1:
            await asyncio.sleep(0.01)
        placement.finish(ticket, 1)
        while services["peers"].announced.get("u1") != 0:
            await asyncio.sleep(0.01)

    run(scenario)


def test_retry_budget_runs_out():
    async def scenario(placement, services):
        allowed = [placement.may_retry() for _ in range(100)]
        assert allowed[0]
        assert not allowed[-1]

    run(scenario)
