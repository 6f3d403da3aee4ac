"""Specification of the fold of the log into the preset in force.

Two operators race to switch; two hosts read the log, are paused, replaced
by newcomers, append checkpoints that may be stale, and take over each
other's folds. The log forgets its oldest records at any moment, loses
answers, and lets appends take effect late. Any step may be put off for any
time: that is how pauses and outages appear here. All presets count as
published; a preset is named by the operator that wants it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from functools import cache
from typing import Any, Literal, NamedTuple

import attrs
from minicheck import Protocol

from models._verdict import Verdict, describe, search

BROKEN_STATES = (1_000, 8_000, 64_000, 512_000)  # wider and wider
OPERATORS = (0, 1)
HOSTS = (0, 1)
NOBODY = -1

Steps = Iterator[tuple[str, "State"]]
Phase = Literal[
    "idle",
    "read",
    "appended",
    "lost",
    "accepted",
    "superseded",
    "unknown",
    "failed",
]
Verdicts = tuple[tuple[int, str], ...]  # (operation, what became of it)


@attrs.frozen(kw_only=True)
class Guards:
    """Switch single guards off, to show that each is needed."""

    log_limit: int = 3  # records
    generation_expected: bool = True
    operation_folded_once: bool = True
    checkpoint_reaches_back: bool = True
    checkpoint_never_sets_back: bool = True
    gap_noticed: bool = True
    only_further_adopted: bool = True
    told_when_folded: bool = True
    lost_is_unknown: bool = True
    appended_once: bool = True


# Named tuples, not attrs classes: the search hashes millions of them.
class Fold(NamedTuple):
    """What a reader has made of the log before `offset`."""

    offset: int
    generation: int
    preset: int
    verdicts: Verdicts


class Switch(NamedTuple):
    """A record: put the operator's preset in force."""

    operation: int
    operator: int
    expected: int


class Checkpoint(NamedTuple):
    """A record: the state before `fold.offset`."""

    fold: Fold


class Operator(NamedTuple):
    """One operator and the append that it began."""

    phase: Phase
    expected: int
    is_late: bool  # the append is still to take effect


class Host(NamedTuple):
    """One host: its fold and the newest generation it had in force."""

    fold: Fold
    newest: int


class State(NamedTuple):
    """One state of the search."""

    log: tuple[Switch | Checkpoint, ...]
    earliest: int
    operators: tuple[Operator, ...]
    hosts: tuple[Host, ...]
    captured: Fold | None  # by host 0, for a checkpoint yet to be appended
    repeated: bool  # the log took one record twice


EMPTY = Fold(0, 0, NOBODY, ())
INITIAL = State(
    log=(),
    earliest=0,
    operators=tuple(Operator("idle", 0, False) for _ in OPERATORS),
    hosts=tuple(Host(EMPTY, 0) for _ in HOSTS),
    captured=None,
    repeated=False,
)
CORRECT = Guards()


def fold_next(fold: Fold, record: Switch | Checkpoint, guards: Guards) -> Fold:
    """Return the fold with one more record."""
    offset = fold.offset + 1
    if isinstance(record, Checkpoint):
        if guards.checkpoint_never_sets_back:
            return fold._replace(offset=offset)
        return record.fold._replace(offset=offset)
    known = dict(fold.verdicts)
    if guards.operation_folded_once and record.operation in known:
        return fold._replace(offset=offset)
    wins = record.expected == fold.generation or not guards.generation_expected
    known[record.operation] = "accepted" if wins else "superseded"
    verdicts = tuple(sorted(known.items()))
    if not wins:
        return Fold(offset, fold.generation, fold.preset, verdicts)
    return Fold(offset, fold.generation + 1, record.operator, verdicts)


@cache
def fold_all(
    log: tuple[Switch | Checkpoint, ...], guards: Guards = CORRECT
) -> Fold:
    """Return the fold of a whole log."""
    if not log:
        return EMPTY
    return fold_next(fold_all(log[:-1], guards), log[-1], guards)


def read_once(state: State, fold: Fold, guards: Guards) -> Iterator[Fold]:
    """Yield what a reader may make of its next read."""
    if fold.offset >= state.earliest:
        if fold.offset < len(state.log):
            yield fold_next(fold, state.log[fold.offset], guards)
        return
    if not guards.gap_noticed and state.earliest < len(state.log):
        skipped = fold._replace(offset=state.earliest)
        yield fold_next(skipped, state.log[state.earliest], guards)
    for offset in range(state.earliest, len(state.log)):
        record = state.log[offset]
        if not isinstance(record, Checkpoint):
            continue
        if not guards.checkpoint_reaches_back:
            yield record.fold._replace(offset=offset + 1)
        elif record.fold.offset >= state.earliest:
            yield record.fold


