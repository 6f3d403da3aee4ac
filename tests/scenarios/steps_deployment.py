"""Steps that configure a deployment, and the scenario fixture."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
import pytest
from pytest_bdd import given, parsers

from scenarios.context import ScenarioContext
from scenarios.hosts import PoolOptions

SMALL_MEMORY_TOKENS = 1_024
FIRST_TOKEN_DELAY_FACTOR = 4_000.0


@pytest.fixture
def context() -> Iterator[ScenarioContext]:
    """Yield the context of one scenario, then stop its processes."""
    context = ScenarioContext()
    try:
        yield context
    finally:
        context.close()


@given(
    parsers.re(
        r"a deployment of (?P<hosts>\d+) hosts?, (?P<engines>\d+) engines?"
        r" and (?P<services>\d+) services?"
    ),
    converters={"hosts": int, "engines": int, "services": int},
)
def deploy(
    context: ScenarioContext, hosts: int, engines: int, services: int
) -> None:
    context.deploy(hosts, engines, services)


@given("engines that are deterministic")
def deterministic_engines(context: ScenarioContext) -> None:
    context.plan.engines = attrs.evolve(
        context.plan.engines, deterministic=True
    )
    context.plan.pools = attrs.evolve(context.plan.pools, deterministic=True)


@given("engines that are wrongly declared deterministic")
def misdeclared_engines(context: ScenarioContext) -> None:
    context.plan.pools = attrs.evolve(context.plan.pools, deterministic=True)


@given("engines with little memory")
def little_memory(context: ScenarioContext) -> None:
    context.plan.engines = attrs.evolve(
        context.plan.engines, memory_tokens=SMALL_MEMORY_TOKENS
    )


@given(parsers.parse("engines that decode a token every {step_ms:d} ms"))
def slow_engines(context: ScenarioContext, step_ms: int) -> None:
    context.plan.engines = attrs.evolve(
        context.plan.engines, step_base_ms=float(step_ms)
    )


@given("engines whose queue is short")
def short_engine_queue(context: ScenarioContext) -> None:
    context.plan.engines = attrs.evolve(context.plan.engines, queue_limit=2)


@given("a preset whose queue is short")
def short_queue(context: ScenarioContext) -> None:
    context.plan.policy = {"queue_requests": 2, "queue_wait_ms": 300}


@given("a preset that waits a second at most")
def short_wait(context: ScenarioContext) -> None:
    context.plan.policy = {"queue_wait_ms": 1_000}


@given("services that tell by key")
def telling_services(context: ScenarioContext) -> None:
    context.plan.pools = PoolOptions(services_tell_by_key=True)


@given(parsers.parse("a log that keeps records for {keep_s:d} s"))
def short_retention(context: ScenarioContext, keep_s: int) -> None:
    context.plan.platform["log_retention_ms"] = keep_s * 1_000


@given("engines that hold the first token back")
def hold_back(context: ScenarioContext) -> None:
    for engine in context.deployment.engines:
        engine.set_faults(slow_factor=FIRST_TOKEN_DELAY_FACTOR)


@given("engines that send frames twice")
def duplicate_frames(context: ScenarioContext) -> None:
    for engine in context.deployment.engines:
        engine.set_faults(duplicate_frames=True)


@given("engines that run requests and lose the answer")
def drop_answers(context: ScenarioContext) -> None:
    for engine in context.deployment.engines:
        engine.set_faults(drop_answers=True)


@given("engines that refuse everything")
def refusing_engines(context: ScenarioContext) -> None:
    for engine in context.deployment.engines:
        engine.set_faults(refuse=True)


@given(parsers.parse("services that take {work_ms:d} ms"))
def slow_services(context: ScenarioContext, work_ms: int) -> None:
    for service in context.deployment.services:
        service.set_faults(slow_ms=work_ms)


@given("services that lose the answer")
def losing_services(context: ScenarioContext) -> None:
    for service in context.deployment.services:
        service.set_faults(lose_answers="silent")


@given("a log that loses the answers of appends")
def losing_log(context: ScenarioContext) -> None:
    context.deployment.set_platform(lose_answers="silent")


@given(parsers.parse("a log that answers after {delay_ms:d} ms"))
def slow_log(context: ScenarioContext, delay_ms: int) -> None:
    context.deployment.set_platform(slow_ms=delay_ms)


@given(parsers.parse("a host list that lags by {lag_s:d} s"))
def lagging_list(context: ScenarioContext, lag_s: int) -> None:
    context.deployment.set_platform(hosts_lag_ms=lag_s * 1_000)


@given(parsers.parse("hosts {first:d} and {second:d} are cut from the list"))
def cut_from_list(context: ScenarioContext, first: int, second: int) -> None:
    for number in (first, second):
        context.deployment.hosts[number].list_link.cut()
