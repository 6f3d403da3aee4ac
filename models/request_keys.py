"""Specification of homed request keys: at most one execution per key.

One key of one incarnation of a home, two peers, one caller that retries at
any host. The home may be paused at any point (its steps come late), killed,
restarted, or left gracefully with its key table handed to a successor.
Messages to the home and the hand-over may be late, repeated or lost. Keys
without a home are in `models.unhomed_keys`.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Literal, NamedTuple

import attrs
from minicheck import Protocol

from models._specification import specify
from models._verdict import Verdict, describe, search
from models.unhomed_keys import UNHOMED_BROKEN, UNHOMED_SOUND, unhomed

BROKEN_STATES = 100_000  # a shortest counterexample lies well within
POSTS = 3
PEERS = (0, 1)

Phase = Literal["up", "leaving", "handed", "dead", "restarted"]
# What a key table says of the key. "absent": not in the table.
Entry = Literal["absent", "accepted", "running", "whole", "refused", "unknown"]


@attrs.frozen(kw_only=True)
class Guards:
    """Switch single guards off, to show that each is needed."""

    successor_takes: bool = False  # it may run keys new to the table
    home_only: bool = True
    unknown_when_home_dead: bool = True
    incarnation_in_key: bool = True
    stops_after_handover: bool = True
    no_refusal_where_successor_takes: bool = True
    one_successor: bool = True
    first_handover_counts: bool = True
    handover_names_incarnation: bool = True
    unfinished_handed_as_unknown: bool = True
    sent_once: bool = True
    refusal_remembered: bool = True
    key_kept_once_sent: bool = True


class Peer(NamedTuple):
    """What a peer knows of the home's keys."""

    table: Entry | None = None  # None: not taken over
    handovers: tuple[Entry, ...] = ()  # under way to it
    restarted: bool = False


class State(NamedTuple):
    """The whole system."""

    phase: Phase = "up"
    entry: Entry = "absent"
    peers: tuple[Peer, ...] = (Peer(), Peer())
    handed_to: int | None = None
    posts_left: int = POSTS
    posts: int = 0  # under way to the home
    runs: int = 0
    new_key: bool = False  # the caller drew another key; that one ran
    told: frozenset[Entry] = frozenset()


Steps = Iterator[tuple[str, State]]


def steps(state: State, guards: Guards) -> Steps:
    """Yield every step that may come next."""
    yield from _caller_steps(state, guards)
    yield from _home_steps(state, guards)
    yield from _run_steps(state, guards)
    yield from _leave_steps(state, guards)
    for index in PEERS:
        yield from _peer_steps(state, index, guards)


def _caller_steps(state: State, guards: Guards) -> Steps:
    if state.new_key:
        return
    if state.posts_left:
        after = state._replace(posts_left=state.posts_left - 1)
        yield "caller posts", after._replace(posts=state.posts + 1)
        for index in PEERS:
            yield from _ask_peer(after, index, guards)
    unsent = state.posts_left == POSTS
    told_unknown = "unknown" in state.told and not guards.key_kept_once_sent
    if unsent or "refused" in state.told or told_unknown:
        yield "caller draws a new key", state._replace(new_key=True)


def _ask_peer(state: State, index: int, guards: Guards) -> Steps:
    """Answer a retry at a peer, other than by passing it to the home."""
    peer = state.peers[index]
    name = f"peer {index}"
    if not guards.home_only:
        yield f"{name} runs it", state._replace(runs=state.runs + 1)
    if peer.table is None:
        dead = state.phase in ("dead", "restarted")
        says: Entry = "unknown"
        if dead and not guards.unknown_when_home_dead:
            says = "refused"
        yield f"{name} gives up on the home", _tell(state, says)
    elif peer.table != "absent":
        yield f"{name} answers", _tell(state, peer.table)
    elif guards.successor_takes:
        ran = _with_peer(state, index, peer._replace(table="whole"))
        ran = ran._replace(runs=state.runs + 1)
        yield f"{name} runs it", _tell(ran, "whole")
    else:
        yield f"{name} answers", _tell(state, "refused")


def _home_steps(state: State, guards: Guards) -> Steps:
    """Take in a post that is under way to the home."""
    if not state.posts:
        return
    after = state._replace(posts=state.posts - 1)
    yield "post is lost", after
    if state.phase == "dead":
        return
    if state.phase == "restarted" and guards.incarnation_in_key:
        yield "new incarnation answers", _tell(after, "unknown")
        return
    if state.entry in ("accepted", "running"):
        return
    if state.entry != "absent":
        yield "home answers", _tell(after, state.entry)
        return
    if _takes(state.phase, guards):
        yield "home accepts", after._replace(entry="accepted")
    if state.phase == "handed" and _leaves_to_successor(guards):
        yield "home does not know", _tell(after, "unknown")
        return
    entry: Entry = "refused" if guards.refusal_remembered else "absent"
    yield "home refuses", _tell(after._replace(entry=entry), "refused")


def _takes(phase: Phase, guards: Guards) -> bool:
    return phase != "handed" or not guards.stops_after_handover


def _leaves_to_successor(guards: Guards) -> bool:
    return guards.successor_takes and guards.no_refusal_where_successor_takes


