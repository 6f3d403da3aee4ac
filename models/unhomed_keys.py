"""Specification of keys without a home: the first claim on the log wins.

One key, created at time 0; two hosts that may be replaced; a log that
forgets records some time after their retention. Any step may be put off:
that is how pauses, late appends and outages of the log appear here.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import attrs
from minicheck import Protocol

from models._specification import specify

KEY_AGE = 1  # a claim of an older key is void
RETENTION = 2  # the log keeps a record at least that long
LAST_TIME = 4
CLAIMS = 3
HOSTS = (0, 1)


@attrs.frozen(kw_only=True)
class Guards:
    """Switch single guards off, to show that each is needed."""

    folds_retained_first: bool = True
    age_checked_where_it_lands: bool = True
    gap_noticed: bool = True
    claimed_by_incarnation: bool = True
    first_wins: bool = True


class Claim(NamedTuple):
    """A claim on the log."""

    owner: int
    incarnation: int
    time: int


class Host(NamedTuple):
    """One host; a replaced one has the next incarnation."""

    incarnation: int = 0
    folded: int | None = None  # the next offset; None: read nothing yet
    winner: Claim | None = None
    unsure: bool = False  # records between were forgotten unread
    asked: bool = False
    landing: bool = False  # its append is under way
    ran: bool = False


class State(NamedTuple):
    """The whole system."""

    time: int = 0
    claims: tuple[Claim, ...] = ()  # all ever made, by offset
    earliest: int = 0
    hosts: tuple[Host, ...] = (Host(), Host())
    runs: int = 0
    whole: bool = False


Steps = Iterator[tuple[str, State]]


def steps(state: State, guards: Guards) -> Steps:
    """Yield every step that may come next."""
    if state.time < LAST_TIME:
        yield "tick", state._replace(time=state.time + 1)
    if _may_forget(state):
        yield "log forgets", state._replace(earliest=state.earliest + 1)
    for index in HOSTS:
        yield from _host_steps(state, index, guards)


def _may_forget(state: State) -> bool:
    if state.earliest == len(state.claims):
        return False
    oldest = state.claims[state.earliest]
    return state.time - oldest.time > RETENTION


def _host_steps(state: State, index: int, guards: Guards) -> Steps:
    host = state.hosts[index]
    name = f"{'AB'[index]}{host.incarnation}"
    if not host.asked and _may_claim(state, host, guards):
        # The key's age at the host is not trusted: the append may be late.
        asked = host._replace(asked=True, landing=True)
        yield f"{name} claims", _with_host(state, index, asked)
    if host.landing:
        yield f"{name}'s claim lands", _land(state, index, guards)
    if host.folded is None or host.folded < len(state.claims):
        yield f"{name} reads", _read(state, index, guards)
    if _may_run(host, index, guards):
        ran = _with_host(state, index, host._replace(ran=True))
        yield f"{name} runs it", ran._replace(runs=state.runs + 1, whole=True)
    if host.incarnation == 0:
        newcomer = Host(incarnation=1, landing=host.landing)
        yield f"{name} is replaced", _with_host(state, index, newcomer)


def _may_claim(state: State, host: Host, guards: Guards) -> bool:
    if len(state.claims) >= CLAIMS:
        return False
    return host.folded is not None or not guards.folds_retained_first


def _land(state: State, index: int, guards: Guards) -> State:
    host = state.hosts[index]
    after = _with_host(state, index, host._replace(landing=False))
    # The append of a host since replaced still bears the old incarnation.
    by_old = not host.asked
    incarnation = 0 if by_old else host.incarnation
    old = state.time > KEY_AGE
    if len(state.claims) >= CLAIMS:
        return after
    if old and guards.age_checked_where_it_lands:
        return after
    claim = Claim(index, incarnation, state.time)
    return after._replace(claims=(*state.claims, claim))


def _read(state: State, index: int, guards: Guards) -> State:
    host = state.hosts[index]
    begin = host.folded
    if begin is None:
        begin = state.earliest
        if not guards.folds_retained_first and host.asked:
            begin = max(begin, len(state.claims) - 1)
    gap = begin < state.earliest
    new = state.claims[max(begin, state.earliest) :]
    winner = host.winner
    if new and (winner is None or not guards.first_wins):
        winner = new[0] if guards.first_wins else new[-1]
    folded = host._replace(
        folded=len(state.claims),
        winner=winner,
        unsure=host.unsure or (gap and guards.gap_noticed),
    )
    return _with_host(state, index, folded)


def _may_run(host: Host, index: int, guards: Guards) -> bool:
    winner = host.winner
    if winner is None or host.ran or not host.asked or host.unsure:
        return False
    same = winner.incarnation == host.incarnation
    return winner.owner == index and (
        same or not guards.claimed_by_incarnation
    )


def _with_host(state: State, index: int, host: Host) -> State:
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=tuple(hosts))


def at_most_once(state: State) -> bool:
    """Tell whether the key ran at most once."""
    return state.runs <= 1


def whole_ran_once(state: State) -> bool:
    """Tell whether a key answered as whole ran exactly once."""
    return not state.whole or state.runs == 1


def unhomed(name: str, guards: Guards) -> Protocol:
    """Return the specification for the checker."""
    return specify(
        name,
        State(),
        lambda state: steps(state, guards),
        (at_most_once, whole_ran_once),
    )


UNHOMED_SOUND = {"first claim wins": Guards()}
UNHOMED_BROKEN = {
    "retained claims not folded first": Guards(folds_retained_first=False),
    "age not checked where the claim lands": Guards(
        age_checked_where_it_lands=False
    ),
    "gap not noticed": Guards(gap_noticed=False),
    "claimed by host, not incarnation": Guards(claimed_by_incarnation=False),
    "last claim wins": Guards(first_wins=False),
}
