"""Steps for operators and for the configuration in force."""

from __future__ import annotations

import asyncio

from pytest_bdd import parsers, then, when

from balsamlift.exceptions import BalsamliftError
from balsamlift.presets._operator import OperationResult, Operator
from scenarios.background import wait_until
from scenarios.context import ScenarioContext

SHORT_WAIT_MS = 2_000


@when("two operators switch at once, expecting the same generation")
def race(context: ScenarioContext) -> None:
    deployment = context.deployment

    async def switch_both() -> tuple[OperationResult, ...]:
        expected = deployment.generation
        return await asyncio.gather(
            deployment.operator().switch("peak", expected),
            deployment.operator().switch("maintenance", expected),
        )

    context.results.extend(context.background.run(switch_both()))
    for result in context.results:
        deployment.record_result(result)


@when(parsers.parse('an operator switches to "{name}"'))
def switch(context: ScenarioContext, name: str) -> None:
    context.results.append(context.deployment.switch(name))


@when(parsers.parse('an operator tries to switch to "{name}"'))
def try_switch(context: ScenarioContext, name: str) -> None:
    operator = Operator(
        context.deployment.platform_address, wait_ms=SHORT_WAIT_MS
    )
    try:
        result = context.background.run(operator.switch(name))
    except BalsamliftError:
        return
    context.results.append(result)


@then(parsers.parse('the operator is told "{state}"'))
def operator_told(context: ScenarioContext, state: str) -> None:
    assert context.results[-1].state == state, context.results


@then(parsers.parse('the operator is not told "{state}"'))
def operator_not_told(context: ScenarioContext, state: str) -> None:
    assert all(r.state != state for r in context.results), context.results


@then(parsers.parse('exactly one of them is told "{state}"'))
def one_operator_told(context: ScenarioContext, state: str) -> None:
    states: list[str] = [r.state for r in context.results]
    assert states.count(state) == 1, context.results


@then(
    parsers.parse(
        "the accepted preset is in force on every host within {bound_s:d} s"
    )
)
def in_force(context: ScenarioContext, bound_s: int) -> None:
    context.deployment.wait_in_force(timeout_s=bound_s)
    statuses = [h.status() for h in context.deployment.usable_hosts]
    assert len({(s["generation"], s["preset"]) for s in statuses}) == 1


@then("no host went back")
def no_regression(context: ScenarioContext) -> None:
    monitor = context.monitor
    assert monitor is not None
    monitor.wait_round()
    assert not monitor.regressions


@when("the records of the switch have expired")
def records_expired(context: ScenarioContext) -> None:
    """Wait until the log has dropped the records of the switch."""
    deployment = context.deployment
    offset = max(r.offset for r in context.results if r.offset is not None)
    wait_until(lambda: deployment.earliest_offset() > offset, "records expire")


@then(parsers.parse('a refund sent to host {number:d} is told "{told}"'))
def refund_told(context: ScenarioContext, number: int, told: str) -> None:
    host = context.deployment.hosts[number]
    wait_until(lambda: host.address_count() > 0, "the host returns addresses")
    attempt = context.start_attempt("refund", number)
    wait_until(lambda: attempt.ended, "the attempt has an outcome", 60)
    assert attempt.outcome == told, attempt
