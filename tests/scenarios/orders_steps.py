"""Steps for orders to engines: the lease, model loads, late orders."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
from pytest_bdd import given, parsers, then, when

from balsamlift._loading import structure
from balsamlift.presets import Preset
from scenarios import control
from scenarios.background import POLL_S, wait_until
from scenarios.context import ScenarioContext
from scenarios.hosts import TestHost
from scenarios.model_load_monitor import (
    ModelLoadMonitor,
    get_engine_state,
    is_loading,
)
from scenarios.order_proxy import OrderProxies
from scenarios.presets import MODEL, VERSION, make_preset
from scenarios.upstreams import StandIn

SHORT_LEASE = {
    "term_ms": 4_000,
    "renew_ms": 2_500,
    "look_ms": 50,
    "spread_ms": 50,
    "send_ms": 800,
    "margin_ms": 200,
    "sweep_ms": 100,
    "read_ms": 10,
    "poll_ms": 50,
    "repeat_ms": 1_000,
}
# Model and version of each additional preset.
MODELS = {
    "version-2": (MODEL, "2"),
    "version-3": (MODEL, "3"),
    "other-model": ("other", VERSION),
}
LOAD_TIMEOUT_S = 90.0  # enough for all engines, one after the other
STABLE_S = 2.0  # about 20 sweeps


class OrdersContext:
    """The state that steps of order scenarios share."""

    def __init__(self, context: ScenarioContext) -> None:
        self.context = context
        self.proxies = OrderProxies(context.link_loop)
        self.load_monitor: ModelLoadMonitor | None = None
        self.previous_holder: TestHost | None = None  # was frozen or killed
        self.thawed_ms = 0
        self.released_ms = 0  # when the held order was forwarded
        # Model and version that the preset of each generation names.
        self.models_by_generation: dict[int, tuple[str, str]] = {}

    @property
    def engines(self) -> list[StandIn]:
        return self.context.deployment.engines

    def holders(self) -> list[TestHost]:
        """Return the usable hosts that believe they hold the lease."""
        hosts = self.context.deployment.usable_hosts
        return [host for host in hosts if holds_lease(host)]

    def wait_holder(self) -> TestHost:
        found: list[TestHost] = []

        def is_held() -> bool:
            found[:] = self.holders()
            return len(found) == 1

        wait_until(is_held, "one host holds the lease")
        return found[0]

    def all_serve(self, model: str, version: str) -> bool:
        states = [get_engine_state(engine) for engine in self.engines]
        return all(
            (s["model"], s["version"], s["loading"]) == (model, version, False)
            for s in states
        )

    def count_answers(self) -> int:
        """Return how many calls of the load have an outcome so far."""
        return (
            len(self.context.load.finished_calls) if self.context.load else 0
        )

    def counts(self, name: str) -> dict[str, int]:
        """Return the count `name` of each engine."""
        return {
            engine.name: control.get_counts(engine.process.address)[name]
            for engine in self.engines
        }

    def close(self) -> None:
        if self.load_monitor is not None:
            self.load_monitor.stop()
        self.proxies.close()


@pytest.fixture
def orders(context: ScenarioContext) -> Iterator[OrdersContext]:
    """Yield the order context of one scenario, then stop its helpers."""
    orders = OrdersContext(context)
    try:
        yield orders
    finally:
        orders.close()


def get_events(
    host: TestHost, kind: str, filters: str = ""
) -> list[dict[str, Any]]:
    """Return the details of the events of `kind` in a host's timeline."""
    path = f"/v1/timeline?kind={kind}{filters}"
    found = control.get(host.operators_address, path)
    return [event["detail"] for event in found]


def holds_lease(host: TestHost) -> bool:
    taken = len(get_events(host, "lease_taken"))
    return taken > len(get_events(host, "lease_lost"))


@given(parsers.re(r"engines that (?P<how>check|ignore) the fencing number$"))
def fencing(context: ScenarioContext, how: str) -> None:
    checks = how == "check"
    plan = context.plan
    plan.engines = attrs.evolve(plan.engines, checks_fence=checks)
    plan.pools = attrs.evolve(plan.pools, checks_fence=checks)


@given(parsers.parse("engines that take {load_ms:d} ms to load weights"))
def loading_time(context: ScenarioContext, load_ms: int) -> None:
    context.plan.engines = attrs.evolve(
        context.plan.engines, model_load_ms=load_ms, fetches_weights=True
    )


