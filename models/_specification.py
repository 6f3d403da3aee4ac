"""Make a specification of one state, its steps and what must hold in it."""

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
    """Return the specification for the checker.

    Each check has to hold in each state, and is known by its name. The goal,
    if any, has to come true in the end.
    """

    def transitions(state: tuple[S]) -> list[tuple[str, tuple[S]]]:
        return [(label, (after,)) for label, after in steps(state[0])]

    def on_state(check: Callable[[S], bool]) -> Callable[[Any], bool]:
        return lambda fields: check(fields["state"])

    return Protocol(
        name=name,
        candidate=True,
        fields=("state",),
        initial=(initial,),
        transitions=transitions,
        invariants={check.__name__: on_state(check) for check in checks},
        goal=on_state(goal) if goal is not None else None,
    )
