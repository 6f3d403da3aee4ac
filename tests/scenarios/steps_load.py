"""Steps that run and check a steady load."""

from __future__ import annotations

from pytest_bdd import given, parsers, then, when

from scenarios import checks, control
from scenarios.background import wait_until
from scenarios.context import ScenarioContext, pause
from scenarios.load import ALL_KINDS, Load


def begin_load(
    context: ScenarioContext, kinds: tuple[str, ...], callers: int
) -> None:
    addresses = [h.address for h in context.deployment.usable_hosts]
    load = Load(context.background, addresses, kinds, callers)
    context.load = load
    wait_until(
        lambda: len(load.finished_calls) >= 2 * callers,
        "the load has made its first calls",
    )


@given("a steady load of tags")
def load_of_tags(context: ScenarioContext) -> None:
    begin_load(context, ("tag",), 6)


@given("a steady load of every kind from callers that keep old addresses")
def load_of_all(context: ScenarioContext) -> None:
    begin_load(context, ALL_KINDS, 8)


@when("the load ends")
def end_load(context: ScenarioContext) -> None:
    assert context.load is not None
    context.load.stop()
    context.calls.extend(context.load.calls)
    assert len(context.load.calls) > 50, (
        "too few calls for the checks to mean anything"
    )


@when(parsers.parse("engine {number:d} drains"))
def drain(context: ScenarioContext, number: int) -> None:
    context.deployment.stand_ins[f"engine-{number}"].set_faults(draining=True)


@when(parsers.parse("the host list says that engine {number:d} is leaving"))
def list_leaving(context: ScenarioContext, number: int) -> None:
    engine = context.deployment.stand_ins[f"engine-{number}"]
    context.deployment.set_list_entry(
        engine.name, engine.entry | {"state": "leaving"}
    )


@when(parsers.parse("2 s have passed since a host knew of engine {number:d}"))
def wait_known(context: ScenarioContext, number: int) -> None:
    name = f"engine-{number}"
    hosts = context.deployment.usable_hosts
    wait_until(
        lambda: any(h.upstream_state(name) != "live" for h in hosts),
        f"a host sees {name} as not live",
    )
    pause(2.0)


@then(
    parsers.parse(
        "engine {number:d} gets no new work while {count:d} more tags are"
        " answered"
    )
)
def no_new_work(context: ScenarioContext, number: int, count: int) -> None:
    engine = context.deployment.stand_ins[f"engine-{number}"]
    load = context.load
    assert load is not None
    before = (engine.total(), count_dispatches(context, engine.name))
    told = len(load.finished_calls)
    wait_until(
        lambda: len(load.finished_calls) >= told + count,
        f"{count} more tags",
        60,
    )
    after = (engine.total(), count_dispatches(context, engine.name))
    assert after == before


def count_dispatches(context: ScenarioContext, upstream: str) -> int:
    """Return how often hosts dispatched work to `upstream`.

    The usable hosts report it in their timelines.
    """
    total = 0
    for host in context.deployment.usable_hosts:
        events = control.get(
            host.operators_address, "/v1/timeline?kind=dispatched"
        )
        total += sum(
            event["detail"].get("upstream") == upstream for event in events
        )
    return total


@then("no call of the load was told falsely")
def load_not_told_falsely(context: ScenarioContext) -> None:
    load = context.load
    assert load is not None
    load.stop()
    context.calls.extend(load.calls)
    context.wait_idle()
    executions = context.deployment.executions()
    checks.check_at_most_once(executions, load.calls)
    checks.check_refused_not_run(executions, load.calls)


@then(parsers.parse('every call of the load was told "{told}"'))
def load_told(context: ScenarioContext, told: str) -> None:
    assert context.load is not None
    others = [
        (c.kind, c.outcome, c.keys)
        for c in context.load.calls
        if c.reported_outcome != told
    ]
    assert not others


@then("no refund and no tag ran twice")
def none_twice(context: ScenarioContext) -> None:
    context.wait_idle()
    checks.check_at_most_once(context.deployment.executions(), context.calls)