@given(parsers.parse("a weight store that gives out {rate:d} loads a second"))
def weight_rate(context: ScenarioContext, rate: int) -> None:
    context.plan.platform["weight_loads_per_s"] = float(rate)


@given("a short lease on orders")
def short_lease(context: ScenarioContext) -> None:
    context.plan.orders = SHORT_LEASE


@given("presets with new versions and with another model")
def publish(context: ScenarioContext, orders: OrdersContext) -> None:
    operator = context.deployment.operator()
    for name, (model, version) in MODELS.items():
        raw = make_preset(name)
        raw["pools"] = {"drafting": {"model": model, "version": version}}
        preset = structure(raw, Preset, name)
        result = context.background.run(operator.publish(preset))
        assert result.state == "accepted", result
    orders.models_by_generation[context.deployment.generation] = (
        MODEL,
        VERSION,
    )
    orders.wait_holder()


@given("a gate before each engine")
def put_proxies(context: ScenarioContext, orders: OrdersContext) -> None:
    deployment = context.deployment
    for engine in orders.engines:
        address = orders.proxies.add(engine)
        entry = engine.entry | {"address": address}
        deployment.set_list_entry(engine.name, entry)
        wait_until(
            lambda name=engine.name, address=address: all(  # type: ignore[misc]
                knows_address(host, name, address)
                for host in deployment.usable_hosts
            ),
            f"every host uses the proxy of {engine.name}",
        )


def knows_address(host: TestHost, name: str, address: str) -> bool:
    return any(
        row["name"] == name and row["address"] == address
        for row in host.upstreams()
    )


@when(parsers.parse('an operator switches the engines to "{name}"'))
def switch(context: ScenarioContext, orders: OrdersContext, name: str) -> None:
    if orders.load_monitor is None:
        orders.load_monitor = ModelLoadMonitor(
            orders.engines, orders.count_answers
        )
    result = context.deployment.switch(name)
    assert result.state == "accepted", result
    assert result.generation is not None
    orders.models_by_generation[result.generation] = MODELS[name]


@when("the next order to an engine is held on its way")
def hold_order(orders: OrdersContext) -> None:
    orders.proxies.hold_next()


@when("the host that sent it is frozen")
def freeze_sender(orders: OrdersContext) -> None:
    orders.proxies.wait_held()
    orders.previous_holder = orders.wait_holder()
    orders.previous_holder.freeze()


@when("an engine loads")
def engine_loads(orders: OrdersContext) -> None:
    wait_until(
        lambda: any(is_loading(e) for e in orders.engines), "an engine loads"
    )


@when("an engine loads for another holder")
def loads_for_other(orders: OrdersContext) -> None:
    assert orders.wait_holder() is not orders.previous_holder
    engine_loads(orders)


@when("the host that holds the lease is killed")
def kill_holder(orders: OrdersContext) -> None:
    orders.previous_holder = orders.wait_holder()
    orders.previous_holder.kill()


@when("no host holds the lease any more")
def no_holder(orders: OrdersContext) -> None:
    wait_until(lambda: not orders.holders(), "the lease ends")


@when("the held order arrives")
def order_arrives(orders: OrdersContext) -> None:
    orders.released_ms = int(time.time() * 1_000)
    orders.proxies.release()


@when("that host is thawed")
def thaw_sender(orders: OrdersContext) -> None:
    assert orders.previous_holder is not None
    orders.thawed_ms = int(time.time() * 1_000)
    orders.previous_holder.thaw()


@then(
    parsers.re(
        r"all engines end at version (?P<version>\d)"
        r' of "(?P<model>[a-z]+)"$'
    )
)
def engines_end(orders: OrdersContext, version: str, model: str) -> None:
    wait_until(
        lambda: orders.all_serve(model, version),
        f"all engines are at {model}/{version}",
        LOAD_TIMEOUT_S,
    )


@then(
    parsers.re(
        r"all engines stay at version (?P<version>\d)"
        r' of "(?P<model>[a-z]+)"$'
    )
)
def engines_stay(orders: OrdersContext, version: str, model: str) -> None:
    end = time.monotonic() + STABLE_S
    while time.monotonic() < end:
        assert orders.all_serve(model, version)
        time.sleep(POLL_S)


@then("another host holds the lease")
def other_holds(orders: OrdersContext) -> None:
    assert orders.wait_holder() is not orders.previous_holder


@then("that host knows that it lost the lease")
def knows_lost(orders: OrdersContext) -> None:
    previous_holder = orders.previous_holder
    assert previous_holder is not None
    wait_until(
        lambda: not holds_lease(previous_holder),
        "the host records that it lost the lease",
    )


