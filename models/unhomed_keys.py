"""Specification of keys without a home: the first claim on the log wins.

The model has one key, created at time 0, two hosts that may be replaced,
and a log that drops records some time after their retention. Any step may
be delayed, which models pauses, late appends and outages of the log.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import attrs
from minicheck import Protocol

from models._specification import specify

MAX_KEY_AGE = 1  # a claim of an older key is ignored
RETENTION = 2  # minimum time that the log keeps a record
LAST_TIME = 4
MAX_CLAIMS = 3
HOSTS = (0, 1)


@attrs.frozen(kw_only=True)
class Guards:
    """Safeguards of the protocol; a broken variant disables one of them."""

    retained_claims_folded_first: bool = True
    age_checked_on_log: bool = True
    gap_noticed: bool = True
    claimed_by_incarnation: bool = True
    first_claim_wins: bool = True


class Claim(NamedTuple):
    """Claim record on the log."""

    owner: int
    incarnation: int
    time: int


class Host(NamedTuple):
    """Local state of one host; a replacement has the next incarnation."""

    incarnation: int = 0
    next_offset: int | None = None  # to read; None: nothing read yet
    winning_claim: Claim | None = None
    missed_records: bool = False  # the log dropped unread records
    has_claimed: bool = False
    append_pending: bool = False  # its claim is in transit to the log
    ran: bool = False


class State(NamedTuple):
    """State of the clock, the log, both hosts and the executions."""

    time: int = 0
    claims: tuple[Claim, ...] = ()  # all claims ever made, by offset
    earliest: int = 0
    hosts: tuple[Host, ...] = (Host(), Host())
    runs: int = 0
    answered_whole: bool = False


Steps = Iterator[tuple[str, State]]


def steps(state: State, guards: Guards) -> Steps:
    """Yield the label and the state of every possible next step."""
    if state.time < LAST_TIME:
        yield "tick", state._replace(time=state.time + 1)
    if _may_expire(state):
        yield "log forgets", state._replace(earliest=state.earliest + 1)
    for index in HOSTS:
        yield from _host_steps(state, index, guards)


def _may_expire(state: State) -> bool:
    if state.earliest == len(state.claims):
        return False
    oldest = state.claims[state.earliest]
    return state.time - oldest.time > RETENTION


def _host_steps(state: State, index: int, guards: Guards) -> Steps:
    host = state.hosts[index]
    name = f"{'AB'[index]}{host.incarnation}"
    if not host.has_claimed and _may_claim(state, host, guards):
        # The host does not check the key's age: the append may be late.
        has_claimed = host._replace(has_claimed=True, append_pending=True)
        yield f"{name} claims", _with_host(state, index, has_claimed)
    if host.append_pending:
        yield f"{name}'s claim lands", _land_append(state, index, guards)
    if host.next_offset is None or host.next_offset < len(state.claims):
        yield f"{name} reads", _read_log(state, index, guards)
    if _may_run(host, index, guards):
        ran = _with_host(state, index, host._replace(ran=True))
        yield (
            f"{name} runs it",
            ran._replace(runs=state.runs + 1, answered_whole=True),
        )
    if host.incarnation == 0:
        replacement = Host(incarnation=1, append_pending=host.append_pending)
        yield f"{name} is replaced", _with_host(state, index, replacement)


def _may_claim(state: State, host: Host, guards: Guards) -> bool:
    if len(state.claims) >= MAX_CLAIMS:
        return False
    return (
        host.next_offset is not None or not guards.retained_claims_folded_first
    )


def _land_append(state: State, index: int, guards: Guards) -> State:
    host = state.hosts[index]
    after = _with_host(state, index, host._replace(append_pending=False))
    # An append sent before the replacement names the old incarnation.
    before_replacement = not host.has_claimed
    incarnation = 0 if before_replacement else host.incarnation
    too_old = state.time > MAX_KEY_AGE
    if len(state.claims) >= MAX_CLAIMS:
        return after
    if too_old and guards.age_checked_on_log:
        return after
    claim = Claim(index, incarnation, state.time)
    return after._replace(claims=(*state.claims, claim))


def _read_log(state: State, index: int, guards: Guards) -> State:
    host = state.hosts[index]
    first_offset = host.next_offset
    if first_offset is None:
        first_offset = state.earliest
        if not guards.retained_claims_folded_first and host.has_claimed:
            first_offset = max(first_offset, len(state.claims) - 1)
    gap = first_offset < state.earliest
    unread_claims = state.claims[max(first_offset, state.earliest) :]
    winning_claim = host.winning_claim
    if unread_claims and (
        winning_claim is None or not guards.first_claim_wins
    ):
        winning_claim = (
            unread_claims[0] if guards.first_claim_wins else unread_claims[-1]
        )
    updated = host._replace(
        next_offset=len(state.claims),
        winning_claim=winning_claim,
        missed_records=host.missed_records or (gap and guards.gap_noticed),
    )
    return _with_host(state, index, updated)


def _may_run(host: Host, index: int, guards: Guards) -> bool:
    winning_claim = host.winning_claim
    if (
        winning_claim is None
        or host.ran
        or not host.has_claimed
        or host.missed_records
    ):
        return False
    same_incarnation = winning_claim.incarnation == host.incarnation
    return winning_claim.owner == index and (
        same_incarnation or not guards.claimed_by_incarnation
    )


def _with_host(state: State, index: int, host: Host) -> State:
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=tuple(hosts))


def at_most_once(state: State) -> bool:
    """Return whether the key ran at most once."""
    return state.runs <= 1


def whole_ran_once(state: State) -> bool:
    """Return whether a key with a complete answer ran exactly once."""
    return not state.answered_whole or state.runs == 1


def unhomed_protocol(name: str, guards: Guards) -> Protocol:
    """Return the protocol with these guards for the model checker."""
    return specify(
        name,
        State(),
        lambda state: steps(state, guards),
        (at_most_once, whole_ran_once),
    )


UNHOMED_SOUND = {"first claim wins": Guards()}
UNHOMED_BROKEN = {
    "retained claims not folded first": Guards(
        retained_claims_folded_first=False
    ),
    "age not checked where the claim lands": Guards(age_checked_on_log=False),
    "gap not noticed": Guards(gap_noticed=False),
    "claimed by host, not incarnation": Guards(claimed_by_incarnation=False),
    "last claim wins": Guards(first_claim_wins=False),
}