def _append(
    state: State, record: Switch | Checkpoint, guards: Guards
) -> State | None:
    if len(state.log) >= guards.log_limit:
        return None
    return state._replace(log=(*state.log, record))


def _with_operator(state: State, i: int, operator: Operator) -> State:
    operators = list(state.operators)
    operators[i] = operator
    return state._replace(operators=tuple(operators))


def _with_host(state: State, i: int, host: Host) -> State:
    hosts = list(state.hosts)
    hosts[i] = host
    return state._replace(hosts=tuple(hosts))


def _operator_steps(state: State, i: int, guards: Guards) -> Steps:
    operator = state.operators[i]
    if operator.phase == "idle":
        expected = fold_all(state.log, guards).generation
        read = Operator("read", expected, False)
        yield f"operator {i} reads", _with_operator(state, i, read)
    if operator.phase == "read":
        yield from _append_steps(state, i, guards)
    if operator.phase in ("appended", "lost"):
        yield from _conclusions(state, i, guards)
    if operator.is_late:
        arrived = _append(state, Switch(i, i, operator.expected), guards)
        if arrived is not None:
            on_log = operator._replace(is_late=False)
            yield (
                f"append of {i} takes effect late",
                _with_operator(arrived, i, on_log),
            )


def _append_steps(state: State, i: int, guards: Guards) -> Steps:
    expected = state.operators[i].expected
    # One that never takes effect is one whose effect is put off for ever.
    late = Operator("lost", expected, True)
    yield f"append of {i} unanswered", _with_operator(state, i, late)
    appended = _append(state, Switch(i, i, expected), guards)
    if appended is not None:
        done = Operator("appended", expected, False)
        yield f"append of {i} answered", _with_operator(appended, i, done)


def _conclusions(state: State, i: int, guards: Guards) -> Steps:
    operator = state.operators[i]
    verdict = dict(fold_all(state.log, guards).verdicts).get(i)
    if verdict in ("accepted", "superseded"):
        phase: Phase = "accepted" if verdict == "accepted" else "superseded"
        told = operator._replace(phase=phase)
        yield f"operator {i} told {verdict}", _with_operator(state, i, told)
    if operator.phase == "appended" and not guards.told_when_folded:
        told = operator._replace(phase="accepted")
        yield f"operator {i} told too early", _with_operator(state, i, told)
    if operator.phase == "lost":
        yield from _lost_steps(state, i, guards)


def _lost_steps(state: State, i: int, guards: Guards) -> Steps:
    operator = state.operators[i]
    given_up: Phase = "unknown" if guards.lost_is_unknown else "failed"
    told = operator._replace(phase=given_up)
    yield f"operator {i} told {given_up}", _with_operator(state, i, told)
    if guards.appended_once:
        return
    again = i + len(OPERATORS)  # a new operation of the same operator
    expected = fold_all(state.log, guards).generation
    appended = _append(state, Switch(again, i, expected), guards)
    if appended is not None:
        told = operator._replace(phase="unknown")
        yield (
            f"operator {i} appends again",
            _with_operator(appended, i, told),
        )


def _host_steps(state: State, i: int, guards: Guards) -> Steps:
    host = state.hosts[i]
    for fold in read_once(state, host.fold, guards):
        yield f"host {i} reads", _moved(state, i, fold)
    for peer in HOSTS:
        theirs = state.hosts[peer].fold
        is_further = theirs.offset > host.fold.offset
        if is_further or not guards.only_further_adopted:
            yield f"host {i} asks {peer}", _moved(state, i, theirs)
    yield f"host {i} replaced", _with_host(state, i, Host(EMPTY, 0))


def _moved(state: State, i: int, fold: Fold) -> State:
    newest = max(state.hosts[i].newest, fold.generation)
    return _with_host(state, i, Host(fold, newest))


def _log_steps(state: State, guards: Guards) -> Steps:
    if state.earliest < len(state.log):
        yield "record expires", state._replace(earliest=state.earliest + 1)
    fold = state.hosts[0].fold
    if state.captured is None and fold.offset > 0:
        yield "checkpoint begun", state._replace(captured=fold)
    if state.captured is not None:
        record = Checkpoint(state.captured)
        appended = _append(state, record, guards)
        if appended is not None:
            yield "checkpoint appended", appended._replace(captured=None)
    if not state.repeated:
        for repeated in state.log:
            again = _append(state, repeated, guards)
            if isinstance(repeated, Switch) and again is not None:
                yield "record repeated", again._replace(repeated=True)