def _run_steps(state: State, guards: Guards) -> Steps:
    if state.phase == "dead":
        return
    if state.entry == "accepted":
        running = state._replace(entry="running", runs=state.runs + 1)
        yield "home dispatches", running
        yield "home refuses after all", _ended(state, "refused")
    if state.entry == "running":
        yield "run ends", _ended(state, "whole")
        yield "answer is lost", _ended(state, "unknown")
        if not guards.sent_once and state.runs < 2:
            yield "home sends again", state._replace(runs=state.runs + 1)


def _ended(state: State, entry: Entry) -> State:
    return _tell(state._replace(entry=entry), entry)


def _leave_steps(state: State, guards: Guards) -> Steps:
    if state.phase == "up":
        yield "home leaves", state._replace(phase="leaving")
    if state.phase == "leaving":
        for index in PEERS:
            yield f"hands over to {index}", _hand(state, index, guards)
    if state.phase == "handed" and not guards.one_successor:
        other = 1 - (state.handed_to or 0)
        if not state.peers[other].handovers:
            yield f"hands over to {other} too", _hand(state, other, guards)
    if state.phase not in ("dead", "restarted"):
        yield "home is killed", state._replace(phase="dead", entry="absent")
    if state.phase == "dead":
        yield "home restarts", state._replace(phase="restarted")


def _hand(state: State, index: int, guards: Guards) -> State:
    entry = state.entry
    if entry in ("accepted", "running"):
        unknown = guards.unfinished_handed_as_unknown
        entry = "unknown" if unknown else "absent"
    peer = state.peers[index]
    sent = peer._replace(handovers=(*peer.handovers, entry)[-2:])
    after = _with_peer(state, index, sent)
    return after._replace(phase="handed", handed_to=index)


def _peer_steps(state: State, index: int, guards: Guards) -> Steps:
    peer = state.peers[index]
    name = f"peer {index}"
    for entry in set(peer.handovers):
        kept = peer
        misses = peer.restarted and guards.handover_names_incarnation
        if not misses and _counts(peer, guards):
            kept = peer._replace(table=entry)
        # It stays under way too: that is how a repeated one appears.
        yield f"{name} takes the table", _with_peer(state, index, kept)
    if peer.handovers:
        lost = peer._replace(handovers=())
        yield f"hand-over to {index} is lost", _with_peer(state, index, lost)
    if not peer.restarted:
        killed = peer._replace(table=None, restarted=True)
        yield f"{name} is replaced", _with_peer(state, index, killed)


def _counts(peer: Peer, guards: Guards) -> bool:
    return peer.table is None or not guards.first_handover_counts


def _tell(state: State, says: Entry) -> State:
    return state._replace(told=state.told | {says})


def _with_peer(state: State, index: int, peer: Peer) -> State:
    peers = list(state.peers)
    peers[index] = peer
    return state._replace(peers=tuple(peers))


def at_most_once(state: State) -> bool:
    """Tell whether the work ran at most once, under whatever key."""
    return state.runs + state.new_key <= 1


def refused_never_ran(state: State) -> bool:
    """Tell whether a refused key did not run, then or later."""
    return "refused" not in state.told or state.runs == 0


def whole_ran_once(state: State) -> bool:
    """Tell whether a key answered as whole ran exactly once."""
    return "whole" not in state.told or state.runs == 1


def homed(name: str, guards: Guards) -> Protocol:
    """Return the specification for the checker."""
    return specify(
        name,
        State(),
        lambda state: steps(state, guards),
        (at_most_once, refused_never_ran, whole_ran_once),
    )


SOUND = {
    "successor refuses new keys": Guards(),
    "successor takes new keys": Guards(successor_takes=True),
}
BROKEN = {
    "any host runs a key": Guards(home_only=False),
    "refused when the home is dead": Guards(unknown_when_home_dead=False),
    "restarted home takes old keys": Guards(incarnation_in_key=False),
    "home takes keys after the hand-over": Guards(stops_after_handover=False),
    "refused by the home, taken by the successor": Guards(
        successor_takes=True, no_refusal_where_successor_takes=False
    ),
    "two successors": Guards(successor_takes=True, one_successor=False),
    "repeated hand-over replaces the table": Guards(
        successor_takes=True, first_handover_counts=False
    ),
    "hand-over reaches a new incarnation": Guards(
        successor_takes=True, handover_names_incarnation=False
    ),
    "unfinished key left out of the table": Guards(
        unfinished_handed_as_unknown=False
    ),
    "sent again after a lost answer": Guards(sent_once=False),
    "refusal forgotten": Guards(refusal_remembered=False),
    "new key after unknown": Guards(key_kept_once_sent=False),
}


def sound_verdicts() -> Iterator[Verdict]:
    """Search all states of every specification."""
    for name, guards in SOUND.items():
        yield search(homed(name, guards))
    for name, unhomed_guards in UNHOMED_SOUND.items():
        yield search(unhomed(name, unhomed_guards))


def broken_verdicts() -> Iterator[Verdict]:
    """Search every broken variant until a bound on the states."""
    for name, guards in BROKEN.items():
        yield search(homed(name, guards))
    for name, unhomed_guards in UNHOMED_BROKEN.items():
        yield search(unhomed(name, unhomed_guards), BROKEN_STATES)


def main() -> int:
    """Print every verdict; return 1 when one is not as it must be."""
    right = True
    for verdict in sound_verdicts():
        right = right and verdict.holds
        print(describe(verdict), flush=True)
    for verdict in broken_verdicts():
        right = right and bool(verdict.violated)
        print(describe(verdict), flush=True)
    return 0 if right else 1


if __name__ == "__main__":
    sys.exit(main())
