"""Steps that set up a deployment, and the fixture that holds it."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
import pytest
from pytest_bdd import given, parsers

from scenarios.hosts import PoolShape
from scenarios.world import World

LITTLE_MEMORY_TOKENS = 1_024
HELD_BACK_FACTOR = 4_000.0


@pytest.fixture
def world() -> Iterator[World]:
    """Hold one scenario; end its processes whatever happened."""
    world = World()
    try:
        yield world
    finally:
        world.close()


@given(
    parsers.re(
        r"a deployment of (?P<hosts>\d+) hosts?, (?P<engines>\d+) engines?"
        r" and (?P<services>\d+) services?"
    ),
    converters={"hosts": int, "engines": int, "services": int},
)
def deploy(world: World, hosts: int, engines: int, services: int) -> None:
    world.deploy(hosts, engines, services)


@given("engines that are deterministic")
def deterministic_engines(world: World) -> None:
    world.plan.engines = attrs.evolve(world.plan.engines, deterministic=True)
    world.plan.pools = attrs.evolve(world.plan.pools, deterministic=True)


@given("engines that are wrongly declared deterministic")
def misdeclared_engines(world: World) -> None:
    world.plan.pools = attrs.evolve(world.plan.pools, deterministic=True)


@given("engines with little memory")
def little_memory(world: World) -> None:
    world.plan.engines = attrs.evolve(
        world.plan.engines, memory_tokens=LITTLE_MEMORY_TOKENS
    )


@given(parsers.parse("engines that decode a token every {step_ms:d} ms"))
def slow_engines(world: World, step_ms: int) -> None:
    world.plan.engines = attrs.evolve(
        world.plan.engines, step_base_ms=float(step_ms)
    )


@given("engines whose queue is short")
def short_engine_queue(world: World) -> None:
    world.plan.engines = attrs.evolve(world.plan.engines, queue_limit=2)


@given("a preset whose queue is short")
def short_queue(world: World) -> None:
    world.plan.policy = {"queue_requests": 2, "queue_wait_ms": 300}


@given("a preset that waits a second at most")
def short_wait(world: World) -> None:
    world.plan.policy = {"queue_wait_ms": 1_000}


@given("services that tell by key")
def telling_services(world: World) -> None:
    world.plan.pools = PoolShape(services_tell_by_key=True)


@given(parsers.parse("a log that keeps records for {keep_s:d} s"))
def short_retention(world: World, keep_s: int) -> None:
    world.plan.platform["log_retention_ms"] = keep_s * 1_000


@given("engines that hold the first token back")
def hold_back(world: World) -> None:
    for engine in world.deployment.engines:
        engine.set_faults(slow_factor=HELD_BACK_FACTOR)


@given("engines that send frames twice")
def duplicate_frames(world: World) -> None:
    for engine in world.deployment.engines:
        engine.set_faults(duplicate_frames=True)


@given("engines that run requests and lose the answer")
def drop_answers(world: World) -> None:
    for engine in world.deployment.engines:
        engine.set_faults(drop_answers=True)


@given("engines that refuse everything")
def refusing_engines(world: World) -> None:
    for engine in world.deployment.engines:
        engine.set_faults(refuse=True)


@given(parsers.parse("services that take {work_ms:d} ms"))
def slow_services(world: World, work_ms: int) -> None:
    for service in world.deployment.services:
        service.set_faults(slow_ms=work_ms)


@given("services that lose the answer")
def losing_services(world: World) -> None:
    for service in world.deployment.services:
        service.set_faults(lose_answers="silent")


@given("a log that loses the answers of appends")
def losing_log(world: World) -> None:
    world.deployment.set_platform(lose_answers="silent")


@given(parsers.parse("a log that answers after {delay_ms:d} ms"))
def slow_log(world: World, delay_ms: int) -> None:
    world.deployment.set_platform(slow_ms=delay_ms)


@given(parsers.parse("a host list that lags by {lag_s:d} s"))
def lagging_list(world: World, lag_s: int) -> None:
    world.deployment.set_platform(hosts_lag_ms=lag_s * 1_000)


@given(parsers.parse("hosts {first:d} and {second:d} are cut from the list"))
def cut_from_list(world: World, first: int, second: int) -> None:
    for number in (first, second):
        world.deployment.hosts[number].list_link.cut()
