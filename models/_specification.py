"""Build a model checker protocol from a state type, steps and invariants."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Any, TypeVar

from minicheck import Protocol

S = TypeVar("S")


def specify(
    name: str,
    initial: S,
    steps: Callable[[S], Iterator[tuple[str, S]]],
    checks: Sequence[Callable[[S], bool]],
    goal: Callable[[S], bool] | None = None,
) -> Protocol:
    """Return the protocol for the model checker.

    Each check is an invariant of every state, reported under its function
    name. The goal, if any, is a liveness property: it has to come true
    eventually.
    """

    def transitions(state: tuple[S]) -> list[tuple[str, tuple[S]]]:
        return [(label, (after,)) for label, after in steps(state[0])]

    def as_invariant(check: Callable[[S], bool]) -> Callable[[Any], bool]:
        return lambda fields: check(fields["state"])

    return Protocol(
        name=name,
        candidate=True,
        fields=("state",),
        initial=(initial,),
        transitions=transitions,
        invariants={check.__name__: as_invariant(check) for check in checks},
        goal=as_invariant(goal) if goal is not None else None,
    )
