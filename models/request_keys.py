"""Specification of homed request keys: at most one execution per key.

The model has one key that belongs to one incarnation of its home host, two
peers, and one caller that retries at any host. The home may be paused at
any point (its steps come late), killed, restarted, or shut down gracefully
with its key table handed over to a successor. Messages to the home and the
hand-over may be late, repeated or lost. Keys without a home are specified in
`models.unhomed_keys`.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Literal, NamedTuple

import attrs
from minicheck import Protocol

from models._specification import specify
from models._verdict import Verdict, describe, search
from models.unhomed_keys import UNHOMED_BROKEN, UNHOMED_SOUND, unhomed_protocol

BROKEN_STATES = 100_000  # enough to reach the shortest counterexamples
POSTS = 3
PEER_INDICES = (0, 1)

Phase = Literal["up", "leaving", "handed", "dead", "restarted"]
# State of the key in a key table. "absent": not in the table.
KeyState = Literal[
    "absent", "accepted", "running", "whole", "refused", "unknown"
]


@attrs.frozen(kw_only=True)
class Guards:
    """Safeguards of the protocol; a broken variant disables one of them."""

    # The successor may run keys that are not in the table.
    successor_accepts_new_keys: bool = False
    only_home_executes: bool = True
    unknown_when_home_dead: bool = True
    incarnation_in_key: bool = True
    home_stops_after_handover: bool = True
    home_defers_to_successor: bool = True
    one_successor: bool = True
    only_first_handover_applies: bool = True
    handover_bound_to_incarnation: bool = True
    unfinished_handed_over_as_unknown: bool = True
    dispatched_once: bool = True
    refusal_remembered: bool = True
    key_kept_after_first_post: bool = True


class Peer(NamedTuple):
    """Knowledge of a peer about the home's keys."""

    taken_over_state: KeyState | None = None  # None: table not taken over
    handovers_in_transit: tuple[KeyState, ...] = ()
    restarted: bool = False


class State(NamedTuple):
    """State of the home, its peers, the caller and the executions."""

    phase: Phase = "up"
    entry: KeyState = "absent"
    peers: tuple[Peer, ...] = (Peer(), Peer())
    successor: int | None = None
    posts_remaining: int = POSTS
    posts_in_transit: int = 0  # to the home
    executions: int = 0
    used_new_key: bool = False  # the caller drew another key, which ran
    answers: frozenset[KeyState] = frozenset()


Steps = Iterator[tuple[str, State]]


def steps(state: State, guards: Guards) -> Steps:
    """Yield the label and the state of every possible next step."""
    yield from _caller_steps(state, guards)
    yield from _home_steps(state, guards)
    yield from _execution_steps(state, guards)
    yield from _leave_steps(state, guards)
    for index in PEER_INDICES:
        yield from _peer_steps(state, index, guards)


def _caller_steps(state: State, guards: Guards) -> Steps:
    if state.used_new_key:
        return
    if state.posts_remaining:
        after = state._replace(posts_remaining=state.posts_remaining - 1)
        yield (
            "caller posts",
            after._replace(posts_in_transit=state.posts_in_transit + 1),
        )
        for index in PEER_INDICES:
            yield from _ask_peer(after, index, guards)
    nothing_posted = state.posts_remaining == POSTS
    told_unknown = (
        "unknown" in state.answers and not guards.key_kept_after_first_post
    )
    if nothing_posted or "refused" in state.answers or told_unknown:
        yield "caller draws a new key", state._replace(used_new_key=True)


