"""Steps of operators and of the configuration in force."""

from __future__ import annotations

import asyncio

from pytest_bdd import parsers, then, when

from balsamlift.exceptions import BalsamliftError
from balsamlift.presets._operator import OperationResult, Operator
from scenarios.background import wait_until
from scenarios.world import World

SHORT_WAIT_MS = 2_000


@when("two operators switch at once, expecting the same generation")
def race(world: World) -> None:
    deployment = world.deployment

    async def switch_both() -> tuple[OperationResult, ...]:
        expected = deployment.generation
        return await asyncio.gather(
            deployment.operator().switch("peak", expected),
            deployment.operator().switch("maintenance", expected),
        )

    world.results.extend(world.background.run(switch_both()))
    for result in world.results:
        deployment.note(result)


@when(parsers.parse('an operator switches to "{name}"'))
def switch(world: World, name: str) -> None:
    world.results.append(world.deployment.switch(name))


@when(parsers.parse('an operator tries to switch to "{name}"'))
def try_switch(world: World, name: str) -> None:
    operator = Operator(
        world.deployment.platform_address, wait_ms=SHORT_WAIT_MS
    )
    try:
        result = world.background.run(operator.switch(name))
    except BalsamliftError:
        return
    world.results.append(result)


@then(parsers.parse('the operator is told "{state}"'))
def operator_told(world: World, state: str) -> None:
    assert world.results[-1].state == state, world.results


@then(parsers.parse('the operator is not told "{state}"'))
def operator_not_told(world: World, state: str) -> None:
    assert all(r.state != state for r in world.results), world.results


@then(parsers.parse('exactly one of them is told "{state}"'))
def one_operator_told(world: World, state: str) -> None:
    states: list[str] = [r.state for r in world.results]
    assert states.count(state) == 1, world.results


@then(
    parsers.parse(
        "the accepted preset is in force on every host within {bound_s:d} s"
    )
)
def in_force(world: World, bound_s: int) -> None:
    world.deployment.wait_in_force(within_s=bound_s)
    statuses = [h.status() for h in world.deployment.usable_hosts]
    assert len({(s["generation"], s["preset"]) for s in statuses}) == 1


@then("no host went back")
def never_back(world: World) -> None:
    monitor = world.monitor
    assert monitor is not None
    monitor.wait_round()
    assert not monitor.steps_back


@when("the records of the switch have expired")
def records_expired(world: World) -> None:
    """Wait until the log no longer holds what is in force."""
    deployment = world.deployment
    offset = max(r.offset for r in world.results if r.offset is not None)
    wait_until(lambda: deployment.earliest_offset() > offset, "records expire")


@then(parsers.parse('a refund sent to host {number:d} is told "{told}"'))
def refund_told(world: World, number: int, told: str) -> None:
    host = world.deployment.hosts[number]
    wait_until(lambda: host.address_count() > 0, "the host serves")
    attempt = world.begin_attempt("refund", number)
    wait_until(lambda: attempt.ended, "the attempt is told", 60)
    assert attempt.outcome == told, attempt
