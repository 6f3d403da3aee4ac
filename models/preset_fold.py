"""Specification of the fold of the log into the preset in force.

Two operators race to switch. Two hosts read the log, are paused, are
replaced by hosts with empty folds, append checkpoints that may be stale,
and adopt each other's folds. The log drops its oldest records at any
moment, loses answers, and lets appends take effect late. Any step may be
delayed for any time, which models pauses and outages. All presets count as
published; a preset is named by the operator that switches to it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from functools import cache
from typing import Any, Literal, NamedTuple

import attrs
from minicheck import Protocol

from models._verdict import Verdict, describe, search

BROKEN_STATES = (1_000, 8_000, 64_000, 512_000)  # limits tried in turn
OPERATORS = (0, 1)
HOSTS = (0, 1)
NO_PRESET = -1

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
Verdicts = tuple[tuple[int, str], ...]  # (operation, verdict)


@attrs.frozen(kw_only=True)
class Guards:
    """Safeguards of the protocol; a broken variant disables one of them."""

    log_limit: int = 3  # records; bounds the state space
    expected_generation_checked: bool = True
    operation_folded_once: bool = True
    checkpoint_must_cover_gap: bool = True
    checkpoint_never_rewinds: bool = True
    gap_detected: bool = True
    only_newer_fold_adopted: bool = True
    reported_after_fold: bool = True
    lost_answer_is_unknown: bool = True
    operation_appended_once: bool = True


# Named tuples instead of attrs classes: the search hashes millions of them.
class Fold(NamedTuple):
    """Result of folding the log up to `offset`, exclusive."""

    offset: int
    generation: int
    preset: int
    verdicts: Verdicts


class Switch(NamedTuple):
    """Log record that puts the operator's preset in force."""

    operation: int
    operator: int
    expected: int


class Checkpoint(NamedTuple):
    """Log record of the state before `fold.offset`."""

    fold: Fold


class Operator(NamedTuple):
    """State of one operator and of its append."""

    phase: Phase
    expected: int
    is_late: bool  # the append has yet to take effect


class Host(NamedTuple):
    """Fold of one host and the newest generation it had in force."""

    fold: Fold
    newest_generation: int


class State(NamedTuple):
    """State of the log, the operators and the hosts."""

    log: tuple[Switch | Checkpoint, ...]
    earliest: int
    operators: tuple[Operator, ...]
    hosts: tuple[Host, ...]
    pending_checkpoint: Fold | None  # captured by host 0
    repeated: bool  # the log has one record twice


EMPTY = Fold(0, 0, NO_PRESET, ())
INITIAL = State(
    log=(),
    earliest=0,
    operators=tuple(Operator("idle", 0, False) for _ in OPERATORS),
    hosts=tuple(Host(EMPTY, 0) for _ in HOSTS),
    pending_checkpoint=None,
    repeated=False,
)
CORRECT = Guards()


def fold_record(
    fold: Fold, record: Switch | Checkpoint, guards: Guards
) -> Fold:
    """Return the fold after one more record."""
    offset = fold.offset + 1
    if isinstance(record, Checkpoint):
        if guards.checkpoint_never_rewinds:
            return fold._replace(offset=offset)
        return record.fold._replace(offset=offset)
    known = dict(fold.verdicts)
    if guards.operation_folded_once and record.operation in known:
        return fold._replace(offset=offset)
    is_accepted = (
        record.expected == fold.generation
        or not guards.expected_generation_checked
    )
    known[record.operation] = "accepted" if is_accepted else "superseded"
    verdicts = tuple(sorted(known.items()))
    if not is_accepted:
        return Fold(offset, fold.generation, fold.preset, verdicts)
    return Fold(offset, fold.generation + 1, record.operator, verdicts)


@cache
def fold_all(
    log: tuple[Switch | Checkpoint, ...], guards: Guards = CORRECT
) -> Fold:
    """Return the fold of a whole log."""
    if not log:
        return EMPTY
    return fold_record(fold_all(log[:-1], guards), log[-1], guards)


def possible_reads(state: State, fold: Fold, guards: Guards) -> Iterator[Fold]:
    """Yield every fold that a reader may have after its next read."""
    if fold.offset >= state.earliest:
        if fold.offset < len(state.log):
            yield fold_record(fold, state.log[fold.offset], guards)
        return
    if not guards.gap_detected and state.earliest < len(state.log):
        skipped = fold._replace(offset=state.earliest)
        yield fold_record(skipped, state.log[state.earliest], guards)
    for offset in range(state.earliest, len(state.log)):
        record = state.log[offset]
        if not isinstance(record, Checkpoint):
            continue
        if not guards.checkpoint_must_cover_gap:
            yield record.fold._replace(offset=offset + 1)
        elif record.fold.offset >= state.earliest:
            yield record.fold


