"""Steps that make something fail, and mend it."""

from __future__ import annotations

from pytest_bdd import given, parsers, then, when

from scenarios.background import wait_until
from scenarios.hosts import TestHost
from scenarios.steps_callers import KIND
from scenarios.world import World, wait_s


@when(parsers.re(f"the engine of the {KIND} is killed"))
def kill_engine(world: World, kind: str) -> None:
    world.upstream_of(world.call(kind)).kill()


@when("the service of the refund is killed")
def kill_service(world: World) -> None:
    for service in world.deployment.services:
        service.kill()


@when("every engine is killed")
def kill_engines(world: World) -> None:
    for engine in world.deployment.engines:
        engine.kill()


@when("the engines hold nothing back")
def hold_nothing_back(world: World) -> None:
    for engine in world.deployment.engines:
        if not engine.dead:
            engine.set_faults(slow_factor=1.0)


@when(parsers.re(f"the engine of the {KIND} is reclaimed"))
def reclaim_engine(world: World, kind: str) -> None:
    world.upstream_of(world.call(kind)).set_faults(reclaim_in_ms=100)


@when(
    parsers.re(f"the open connections to the engine of the {KIND} go silent")
)
def silence_engine(world: World, kind: str) -> None:
    world.upstream_of(world.call(kind)).link.silence()


@when(parsers.re(f"the link to the engine of the {KIND} is cut"))
def cut_engine(world: World, kind: str) -> None:
    world.upstream_of(world.call(kind)).link.cut()


@when(parsers.re(f"the link to the engine of the {KIND} is restored"))
def restore_engine(world: World, kind: str) -> None:
    world.upstream_of(world.call(kind)).link.restore()


@when(
    parsers.re(
        f"the link to the engine of the {KIND} stalls for"
        r" (?P<stall_ms>\d+) ms"
    ),
    converters={"stall_ms": int},
)
def stall_engine(world: World, kind: str, stall_ms: int) -> None:
    link = world.upstream_of(world.call(kind)).link
    link.set(stall_backward=True, stall_forward=True)
    wait_s(stall_ms / 1_000)
    link.restore()


@when(parsers.re(f"the open connections to the host of the {KIND} go silent"))
def silence_host(world: World, kind: str) -> None:
    world.host_links.by_host[world.call(kind).home].silence()


@when(parsers.re(f"the host of the {KIND} is killed"))
def kill_host_of(world: World, kind: str) -> None:
    host = _host_of(world, kind)
    host.kill()
    world.host_links.by_host[host.name].cut()


@when(parsers.re(f"the host of the {KIND} is frozen"))
def freeze_host_of(world: World, kind: str) -> None:
    _host_of(world, kind).freeze()


@when(parsers.re(f"the host of the {KIND} is thawed"))
def thaw_host_of(world: World, kind: str) -> None:
    _host_of(world, kind).thaw()


@when(parsers.parse("host {number:d} is killed"))
def kill_host(world: World, number: int) -> None:
    world.keep_prefixes()
    world.deployment.hosts[number].kill()


@when(parsers.parse("host {number:d} is frozen"))
def freeze_host(world: World, number: int) -> None:
    world.keep_prefixes()
    world.deployment.hosts[number].freeze()


@when(parsers.parse("host {number:d} is thawed"))
def thaw_host(world: World, number: int) -> None:
    world.deployment.hosts[number].thaw()


@when(parsers.parse("host {number:d} is told to shut down"))
def begin_shutdown(world: World, number: int) -> None:
    world.deployment.hosts[number].process.terminate()


@when(parsers.parse("host {number:d} is shut down"))
def shut_down(world: World, number: int) -> None:
    world.exit_codes.append(world.deployment.stop_host(number))


@then(parsers.parse("host {number:d} ended cleanly"))
def ended_cleanly(world: World, number: int) -> None:
    assert world.exit_codes == [0], number


@when("every host is replaced in turn")
def replace_all(world: World) -> None:
    for number in list(world.deployment.hosts):
        world.exit_codes.append(world.deployment.replace_host(number))
    assert set(world.exit_codes) == {0}


@when(parsers.parse("host {number:d} starts"))
def start_host(world: World, number: int) -> None:
    world.deployment.add_host(number)


@when(parsers.parse("host {number:d} is cut from the log"))
def cut_from_log(world: World, number: int) -> None:
    world.deployment.hosts[number].log_link.cut()


@when("the log is down")
@given("the log is down")
def log_down(world: World) -> None:
    world.keep_prefixes()
    world.deployment.set_platform(down=True)


@when("the log is up")
def log_up(world: World) -> None:
    world.deployment.set_platform(down=False)


def _host_of(world: World, kind: str) -> TestHost:
    name = world.call(kind).home
    return next(h for h in world.deployment.hosts.values() if h.name == name)


@when("the caller's host has noticed")
def host_noticed(world: World) -> None:
    """Wait until a host has tried to resume."""
    hosts = world.deployment.usable_hosts
    wait_until(
        lambda: any(h.has_event("stream_lost") for h in hosts),
        "a host notices",
    )


@when("the open connections to the service go silent")
def silence_services(world: World) -> None:
    for service in world.deployment.services:
        service.link.silence()


@when("the answers of every host to callers stall")
def stall_answers(world: World) -> None:
    for link in world.host_links.by_host.values():
        link.set(stall_backward=True)


@when("the answers of every host to callers pass again")
def pass_answers(world: World) -> None:
    for link in world.host_links.by_host.values():
        link.restore()


@when("every host is killed")
def kill_all(world: World) -> None:
    for host in world.deployment.hosts.values():
        host.kill()


@when("every host starts again")
def start_all(world: World) -> None:
    deployment = world.deployment
    deployment.past_hosts.extend(deployment.hosts.values())
    for number in deployment.hosts:
        deployment.start_host(number)
    for host in deployment.hosts.values():
        deployment.list_entry(host.name, host.entry)
