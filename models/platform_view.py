"""Specification of what a host believes of the platform, and for how long.

Two hosts follow one record of operators and the entry of one upstream. The
store turns hosts away, is down, answers late, and lets entries lapse while it
is down. A peer passes on what it reads. Time moves in ticks; a host that can
read does so within one.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal, NamedTuple

import attrs
from minicheck import Protocol

from models._specification import specify
from models._verdict import Verdict, search

LAST_VERSION = 2
LAST_TICK = 6
LEAVING_BOUND = 2  # ticks until no host sends new work
RETURN_TICKS = 1  # that a lapsed entry has to come back
MARK_TICKS = 1  # that a peer's word counts against the list

Listed = Literal["live", "leaving", "none"]


@attrs.frozen(kw_only=True)
class Guards:
    """Switch single guards off, to show that each is needed."""

    only_newer: bool = True
    peers_tell_version: bool = True
    peers_tell_leaving: bool = True
    lapsed_may_return: bool = True
    list_outlives_peers: bool = True


class Host(NamedTuple):
    """What one host knows; host 0 may be turned away, host 1 reads."""

    version: int = 0
    reading: int | None = None  # a read under way holds this version
    listed: Listed = "live"  # as last read
    mark_age: int | None = None  # of a peer's word that it is leaving
    missing: int | None = None  # ticks that the entry is not listed
    regressed: bool = False


class State(NamedTuple):
    """The whole system."""

    tick: int = 0
    version: int = 0
    store_up: bool = True
    turned_away: bool = False  # host 0
    listed: Listed = "live"  # in the store
    alive: bool = True
    lapsed: bool = False
    up_for: int = RETURN_TICKS + 1  # ticks since the store is back
    left_for: int = 0  # ticks since the store said that it leaves
    listed_for: int = 0  # ticks that the list shows it live, undisturbed
    behind_for: int = 0  # ticks that host 0 lags though host 1 does not
    hosts: tuple[Host, Host] = (Host(), Host())


Steps = Iterator[tuple[str, State]]


def steps(state: State, guards: Guards) -> Steps:
    """Yield every step that may come next."""
    if state.tick < LAST_TICK:
        yield "tick", _tick(state, guards)
    if state.version < LAST_VERSION and state.store_up:
        yield "publish", state._replace(version=state.version + 1)
    yield from _store_steps(state)
    for index, host in enumerate(state.hosts):
        if _reads(state, index) and host.reading is None:
            begun = host._replace(reading=state.version)
            yield f"{index} begins a read", _with_host(state, index, begun)
        if host.reading is not None:
            ended = _take(host, host.reading, guards)._replace(reading=None)
            yield f"{index} ends it", _with_host(state, index, ended)


def _store_steps(state: State) -> Steps:
    if state.store_up and state.lapsed:
        # Early or late: it may reach the store a while after others do.
        back = state._replace(listed="live", lapsed=False, listed_for=0)
        yield "entry returns", back
    if state.store_up and state.listed == "live":
        left = state._replace(listed="leaving", alive=False, left_for=0)
        yield "upstream leaves", left
    if state.tick >= LAST_TICK - 3:
        return  # faults early, so that their bounds are seen
    if state.store_up:
        yield "store down", state._replace(store_up=False, listed_for=0)
        if not state.turned_away and not state.lapsed:
            yield "turned away", state._replace(turned_away=True)
    else:
        yield "store back", state._replace(store_up=True, up_for=0)
        if state.listed == "live":
            lapsed = state._replace(listed="none", lapsed=True)
            yield "entry lapses", lapsed


def _tick(state: State, guards: Guards) -> State:
    """Let a tick pass, in which every host that can read has read."""
    hosts = list(state.hosts)
    for index, host in enumerate(hosts):
        if _reads(state, index):
            host = _take(host, state.version, guards)
            host = host._replace(listed=state.listed, missing=None)
        hosts[index] = _age(host, state, index, guards)
    hosts[0] = _hear(hosts[0], hosts[1], state, guards)
    after = state._replace(
        tick=state.tick + 1,
        hosts=(hosts[0], hosts[1]),
        up_for=state.up_for + 1 if state.store_up else 0,
        left_for=state.left_for + (state.listed == "leaving"),
    )
    calm = state.store_up and not state.turned_away
    live = state.listed == "live" and calm
    lags = hosts[0].version < hosts[1].version
    return after._replace(
        listed_for=state.listed_for + 1 if live else 0,
        behind_for=state.behind_for + 1 if lags else 0,
    )


def _hear(told: Host, teller: Host, state: State, guards: Guards) -> Host:
    """Return host 0 after what host 1 passed on to it."""
    if guards.peers_tell_version:
        told = _take(told, teller.version, guards)
    leaving = teller.listed == "leaving"
    if leaving and guards.peers_tell_leaving and told.mark_age is None:
        told = told._replace(mark_age=0)
    # An entry that comes back too late was taken for gone, and told so.
    gone = teller.listed == "none" and state.up_for > RETURN_TICKS
    if gone and state.store_up and told.mark_age is None:
        told = told._replace(mark_age=0)
    return told


def _age(host: Host, state: State, index: int, guards: Guards) -> Host:
    if host.mark_age is None:
        return host
    is_listed = host.listed == "live" and _reads(state, index)
    is_old = host.mark_age >= MARK_TICKS
    if is_listed and is_old and guards.list_outlives_peers:
        return host._replace(mark_age=None)
    return host._replace(mark_age=min(host.mark_age + 1, LAST_TICK))


def _take(host: Host, version: int, guards: Guards) -> Host:
    if version <= host.version and guards.only_newer:
        return host
    went_back = version < host.version
    return host._replace(
        version=version, regressed=host.regressed or went_back
    )


def _reads(state: State, index: int) -> bool:
    return state.store_up and not (index == 0 and state.turned_away)


def _with_host(state: State, index: int, host: Host) -> State:
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=(hosts[0], hosts[1]))


def sends_work(state: State, host: Host, guards: Guards) -> bool:
    """Tell whether a host gives the upstream new work."""
    if host.mark_age is not None:
        return False
    if host.listed == "none":
        may_return = state.up_for <= RETURN_TICKS or not state.store_up
        return guards.lapsed_may_return and may_return
    return host.listed == "live"


def never_goes_back(state: State) -> bool:
    """Tell whether no host went to an older version."""
    return not any(host.regressed for host in state.hosts)


def follows(state: State) -> bool:
    """Tell whether a host that was turned away follows its peer."""
    return state.behind_for <= 1


def view(name: str, guards: Guards) -> Protocol:
    """Return the specification for the checker."""

    def leaves_in_time(state: State) -> bool:
        """Tell whether new work stopped in time, at hosts that can know."""
        if state.left_for <= LEAVING_BOUND or not state.store_up:
            return True
        return not any(sends_work(state, h, guards) for h in state.hosts)

    def lapsed_is_kept(state: State) -> bool:
        """Tell whether a live upstream is used while it may come back."""
        waits = state.lapsed and state.up_for <= RETURN_TICKS
        reader = state.hosts[1]
        if not waits or reader.mark_age is not None:
            return True
        return sends_work(state, reader, guards)

    def comes_back(state: State) -> bool:
        """Tell whether an upstream that is listed again gets work again."""
        if state.listed_for <= MARK_TICKS + 1:
            return True
        return all(sends_work(state, h, guards) for h in state.hosts)

    checks = (
        never_goes_back,
        follows,
        leaves_in_time,
        lapsed_is_kept,
        comes_back,
    )
    return specify(name, State(), lambda state: steps(state, guards), checks)


BROKEN = {
    "older versions taken": Guards(only_newer=False),
    "peers tell no version": Guards(peers_tell_version=False),
    "peers tell no leaving": Guards(peers_tell_leaving=False),
    "lapsed entries dropped at once": Guards(lapsed_may_return=False),
    "a peer's word outlives the list": Guards(list_outlives_peers=False),
}


def sound_verdict() -> Verdict:
    """Check the specification with every guard."""
    return search(view("platform view", Guards()))


def broken_verdict(name: str) -> Verdict:
    """Check one broken variant."""
    return search(view(name, BROKEN[name]))