def _ask_peer(state: State, index: int, guards: Guards) -> Steps:
    """Yield the answers of a peer to a retry that it does not forward."""
    peer = state.peers[index]
    name = f"peer {index}"
    if not guards.only_home_executes:
        yield (
            f"{name} runs it",
            state._replace(executions=state.executions + 1),
        )
    if peer.taken_over_state is None:
        home_lost = state.phase in ("dead", "restarted")
        answer: KeyState = "unknown"
        if home_lost and not guards.unknown_when_home_dead:
            answer = "refused"
        yield f"{name} gives up on the home", _answer(state, answer)
    elif peer.taken_over_state != "absent":
        yield f"{name} answers", _answer(state, peer.taken_over_state)
    elif guards.successor_accepts_new_keys:
        ran = _with_peer(state, index, peer._replace(taken_over_state="whole"))
        ran = ran._replace(executions=state.executions + 1)
        yield f"{name} runs it", _answer(ran, "whole")
    else:
        yield f"{name} answers", _answer(state, "refused")


def _home_steps(state: State, guards: Guards) -> Steps:
    """Yield the outcomes of a post that is in transit to the home."""
    if not state.posts_in_transit:
        return
    after = state._replace(posts_in_transit=state.posts_in_transit - 1)
    yield "post is lost", after
    if state.phase == "dead":
        return
    if state.phase == "restarted" and guards.incarnation_in_key:
        yield "new incarnation answers", _answer(after, "unknown")
        return
    if state.entry in ("accepted", "running"):
        return
    if state.entry != "absent":
        yield "home answers", _answer(after, state.entry)
        return
    if _accepts_new_keys(state.phase, guards):
        yield "home accepts", after._replace(entry="accepted")
    if state.phase == "handed" and _leaves_refusal_to_successor(guards):
        yield "home does not know", _answer(after, "unknown")
        return
    entry: KeyState = "refused" if guards.refusal_remembered else "absent"
    yield "home refuses", _answer(after._replace(entry=entry), "refused")


def _accepts_new_keys(phase: Phase, guards: Guards) -> bool:
    return phase != "handed" or not guards.home_stops_after_handover


def _leaves_refusal_to_successor(guards: Guards) -> bool:
    return (
        guards.successor_accepts_new_keys and guards.home_defers_to_successor
    )


def _execution_steps(state: State, guards: Guards) -> Steps:
    if state.phase == "dead":
        return
    if state.entry == "accepted":
        running = state._replace(
            entry="running", executions=state.executions + 1
        )
        yield "home dispatches", running
        yield "home refuses after all", _finish(state, "refused")
    if state.entry == "running":
        yield "run ends", _finish(state, "whole")
        yield "answer is lost", _finish(state, "unknown")
        if not guards.dispatched_once and state.executions < 2:
            yield (
                "home sends again",
                state._replace(executions=state.executions + 1),
            )


def _finish(state: State, entry: KeyState) -> State:
    return _answer(state._replace(entry=entry), entry)


def _leave_steps(state: State, guards: Guards) -> Steps:
    if state.phase == "up":
        yield "home leaves", state._replace(phase="leaving")
    if state.phase == "leaving":
        for index in PEER_INDICES:
            yield f"hands over to {index}", _hand_over(state, index, guards)
    if state.phase == "handed" and not guards.one_successor:
        other = 1 - (state.successor or 0)
        if not state.peers[other].handovers_in_transit:
            yield (
                f"hands over to {other} too",
                _hand_over(state, other, guards),
            )
    if state.phase not in ("dead", "restarted"):
        yield "home is killed", state._replace(phase="dead", entry="absent")
    if state.phase == "dead":
        yield "home restarts", state._replace(phase="restarted")


def _hand_over(state: State, index: int, guards: Guards) -> State:
    entry = state.entry
    if entry in ("accepted", "running"):
        unknown = guards.unfinished_handed_over_as_unknown
        entry = "unknown" if unknown else "absent"
    peer = state.peers[index]
    with_handover = peer._replace(
        handovers_in_transit=(*peer.handovers_in_transit, entry)[-2:]
    )
    after = _with_peer(state, index, with_handover)
    return after._replace(phase="handed", successor=index)


