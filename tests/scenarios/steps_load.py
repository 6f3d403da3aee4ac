"""Steps with a steady load."""

from __future__ import annotations

from pytest_bdd import given, parsers, then, when

from scenarios import control, verdicts
from scenarios.background import wait_until
from scenarios.load import ALL_KINDS, Load
from scenarios.world import World, wait_s


def begin_load(world: World, kinds: tuple[str, ...], callers: int) -> None:
    addresses = [h.address for h in world.deployment.usable_hosts]
    load = Load(world.background, addresses, kinds, callers)
    world.load = load
    wait_until(lambda: len(load.told) >= 2 * callers, "the load runs")


@given("a steady load of tags")
def load_of_tags(world: World) -> None:
    begin_load(world, ("tag",), 6)


@given("a steady load of every kind from callers that keep old addresses")
def load_of_all(world: World) -> None:
    begin_load(world, ALL_KINDS, 8)


@when("the load ends")
def end_load(world: World) -> None:
    assert world.load is not None
    world.load.end()
    world.calls.extend(world.load.calls)
    assert len(world.load.calls) > 50, "too little load to prove anything"


@when(parsers.parse("engine {number:d} drains"))
def drain(world: World, number: int) -> None:
    world.deployment.stand_ins[f"engine-{number}"].set_faults(draining=True)


@when(parsers.parse("the host list says that engine {number:d} is leaving"))
def list_leaving(world: World, number: int) -> None:
    engine = world.deployment.stand_ins[f"engine-{number}"]
    world.deployment.list_entry(
        engine.name, engine.entry | {"state": "leaving"}
    )


@when(parsers.parse("2 s have passed since a host knew of engine {number:d}"))
def wait_known(world: World, number: int) -> None:
    name = f"engine-{number}"
    hosts = world.deployment.usable_hosts
    wait_until(
        lambda: any(h.state_of(name) != "live" for h in hosts),
        f"a host knows that {name} leaves",
    )
    wait_s(2.0)


@then(
    parsers.parse(
        "engine {number:d} gets no new work while {count:d} more tags are"
        " answered"
    )
)
def no_new_work(world: World, number: int, count: int) -> None:
    engine = world.deployment.stand_ins[f"engine-{number}"]
    load = world.load
    assert load is not None
    before = (engine.total(), count_dispatches(world, engine.name))
    told = len(load.told)
    wait_until(
        lambda: len(load.told) >= told + count, f"{count} more tags", 60
    )
    after = (engine.total(), count_dispatches(world, engine.name))
    assert after == before


def count_dispatches(world: World, upstream: str) -> int:
    """Return how often hosts sent work there, by their time lines."""
    total = 0
    for host in world.deployment.usable_hosts:
        events = control.get(
            host.operators_address, "/v1/timeline?kind=dispatched"
        )
        total += sum(
            event["detail"].get("upstream") == upstream for event in events
        )
    return total


@then("no call of the load was told falsely")
def load_not_told_falsely(world: World) -> None:
    load = world.load
    assert load is not None
    load.end()
    world.calls.extend(load.calls)
    world.settle()
    executions = world.deployment.executions()
    verdicts.check_once(executions, load.calls)
    verdicts.check_not_run(executions, load.calls)


@then(parsers.parse('every call of the load was told "{told}"'))
def load_told(world: World, told: str) -> None:
    assert world.load is not None
    others = [
        (c.kind, c.outcome, c.keys) for c in world.load.calls if c.told != told
    ]
    assert not others


@then("no refund and no tag ran twice")
def none_twice(world: World) -> None:
    world.settle()
    verdicts.check_once(world.deployment.executions(), world.calls)