def _append(
    state: State, record: Switch | Checkpoint, guards: Guards
) -> State | None:
    if len(state.log) >= guards.log_limit:
        return None
    return state._replace(log=(*state.log, record))


def _with_operator(state: State, index: int, operator: Operator) -> State:
    operators = list(state.operators)
    operators[index] = operator
    return state._replace(operators=tuple(operators))


def _with_host(state: State, index: int, host: Host) -> State:
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=tuple(hosts))


def _operator_steps(state: State, index: int, guards: Guards) -> Steps:
    operator = state.operators[index]
    if operator.phase == "idle":
        expected = fold_all(state.log, guards).generation
        read = Operator("read", expected, False)
        yield f"operator {index} reads", _with_operator(state, index, read)
    if operator.phase == "read":
        yield from _append_steps(state, index, guards)
    if operator.phase in ("appended", "lost"):
        yield from _outcome_steps(state, index, guards)
    if operator.is_late:
        appended = _append(
            state, Switch(index, index, operator.expected), guards
        )
        if appended is not None:
            operator_done = operator._replace(is_late=False)
            yield (
                f"append of {index} takes effect late",
                _with_operator(appended, index, operator_done),
            )


def _append_steps(state: State, index: int, guards: Guards) -> Steps:
    expected = state.operators[index].expected
    # An append that never takes effect is one delayed for ever.
    late = Operator("lost", expected, True)
    yield f"append of {index} unanswered", _with_operator(state, index, late)
    appended = _append(state, Switch(index, index, expected), guards)
    if appended is not None:
        done = Operator("appended", expected, False)
        yield (
            f"append of {index} answered",
            _with_operator(appended, index, done),
        )


def _outcome_steps(state: State, index: int, guards: Guards) -> Steps:
    operator = state.operators[index]
    verdict = dict(fold_all(state.log, guards).verdicts).get(index)
    if verdict in ("accepted", "superseded"):
        phase: Phase = "accepted" if verdict == "accepted" else "superseded"
        informed = operator._replace(phase=phase)
        yield (
            f"operator {index} told {verdict}",
            _with_operator(state, index, informed),
        )
    if operator.phase == "appended" and not guards.reported_after_fold:
        informed = operator._replace(phase="accepted")
        yield (
            f"operator {index} told too early",
            _with_operator(state, index, informed),
        )
    if operator.phase == "lost":
        yield from _lost_steps(state, index, guards)


def _lost_steps(state: State, index: int, guards: Guards) -> Steps:
    operator = state.operators[index]
    final_phase: Phase = (
        "unknown" if guards.lost_answer_is_unknown else "failed"
    )
    informed = operator._replace(phase=final_phase)
    yield (
        f"operator {index} told {final_phase}",
        _with_operator(state, index, informed),
    )
    if guards.operation_appended_once:
        return
    # The second append is a new operation of the same operator.
    second_operation = index + len(OPERATORS)
    expected = fold_all(state.log, guards).generation
    appended = _append(
        state, Switch(second_operation, index, expected), guards
    )
    if appended is not None:
        informed = operator._replace(phase="unknown")
        yield (
            f"operator {index} appends again",
            _with_operator(appended, index, informed),
        )


def _host_steps(state: State, index: int, guards: Guards) -> Steps:
    host = state.hosts[index]
    for fold in possible_reads(state, host.fold, guards):
        yield f"host {index} reads", _with_fold(state, index, fold)
    for peer in HOSTS:
        peer_fold = state.hosts[peer].fold
        is_newer = peer_fold.offset > host.fold.offset
        if is_newer or not guards.only_newer_fold_adopted:
            yield (
                f"host {index} asks {peer}",
                _with_fold(state, index, peer_fold),
            )
    yield f"host {index} replaced", _with_host(state, index, Host(EMPTY, 0))


def _with_fold(state: State, index: int, fold: Fold) -> State:
    newest_generation = max(
        state.hosts[index].newest_generation, fold.generation
    )
    return _with_host(state, index, Host(fold, newest_generation))


