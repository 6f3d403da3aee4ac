"""Steps that cause faults and end them."""

from __future__ import annotations

from pytest_bdd import given, parsers, then, when

from scenarios.background import wait_until
from scenarios.context import ScenarioContext, pause
from scenarios.control import set_faults
from scenarios.hosts import TestHost
from scenarios.steps_callers import KIND


@when(parsers.re(f"the engine of the {KIND} is killed"))
def kill_engine(context: ScenarioContext, kind: str) -> None:
    context.upstream_of(context.call(kind)).kill()


@when("the service of the refund is killed")
def kill_service(context: ScenarioContext) -> None:
    for service in context.deployment.services:
        service.kill()


@when("every engine is killed")
def kill_engines(context: ScenarioContext) -> None:
    for engine in context.deployment.engines:
        engine.kill()


@when("the engines hold nothing back")
def hold_nothing_back(context: ScenarioContext) -> None:
    for engine in context.deployment.engines:
        if not engine.dead:
            engine.set_faults(slow_factor=1.0)


@when(parsers.re(f"the engine of the {KIND} is reclaimed"))
def reclaim_engine(context: ScenarioContext, kind: str) -> None:
    context.upstream_of(context.call(kind)).set_faults(reclaim_in_ms=100)


@when(
    parsers.re(f"the open connections to the engine of the {KIND} go silent")
)
def silence_engine(context: ScenarioContext, kind: str) -> None:
    context.upstream_of(context.call(kind)).link.silence()


@when(parsers.re(f"the link to the engine of the {KIND} is cut"))
def cut_engine(context: ScenarioContext, kind: str) -> None:
    context.upstream_of(context.call(kind)).link.cut()


@when(parsers.re(f"the link to the engine of the {KIND} is restored"))
def restore_engine(context: ScenarioContext, kind: str) -> None:
    context.upstream_of(context.call(kind)).link.restore()


@when(
    parsers.re(
        f"the link to the engine of the {KIND} stalls for"
        r" (?P<stall_ms>\d+) ms"
    ),
    converters={"stall_ms": int},
)
def stall_engine(context: ScenarioContext, kind: str, stall_ms: int) -> None:
    link = context.upstream_of(context.call(kind)).link
    link.set_faults(stall_backward=True, stall_forward=True)
    pause(stall_ms / 1_000)
    link.restore()


@when(parsers.re(f"the open connections to the host of the {KIND} go silent"))
def silence_host(context: ScenarioContext, kind: str) -> None:
    context.host_links.by_host[context.call(kind).home].silence()


@when(parsers.re(f"the host of the {KIND} is killed"))
def kill_host_of(context: ScenarioContext, kind: str) -> None:
    host = _host_of(context, kind)
    host.kill()
    context.host_links.by_host[host.name].cut()


@when(parsers.re(f"the host of the {KIND} is frozen"))
def freeze_host_of(context: ScenarioContext, kind: str) -> None:
    _host_of(context, kind).freeze()


@when(parsers.re(f"the host of the {KIND} is thawed"))
def thaw_host_of(context: ScenarioContext, kind: str) -> None:
    _host_of(context, kind).thaw()


@when(parsers.parse("host {number:d} is killed"))
def kill_host(context: ScenarioContext, number: int) -> None:
    context.fetch_key_prefixes()
    context.deployment.hosts[number].kill()


@when(parsers.parse("host {number:d} is frozen"))
def freeze_host(context: ScenarioContext, number: int) -> None:
    context.fetch_key_prefixes()
    context.deployment.hosts[number].freeze()


@when(parsers.parse("host {number:d} is thawed"))
def thaw_host(context: ScenarioContext, number: int) -> None:
    context.deployment.hosts[number].thaw()


@when(parsers.parse("host {number:d} is told to shut down"))
def begin_shutdown(context: ScenarioContext, number: int) -> None:
    context.deployment.hosts[number].process.terminate()


@when(parsers.parse("host {number:d} is shut down"))
def shut_down(context: ScenarioContext, number: int) -> None:
    context.exit_codes.append(context.deployment.stop_host(number))


@then(parsers.parse("host {number:d} ended cleanly"))
def ended_cleanly(context: ScenarioContext, number: int) -> None:
    assert context.exit_codes == [0], number


@when("every host is replaced in turn")
def replace_all(context: ScenarioContext) -> None:
    for number in list(context.deployment.hosts):
        context.exit_codes.append(context.deployment.replace_host(number))
    assert set(context.exit_codes) == {0}


@when(parsers.parse("host {number:d} starts"))
def start_host(context: ScenarioContext, number: int) -> None:
    context.deployment.add_host(number)


@when(parsers.parse("host {number:d} is cut from the log"))
def cut_from_log(context: ScenarioContext, number: int) -> None:
    context.deployment.hosts[number].log_link.cut()


@when("the log is down")
@given("the log is down")
def log_down(context: ScenarioContext) -> None:
    context.fetch_key_prefixes()
    context.deployment.set_platform(down=True)


@when("the log is up")
def log_up(context: ScenarioContext) -> None:
    context.deployment.set_platform(down=False)


def _host_of(context: ScenarioContext, kind: str) -> TestHost:
    name = context.call(kind).home
    return next(h for h in context.deployment.hosts.values() if h.name == name)


@when("the caller's host has noticed")
def host_noticed(context: ScenarioContext) -> None:
    """Wait until a host reports that it lost a stream."""
    hosts = context.deployment.usable_hosts
    wait_until(
        lambda: any(h.has_event("stream_lost") for h in hosts),
        "a host reports a lost stream",
    )


@when("the open connections to the service go silent")
def silence_services(context: ScenarioContext) -> None:
    for service in context.deployment.services:
        service.link.silence()


@when("the answers of every host to callers stall")
def stall_answers(context: ScenarioContext) -> None:
    for link in context.host_links.by_host.values():
        link.set_faults(stall_backward=True)


@when("the answers of every host to callers pass again")
def pass_answers(context: ScenarioContext) -> None:
    for link in context.host_links.by_host.values():
        link.restore()


@when("every host is killed")
def kill_all(context: ScenarioContext) -> None:
    for host in context.deployment.hosts.values():
        host.kill()


@when("the log's records grow no older")
def stop_ageing(context: ScenarioContext) -> None:
    """Take the time that hosts need to start out of the retention."""
    set_faults(context.deployment.platform_address, log_ages=False)


@when("every host starts again")
def start_all(context: ScenarioContext) -> None:
    deployment = context.deployment
    deployment.former_hosts.extend(deployment.hosts.values())
    for number in deployment.hosts:
        deployment.start_host(number)
    for host in deployment.hosts.values():
        deployment.set_list_entry(host.name, host.entry)
