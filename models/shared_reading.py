"""Specification of a host that is told what another reads of the store.

One host reads a topic and answers the other, which asks it again and again.
The topic holds a configuration and an evacuation beside it. The reading host
freezes, or is cut off from the store without its knowledge, and is well again,
at any moment; answers are lost, come without a configuration that is too large
to send, or without a word of evacuations, as from a host of an older release.
Time moves in ticks of half a second.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal, NamedTuple

import attrs
from minicheck import Protocol

from models._specification import specify
from models._verdict import Verdict, search

LAST_TICK = 14
READ_TICKS = 4  # that a read waits at the store without news
ASK_TICKS = 2  # between two questions of the host that is told
MOST_AGE_TICKS = 6  # of what it holds, before it reads by itself
BOUND_TICKS = 7  # until a change has to be known there

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
    """Switch single guards off, to show that each is needed."""

    age_is_told: bool = True
    reads_alone: bool = True
    only_whole_confirms: bool = True
    evacuations_confirm: bool = True


class Copy(NamedTuple):
    """What one host holds, and for how long it may not be all there is."""

    version: int = 0
    age_ticks: int = 0
    evacuated: bool = False


class State(NamedTuple):
    """The whole system."""

    tick: int = 0
    version: int = 0  # in the store
    changed_for: int = 0  # ticks since the change
    evacuated: bool = False  # in the store
    evacuated_for: int = 0
    reader: Reader = "well"
    read: Copy = Copy()
    told: Copy = Copy()


def steps(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield every step that may come next."""
    if state.version == 0:
        yield "change", state._replace(version=1)
    if not state.evacuated:
        yield "evacuate", state._replace(evacuated=True)
    for reader in READERS:
        if reader != state.reader:
            yield f"reader {reader}", state._replace(reader=reader)
    if state.tick >= LAST_TICK:
        return
    asks = state.tick % ASK_TICKS == 0 and state.reader != "frozen"
    for answer in ANSWERS if asks else ANSWERS[1:2]:
        yield f"tick, answer {answer}", _tick(state, answer, guards)


def _tick(state: State, answer: Answer, guards: Guards) -> State:
    read = _read(state)
    told = _hear(_older(state.told), read, answer, guards)
    if guards.reads_alone and told.age_ticks >= MOST_AGE_TICKS:
        told = _all_there_is(state)
    return state._replace(
        tick=state.tick + 1,
        changed_for=state.changed_for + (state.version > 0),
        evacuated_for=state.evacuated_for + state.evacuated,
        read=read,
        told=told,
    )


def _read(state: State) -> Copy:
    """Return what the reading host holds after a tick."""
    is_news = _all_there_is(state) != state.read._replace(age_ticks=0)
    is_over = state.read.age_ticks >= READ_TICKS
    if state.reader == "well" and (is_news or is_over):
        return _all_there_is(state)
    return _older(state.read)


def _all_there_is(state: State) -> Copy:
    """Return what the store holds, as a host has it that has just read."""
    return Copy(state.version, 0, state.evacuated)


def _hear(told: Copy, read: Copy, answer: Answer, guards: Guards) -> Copy:
    """Return what the other holds after an answer of the reading host."""
    if answer == "lost":
        return told
    version = told.version
    if answer == "whole":
        version = max(version, read.version)
    evacuated = told.evacuated
    if answer != "version alone":
        evacuated = evacuated or read.evacuated
    heard = Copy(version, told.age_ticks, evacuated)
    if version < read.version and guards.only_whole_confirms:
        return heard
    if answer == "version alone" and guards.evacuations_confirm:
        return heard
    age_ticks = read.age_ticks if guards.age_is_told else 0
    return heard._replace(age_ticks=min(told.age_ticks, age_ticks))


def _older(copy: Copy) -> Copy:
    return copy._replace(age_ticks=copy.age_ticks + 1)


def knows_in_time(state: State) -> bool:
    """Tell whether the host that is told knows each change in time."""
    is_behind = state.told.version < state.version
    return not is_behind or state.changed_for < BOUND_TICKS


def obeys_in_time(state: State) -> bool:
    """Tell whether it knows an evacuation in time."""
    is_behind = state.evacuated and not state.told.evacuated
    return not is_behind or state.evacuated_for < BOUND_TICKS


def sharing(name: str, guards: Guards) -> Protocol:
    """Return the specification for the checker."""
    return specify(
        name,
        State(),
        lambda state: steps(state, guards),
        (knows_in_time, obeys_in_time),
    )


BROKEN = {
    "what is told counts as new": Guards(age_is_told=False),
    "never reads by itself": Guards(reads_alone=False),
    "confirmed without the content": Guards(only_whole_confirms=False),
    "confirmed without evacuations": Guards(evacuations_confirm=False),
}


def sound_verdict() -> Verdict:
    """Check the specification with every guard."""
    return search(sharing("shared reading", Guards()))


def broken_verdict(name: str) -> Verdict:
    """Check one broken variant."""
    return search(sharing(name, BROKEN[name]))
