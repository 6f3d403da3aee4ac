"""Specification of a host's view of the platform and how long it is valid.

Two hosts follow one record of operators and the entry of one upstream. The
store refuses hosts, is down, answers late, and lets entries expire while it
is down. A peer forwards what it reads. Time advances in ticks; a host that
can read does so within one.
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
MAX_LEAVING_TICKS = 2  # after which no host sends new work
RETURN_GRACE_TICKS = 1  # for an expired entry to come back
LEAVING_MARK_TICKS = 1  # a peer's mark overrides the list

Listed = Literal["live", "leaving", "none"]


@attrs.frozen(kw_only=True)
class Guards:
    """Safeguards of the protocol; a broken variant disables one of them."""

    only_newer_versions_accepted: bool = True
    peers_send_version: bool = True
    peers_send_leaving: bool = True
    lapsed_may_return: bool = True
    list_overrides_peers: bool = True


class Host(NamedTuple):
    """View of one host; the store may refuse host 0, and host 1 reads."""

    version: int = 0
    pending_read: int | None = None  # version in a read in progress
    listed: Listed = "live"  # as last read
    leaving_mark_ticks: int | None = None  # age of a peer's mark
    missing_ticks: int | None = None  # that the entry is not listed
    has_regressed: bool = False


class State(NamedTuple):
    """State of the store, the upstream and both hosts."""

    tick: int = 0
    version: int = 0
    store_up: bool = True
    host_0_refused: bool = False  # by the store
    listed: Listed = "live"  # in the store
    alive: bool = True
    lapsed: bool = False
    store_up_ticks: int = RETURN_GRACE_TICKS + 1  # since the store is back
    leaving_ticks: int = 0  # since the store lists it as leaving
    listed_ticks: int = 0  # listed as live without a fault
    behind_ticks: int = 0  # host 0 lags behind host 1
    hosts: tuple[Host, Host] = (Host(), Host())


Steps = Iterator[tuple[str, State]]


def steps(state: State, guards: Guards) -> Steps:
    """Yield the label and the state of every possible next step."""
    if state.tick < LAST_TICK:
        yield "tick", _tick(state, guards)
    if state.version < LAST_VERSION and state.store_up:
        yield "publish", state._replace(version=state.version + 1)
    yield from _store_steps(state)
    for index, host in enumerate(state.hosts):
        if _can_read(state, index) and host.pending_read is None:
            started = host._replace(pending_read=state.version)
            yield (
                f"host {index} begins a read",
                _with_host(state, index, started),
            )
        if host.pending_read is not None:
            finished = _accept_version(
                host, host.pending_read, guards
            )._replace(pending_read=None)
            yield (
                f"host {index} ends its read",
                _with_host(state, index, finished),
            )


def _store_steps(state: State) -> Steps:
    if state.store_up and state.lapsed:
        # Early or late: the entry may reach the store a while after
        # other entries do.
        returned = state._replace(listed="live", lapsed=False, listed_ticks=0)
        yield "entry returns", returned
    if state.store_up and state.listed == "live":
        leaving = state._replace(
            listed="leaving", alive=False, leaving_ticks=0
        )
        yield "upstream leaves", leaving
    if state.tick >= LAST_TICK - 3:
        return  # faults come early, so that their time limits are reached
    if state.store_up:
        yield "store down", state._replace(store_up=False, listed_ticks=0)
        if not state.host_0_refused and not state.lapsed:
            yield "host 0 refused", state._replace(host_0_refused=True)
    else:
        yield "store back", state._replace(store_up=True, store_up_ticks=0)
        if state.listed == "live":
            lapsed = state._replace(listed="none", lapsed=True)
            yield "entry lapses", lapsed


def _tick(state: State, guards: Guards) -> State:
    """Advance by one tick, in which every host that can read has read."""
    hosts = list(state.hosts)
    for index, host in enumerate(hosts):
        if _can_read(state, index):
            host = _accept_version(host, state.version, guards)
            host = host._replace(listed=state.listed, missing_ticks=None)
        hosts[index] = _age_leaving_mark(host, state, index, guards)
    hosts[0] = _apply_peer_report(hosts[0], hosts[1], state, guards)
    after = state._replace(
        tick=state.tick + 1,
        hosts=(hosts[0], hosts[1]),
        store_up_ticks=state.store_up_ticks + 1 if state.store_up else 0,
        leaving_ticks=state.leaving_ticks + (state.listed == "leaving"),
    )
    undisturbed = state.store_up and not state.host_0_refused
    live = state.listed == "live" and undisturbed
    is_behind = hosts[0].version < hosts[1].version
    return after._replace(
        listed_ticks=state.listed_ticks + 1 if live else 0,
        behind_ticks=state.behind_ticks + 1 if is_behind else 0,
    )


def _apply_peer_report(
    receiver: Host, sender: Host, state: State, guards: Guards
) -> Host:
    """Return host 0 after what host 1 forwarded to it."""
    if guards.peers_send_version:
        receiver = _accept_version(receiver, sender.version, guards)
    leaving = sender.listed == "leaving"
    if (
        leaving
        and guards.peers_send_leaving
        and receiver.leaving_mark_ticks is None
    ):
        receiver = receiver._replace(leaving_mark_ticks=0)
    # The sender treats an entry that comes back too late as gone and
    # reports it as such.
    gone = (
        sender.listed == "none" and state.store_up_ticks > RETURN_GRACE_TICKS
    )
    if gone and state.store_up and receiver.leaving_mark_ticks is None:
        receiver = receiver._replace(leaving_mark_ticks=0)
    return receiver


def _age_leaving_mark(
    host: Host, state: State, index: int, guards: Guards
) -> Host:
    if host.leaving_mark_ticks is None:
        return host
    is_listed = host.listed == "live" and _can_read(state, index)
    is_old = host.leaving_mark_ticks >= LEAVING_MARK_TICKS
    if is_listed and is_old and guards.list_overrides_peers:
        return host._replace(leaving_mark_ticks=None)
    return host._replace(
        leaving_mark_ticks=min(host.leaving_mark_ticks + 1, LAST_TICK)
    )


def _accept_version(host: Host, version: int, guards: Guards) -> Host:
    if version <= host.version and guards.only_newer_versions_accepted:
        return host
    is_older = version < host.version
    return host._replace(
        version=version, has_regressed=host.has_regressed or is_older
    )


def _can_read(state: State, index: int) -> bool:
    return state.store_up and not (index == 0 and state.host_0_refused)


def _with_host(state: State, index: int, host: Host) -> State:
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=(hosts[0], hosts[1]))


def sends_work(state: State, host: Host, guards: Guards) -> bool:
    """Return whether a host sends the upstream new work."""
    if host.leaving_mark_ticks is not None:
        return False
    if host.listed == "none":
        may_return = (
            state.store_up_ticks <= RETURN_GRACE_TICKS or not state.store_up
        )
        return guards.lapsed_may_return and may_return
    return host.listed == "live"


def never_goes_back(state: State) -> bool:
    """Return whether no host went back to an older version."""
    return not any(host.has_regressed for host in state.hosts)


def follows(state: State) -> bool:
    """Return whether a host that the store refuses follows its peer."""
    return state.behind_ticks <= 1


def protocol(name: str, guards: Guards) -> Protocol:
    """Return the protocol with these guards for the model checker."""

    def leaves_in_time(state: State) -> bool:
        """Return whether new work stopped in time on hosts that can know."""
        if state.leaving_ticks <= MAX_LEAVING_TICKS or not state.store_up:
            return True
        return not any(sends_work(state, host, guards) for host in state.hosts)

    def lapsed_is_kept(state: State) -> bool:
        """Return whether an expired upstream is used while it may return."""
        within_grace = (
            state.lapsed and state.store_up_ticks <= RETURN_GRACE_TICKS
        )
        reader = state.hosts[1]
        if not within_grace or reader.leaving_mark_ticks is not None:
            return True
        return sends_work(state, reader, guards)

    def comes_back(state: State) -> bool:
        """Return whether an upstream that is listed again gets new work."""
        if state.listed_ticks <= LEAVING_MARK_TICKS + 1:
            return True
        return all(sends_work(state, host, guards) for host in state.hosts)

    checks = (
        never_goes_back,
        follows,
        leaves_in_time,
        lapsed_is_kept,
        comes_back,
    )
    return specify(name, State(), lambda state: steps(state, guards), checks)


BROKEN = {
    "older versions taken": Guards(only_newer_versions_accepted=False),
    "peers tell no version": Guards(peers_send_version=False),
    "peers tell no leaving": Guards(peers_send_leaving=False),
    "lapsed entries dropped at once": Guards(lapsed_may_return=False),
    "a peer's word outlives the list": Guards(list_overrides_peers=False),
}


def sound_verdict() -> Verdict:
    """Search all states of the specification with every guard."""
    return search(protocol("platform view", Guards()))


def broken_verdict(name: str) -> Verdict:
    """Search the states of one broken variant."""
    return search(protocol(name, BROKEN[name]))