def _log_steps(state: State, guards: Guards) -> Steps:
    if state.earliest < len(state.log):
        yield "record expires", state._replace(earliest=state.earliest + 1)
    fold = state.hosts[0].fold
    if state.pending_checkpoint is None and fold.offset > 0:
        yield "checkpoint begun", state._replace(pending_checkpoint=fold)
    if state.pending_checkpoint is not None:
        record = Checkpoint(state.pending_checkpoint)
        appended = _append(state, record, guards)
        if appended is not None:
            yield (
                "checkpoint appended",
                appended._replace(pending_checkpoint=None),
            )
    if not state.repeated:
        for repeated in state.log:
            appended = _append(state, repeated, guards)
            if isinstance(repeated, Switch) and appended is not None:
                yield "record repeated", appended._replace(repeated=True)


def _transitions(guards: Guards) -> Callable[[Any], list[tuple[str, State]]]:
    def transitions(values: tuple[Any, ...]) -> list[tuple[str, State]]:
        state = State(*values)
        steps = list(_log_steps(state, guards))
        for index in OPERATORS:
            steps.extend(_operator_steps(state, index, guards))
        for index in HOSTS:
            steps.extend(_host_steps(state, index, guards))
        return steps

    return transitions


def _readers_agree(fields: dict[str, Any]) -> bool:
    """Return whether each fold matches that of the log before its offset."""
    return all(
        host.fold == fold_all(fields["log"][: host.fold.offset])
        for host in fields["hosts"]
    )


def _never_reverts(fields: dict[str, Any]) -> bool:
    return all(
        host.fold.generation == host.newest_generation
        for host in fields["hosts"]
    )


def _one_in_force(fields: dict[str, Any]) -> bool:
    """Return whether each host has a preset as soon as its offset allows."""
    return all(
        (host.fold.preset != NO_PRESET) == (host.fold.generation > 0)
        and (host.fold.generation > 0)
        == _any_accepted(fields, host.fold.offset)
        for host in fields["hosts"]
    )


def _any_accepted(fields: dict[str, Any], offset: int) -> bool:
    verdicts = fold_all(fields["log"][:offset]).verdicts
    return any(verdict == "accepted" for _, verdict in verdicts)


def _told_truly(fields: dict[str, Any]) -> bool:
    """Return whether the fold of the log agrees with operators' answers."""
    verdicts = dict(fold_all(fields["log"]).verdicts)
    for index, operator in enumerate(fields["operators"]):
        if operator.phase in ("accepted", "superseded"):
            if verdicts.get(index) != operator.phase:
                return False
        elif operator.phase == "failed" and verdicts.get(index) == "accepted":
            return False
    return True


def _one_winner(fields: dict[str, Any]) -> bool:
    """Return whether at most one operator won on each generation."""
    winners = [
        operator.expected
        for operator in fields["operators"]
        if operator.phase == "accepted"
    ]
    return len(winners) == len(set(winners))


def _switched_once(fields: dict[str, Any]) -> bool:
    """Return whether no operator's switch took effect twice."""
    verdicts = fold_all(fields["log"]).verdicts
    owners = [
        operation % len(OPERATORS)
        for operation, verdict in verdicts
        if verdict == "accepted"
    ]
    return len(owners) == len(set(owners))


def specify(name: str, guards: Guards) -> Protocol:
    """Return the protocol with these guards for the model checker."""
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


# Each broken variant with a property that it violates.
BROKEN: dict[str, tuple[Guards, str]] = {
    "switch names no generation": (
        Guards(expected_generation_checked=False),
        "one_winner",
    ),
    "record repeated by the log folded twice": (
        Guards(operation_folded_once=False),
        "told_truly",
    ),
    "checkpoint used whatever it covers": (
        Guards(checkpoint_must_cover_gap=False),
        "readers_agree",
    ),
    "stale checkpoint sets readers back": (
        Guards(checkpoint_never_rewinds=False),
        "never_reverts",
    ),
    "reader goes on over a gap": (
        Guards(gap_detected=False),
        "readers_agree",
    ),
    "older fold of a peer adopted": (
        Guards(only_newer_fold_adopted=False),
        "never_reverts",
    ),
    "accepted told when appended": (
        Guards(reported_after_fold=False),
        "told_truly",
    ),
    "lost answer told as failed": (
        Guards(lost_answer_is_unknown=False),
        "told_truly",
    ),
    "lost answer answered by a second append": (
        Guards(operation_appended_once=False),
        "switched_once",
    ),
}


def check(log_limit: int = CORRECT.log_limit) -> Verdict:
    """Search all states of the protocol with every guard."""
    return search(specify("preset fold", Guards(log_limit=log_limit)))


def check_broken(name: str) -> Verdict:
    """Search one broken variant for its counterexample."""
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