def _peer_steps(state: State, index: int, guards: Guards) -> Steps:
    peer = state.peers[index]
    name = f"peer {index}"
    for entry in set(peer.handovers_in_transit):
        updated = peer
        is_misaddressed = (
            peer.restarted and guards.handover_bound_to_incarnation
        )
        if not is_misaddressed and _applies_handover(peer, guards):
            updated = peer._replace(taken_over_state=entry)
        # The message stays in transit as well, which models a repeat.
        yield f"{name} takes the table", _with_peer(state, index, updated)
    if peer.handovers_in_transit:
        lost = peer._replace(handovers_in_transit=())
        yield f"hand-over to {index} is lost", _with_peer(state, index, lost)
    if not peer.restarted:
        killed = peer._replace(taken_over_state=None, restarted=True)
        yield f"{name} is replaced", _with_peer(state, index, killed)


def _applies_handover(peer: Peer, guards: Guards) -> bool:
    return (
        peer.taken_over_state is None or not guards.only_first_handover_applies
    )


def _answer(state: State, answer: KeyState) -> State:
    return state._replace(answers=state.answers | {answer})


def _with_peer(state: State, index: int, peer: Peer) -> State:
    peers = list(state.peers)
    peers[index] = peer
    return state._replace(peers=tuple(peers))


def at_most_once(state: State) -> bool:
    """Return whether the work ran at most once, under either key."""
    return state.executions + state.used_new_key <= 1


def refused_never_ran(state: State) -> bool:
    """Return whether a refused key did not run, before or later."""
    return "refused" not in state.answers or state.executions == 0


def whole_ran_once(state: State) -> bool:
    """Return whether a key with a complete answer ran exactly once."""
    return "whole" not in state.answers or state.executions == 1


def homed_protocol(name: str, guards: Guards) -> Protocol:
    """Return the protocol with these guards for the model checker."""
    return specify(
        name,
        State(),
        lambda state: steps(state, guards),
        (at_most_once, refused_never_ran, whole_ran_once),
    )


SOUND = {
    "successor refuses new keys": Guards(),
    "successor takes new keys": Guards(successor_accepts_new_keys=True),
}
BROKEN = {
    "any host runs a key": Guards(only_home_executes=False),
    "refused when the home is dead": Guards(unknown_when_home_dead=False),
    "restarted home takes old keys": Guards(incarnation_in_key=False),
    "home takes keys after the hand-over": Guards(
        home_stops_after_handover=False
    ),
    "refused by the home, taken by the successor": Guards(
        successor_accepts_new_keys=True, home_defers_to_successor=False
    ),
    "two successors": Guards(
        successor_accepts_new_keys=True, one_successor=False
    ),
    "repeated hand-over replaces the table": Guards(
        successor_accepts_new_keys=True, only_first_handover_applies=False
    ),
    "hand-over reaches a new incarnation": Guards(
        successor_accepts_new_keys=True, handover_bound_to_incarnation=False
    ),
    "unfinished key left out of the table": Guards(
        unfinished_handed_over_as_unknown=False
    ),
    "sent again after a lost answer": Guards(dispatched_once=False),
    "refusal forgotten": Guards(refusal_remembered=False),
    "new key after unknown": Guards(key_kept_after_first_post=False),
}


def sound_verdicts() -> Iterator[Verdict]:
    """Search all states of every sound specification."""
    for name, guards in SOUND.items():
        yield search(homed_protocol(name, guards))
    for name, unhomed_guards in UNHOMED_SOUND.items():
        yield search(unhomed_protocol(name, unhomed_guards))


def broken_verdicts() -> Iterator[Verdict]:
    """Search every broken variant; unhomed ones up to BROKEN_STATES."""
    for name, guards in BROKEN.items():
        yield search(homed_protocol(name, guards))
    for name, unhomed_guards in UNHOMED_BROKEN.items():
        yield search(unhomed_protocol(name, unhomed_guards), BROKEN_STATES)


def main() -> int:
    """Print every verdict; return 1 when one is not as expected."""
    as_expected = True
    for verdict in sound_verdicts():
        as_expected = as_expected and verdict.holds
        print(describe(verdict), flush=True)
    for verdict in broken_verdicts():
        as_expected = as_expected and bool(verdict.violated)
        print(describe(verdict), flush=True)
    return 0 if as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