def _transitions(guards: Guards) -> Callable[[Any], list[tuple[str, State]]]:
    def transitions(values: tuple[Any, ...]) -> list[tuple[str, State]]:
        state = State(*values)
        steps = list(_log_steps(state, guards))
        for i in OPERATORS:
            steps.extend(_operator_steps(state, i, guards))
        for i in HOSTS:
            steps.extend(_host_steps(state, i, guards))
        return steps

    return transitions


def _readers_agree(d: dict[str, Any]) -> bool:
    """Compare each fold with that of the whole log before its offset."""
    return all(
        host.fold == fold_all(d["log"][: host.fold.offset])
        for host in d["hosts"]
    )


def _never_reverts(d: dict[str, Any]) -> bool:
    return all(host.fold.generation == host.newest for host in d["hosts"])


def _one_in_force(d: dict[str, Any]) -> bool:
    """Tell whether each host has one as soon as its offset allows it."""
    return all(
        (host.fold.preset != NOBODY) == (host.fold.generation > 0)
        and (host.fold.generation > 0) == _any_accepted(d, host.fold.offset)
        for host in d["hosts"]
    )


def _any_accepted(d: dict[str, Any], offset: int) -> bool:
    verdicts = fold_all(d["log"][:offset]).verdicts
    return any(verdict == "accepted" for _, verdict in verdicts)


def _told_truly(d: dict[str, Any]) -> bool:
    """Compare what operators were told with the fold of the whole log."""
    verdicts = dict(fold_all(d["log"]).verdicts)
    for i, operator in enumerate(d["operators"]):
        if operator.phase in ("accepted", "superseded"):
            if verdicts.get(i) != operator.phase:
                return False
        elif operator.phase == "failed" and verdicts.get(i) == "accepted":
            return False
    return True


def _one_winner(d: dict[str, Any]) -> bool:
    """Tell whether one of two operators on the same generation won."""
    winners = [o.expected for o in d["operators"] if o.phase == "accepted"]
    return len(winners) == len(set(winners))


def _switched_once(d: dict[str, Any]) -> bool:
    """Tell whether no operator's switch took effect twice."""
    verdicts = fold_all(d["log"]).verdicts
    owners = [
        operation % len(OPERATORS)
        for operation, verdict in verdicts
        if verdict == "accepted"
    ]
    return len(owners) == len(set(owners))


def specify(name: str, guards: Guards) -> Protocol:
    """Return the specification with these guards."""
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=_transitions(guards),
        invariants={
            "readers_agree": _readers_agree,
            "never_reverts": _never_reverts,
            "one_in_force": _one_in_force,
            "told_truly": _told_truly,
            "one_winner": _one_winner,
            "switched_once": _switched_once,
        },
    )


# Each broken variant and a property that it violates.
BROKEN: dict[str, tuple[Guards, str]] = {
    "switch names no generation": (
        Guards(generation_expected=False),
        "one_winner",
    ),
    "record repeated by the log folded twice": (
        Guards(operation_folded_once=False),
        "told_truly",
    ),
    "checkpoint used whatever it covers": (
        Guards(checkpoint_reaches_back=False),
        "readers_agree",
    ),
    "stale checkpoint sets readers back": (
        Guards(checkpoint_never_sets_back=False),
        "never_reverts",
    ),
    "reader goes on over a gap": (
        Guards(gap_noticed=False),
        "readers_agree",
    ),
    "older fold of a peer adopted": (
        Guards(only_further_adopted=False),
        "never_reverts",
    ),
    "accepted told when appended": (
        Guards(told_when_folded=False),
        "told_truly",
    ),
    "lost answer told as failed": (
        Guards(lost_is_unknown=False),
        "told_truly",
    ),
    "lost answer answered by a second append": (
        Guards(appended_once=False),
        "switched_once",
    ),
}


def check(log_limit: int = CORRECT.log_limit) -> Verdict:
    """Search all states of the protocol as it is built."""
    return search(specify("preset fold", Guards(log_limit=log_limit)))


def check_broken(name: str) -> Verdict:
    """Search for the counterexample of one broken variant."""
    guards, violated = BROKEN[name]
    protocol = specify(name, guards)
    for states in BROKEN_STATES:
        verdict = search(protocol, states)
        if violated in verdict.violated:
            break
    return verdict


def main() -> int:
    """Print every verdict; return 1 when one is not as expected."""
    verdict = check()
    print(describe(verdict))
    as_expected = verdict.holds
    for name, (_, violated) in BROKEN.items():
        broken = check_broken(name)
        print(describe(broken))
        as_expected = as_expected and violated in broken.violated
    return 0 if as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