@then(parsers.parse('that host has given no order for "{name}" since'))
def no_order_since(orders: OrdersContext, name: str) -> None:
    assert orders.previous_holder is not None
    since = f"&since={orders.thawed_ms}.0"
    sent = get_events(orders.previous_holder, "order_sent", since)
    wanted = MODELS[name]
    assert all((o["model"], o["version"]) != wanted for o in sent), sent


@then(parsers.re(r"(?P<who>a|no) host has repaired the engine$"))
def repaired(
    context: ScenarioContext, orders: OrdersContext, who: str
) -> None:
    name = orders.proxies.wait_held()

    # The new holder records "order_repaired" only for an engine whose state
    # it has already read as correct. The late order may arrive just before
    # that read; the holder then records "order_sent".
    kinds = ("order_repaired", "order_sent")
    since = f"&since={orders.released_ms}.0"

    def is_repaired() -> bool:
        return any(
            detail["upstream"] == name
            for host in context.deployment.usable_hosts
            for kind in kinds
            for detail in get_events(host, kind, since)
        )

    if who == "a":
        wait_until(is_repaired, f"{name} is repaired")
    else:
        assert not is_repaired()


@then(parsers.re(r"the engine (?P<took>refused|took) it$"))
def engine_answered(orders: OrdersContext, took: str) -> None:
    name = orders.proxies.wait_held()
    refused = orders.counts("orders_refused")
    assert refused[name] == (took == "refused"), refused


@then(
    parsers.re(r"each engine has loaded (?P<times>\d) times?$"),
    converters={"times": int},
)
def loads(orders: OrdersContext, times: int) -> None:
    found = orders.counts("model_loads")
    assert set(found.values()) == {times}, found


@then("never more than one engine loaded at a time")
def one_at_a_time(orders: OrdersContext) -> None:
    assert orders.load_monitor is not None
    assert orders.load_monitor.answers_while_loading, (
        "no engine was seen loading"
    )
    assert not orders.load_monitor.concurrent_loads


@then("the weight store was never asked over its rate")
def rate_not_exceeded(context: ScenarioContext) -> None:
    counts = control.get_counts(context.deployment.platform_address)
    assert counts["weight_loads"], counts
    assert counts.get("weights_limited", 0) == 0, counts


@then("no engine gets an order while the log is down")
def no_order(orders: OrdersContext) -> None:
    before = orders.counts("orders_accepted")
    time.sleep(2 * SHORT_LEASE["repeat_ms"] / 1_000)
    assert orders.counts("orders_accepted") == before
    assert not orders.all_serve(*MODELS["version-2"]), (
        "no order is left to send"
    )


@then("calls of the load were told an outcome while each engine loaded")
def answered_while_loading(orders: OrdersContext) -> None:
    assert orders.load_monitor is not None
    answers = orders.load_monitor.answers_while_loading
    assert set(answers) == {engine.name for engine in orders.engines}
    assert all(count > 0 for count in answers.values()), answers


@then("no call of the load ran on a model that its preset does not name")
def only_named_models(context: ScenarioContext, orders: OrdersContext) -> None:
    """Check the model by preset; the version may be that of any preset.

    During a rollout an engine may run an older or newer version than the
    preset of the call names.
    """
    assert context.load is not None
    versions = {version for _, version in orders.models_by_generation.values()}
    seen = set()
    for call in context.load.calls:
        progress = call.progress
        if progress is None or progress.start is None:
            continue
        assert progress.accepted is not None
        generation = progress.accepted.preset_generation
        model, _ = orders.models_by_generation[generation]
        assert progress.start.model == model, progress
        assert progress.start.version in versions, progress
        seen.add(generation)
    assert seen == set(orders.models_by_generation), seen


@then('every call of the load was told "whole" or "refused"')
def load_whole_or_refused(context: ScenarioContext) -> None:
    assert context.load is not None
    others = [
        (c.kind, c.outcome, c.error)
        for c in context.load.calls
        if c.reported_outcome not in ("whole", "refused")
    ]
    assert not others


@then(
    parsers.parse('{count:d} more calls of the load are told "{told}"'),
)
def more_told(context: ScenarioContext, count: int, told: str) -> None:
    load = context.load
    assert load is not None
    before = len(load.finished_calls)
    wait_until(
        lambda: (
            sum(
                c.reported_outcome == told
                for c in load.finished_calls[before:]
            )
            >= count
        ),
        f"{count} more calls end as {told}",
        LOAD_TIMEOUT_S,
    )
