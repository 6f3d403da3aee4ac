"""Specification of a host that follows the store through another host.

One host, the reader, reads a topic of the store and answers the other, the
follower, which polls it. The topic holds a configuration and an evacuation
beside it. The reader freezes, or is cut off from the store without its
knowledge, and recovers, at any moment. Answers are lost, come without a
configuration that is too large to send, or without evacuations, as from a
host of an older release. Time advances in ticks of half a second.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal, NamedTuple

import attrs
from minicheck import Protocol

from models._specification import specify
from models._verdict import Verdict, search

LAST_TICK = 14
READ_TICKS = 4  # that a read waits at the store when nothing changes
POLL_TICKS = 2  # between two polls of the follower
MAX_AGE_TICKS = 6  # of the follower's copy before it reads the store itself
MAX_DELAY_TICKS = 7  # until the follower has to know a change

Reader = Literal["well", "frozen", "cut off"]
Answer = Literal["whole", "lost", "without content", "version alone"]
READERS: tuple[Reader, ...] = ("well", "frozen", "cut off")
ANSWERS: tuple[Answer, ...] = (
    "whole",
    "lost",
    "without content",
    "version alone",
)


@attrs.frozen(kw_only=True)
class Guards:
    """Safeguards of the protocol; a broken variant disables one of them."""

    age_is_sent: bool = True
    reads_store_when_stale: bool = True
    only_full_answer_confirms: bool = True
    evacuations_needed_to_confirm: bool = True


class Copy(NamedTuple):
    """Copy of the topic on one host, and how old it may be."""

    version: int = 0
    age_ticks: int = 0
    evacuated: bool = False


class State(NamedTuple):
    """State of the store, the reader and the follower."""

    tick: int = 0
    version: int = 0  # in the store
    ticks_since_change: int = 0
    evacuated: bool = False  # in the store
    ticks_since_evacuation: int = 0
    reader: Reader = "well"
    reader_copy: Copy = Copy()
    follower_copy: Copy = Copy()


def steps(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield the label and the state of every possible next step."""
    if state.version == 0:
        yield "change", state._replace(version=1)
    if not state.evacuated:
        yield "evacuate", state._replace(evacuated=True)
    for reader in READERS:
        if reader != state.reader:
            yield f"reader {reader}", state._replace(reader=reader)
    if state.tick >= LAST_TICK:
        return
    is_polling = state.tick % POLL_TICKS == 0 and state.reader != "frozen"
    for answer in ANSWERS if is_polling else ANSWERS[1:2]:
        yield f"tick, answer {answer}", _tick(state, answer, guards)


def _tick(state: State, answer: Answer, guards: Guards) -> State:
    reader_copy = _read_store(state)
    follower_copy = _apply_answer(
        _age_by_tick(state.follower_copy), reader_copy, answer, guards
    )
    if (
        guards.reads_store_when_stale
        and follower_copy.age_ticks >= MAX_AGE_TICKS
    ):
        follower_copy = _fresh_copy(state)
    return state._replace(
        tick=state.tick + 1,
        ticks_since_change=state.ticks_since_change + (state.version > 0),
        ticks_since_evacuation=state.ticks_since_evacuation + state.evacuated,
        reader_copy=reader_copy,
        follower_copy=follower_copy,
    )


def _read_store(state: State) -> Copy:
    """Return the reader's copy after a tick."""
    has_changed = _fresh_copy(state) != state.reader_copy._replace(age_ticks=0)
    wait_is_over = state.reader_copy.age_ticks >= READ_TICKS
    if state.reader == "well" and (has_changed or wait_is_over):
        return _fresh_copy(state)
    return _age_by_tick(state.reader_copy)


def _fresh_copy(state: State) -> Copy:
    """Return the copy of a host that has just read the store."""
    return Copy(state.version, 0, state.evacuated)


def _apply_answer(
    follower_copy: Copy, reader_copy: Copy, answer: Answer, guards: Guards
) -> Copy:
    """Return the follower's copy after an answer of the reader."""
    if answer == "lost":
        return follower_copy
    version = follower_copy.version
    if answer == "whole":
        version = max(version, reader_copy.version)
    evacuated = follower_copy.evacuated
    if answer != "version alone":
        evacuated = evacuated or reader_copy.evacuated
    updated = Copy(version, follower_copy.age_ticks, evacuated)
    if version < reader_copy.version and guards.only_full_answer_confirms:
        return updated
    if answer == "version alone" and guards.evacuations_needed_to_confirm:
        return updated
    age_ticks = reader_copy.age_ticks if guards.age_is_sent else 0
    return updated._replace(age_ticks=min(follower_copy.age_ticks, age_ticks))


def _age_by_tick(copy: Copy) -> Copy:
    return copy._replace(age_ticks=copy.age_ticks + 1)


def knows_in_time(state: State) -> bool:
    """Return whether the follower knows each change in time."""
    is_behind = state.follower_copy.version < state.version
    return not is_behind or state.ticks_since_change < MAX_DELAY_TICKS


def obeys_in_time(state: State) -> bool:
    """Return whether the follower knows an evacuation in time."""
    is_behind = state.evacuated and not state.follower_copy.evacuated
    return not is_behind or state.ticks_since_evacuation < MAX_DELAY_TICKS


def protocol(name: str, guards: Guards) -> Protocol:
    """Return the protocol with these guards for the model checker."""
    return specify(
        name,
        State(),
        lambda state: steps(state, guards),
        (knows_in_time, obeys_in_time),
    )


BROKEN = {
    "what is told counts as new": Guards(age_is_sent=False),
    "never reads by itself": Guards(reads_store_when_stale=False),
    "confirmed without the content": Guards(only_full_answer_confirms=False),
    "confirmed without evacuations": Guards(
        evacuations_needed_to_confirm=False
    ),
}


def sound_verdict() -> Verdict:
    """Search all states of the specification with every guard."""
    return search(protocol("shared reading", Guards()))


def broken_verdict(name: str) -> Verdict:
    """Search the states of one broken variant."""
    return search(protocol(name, BROKEN[name]))
