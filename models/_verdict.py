"""Run the model checker on a specification and its broken variants."""

from __future__ import annotations

import dataclasses
import time
from typing import Any

import attrs
from minicheck import Protocol, check_liveness, check_safety

MAX_STATES = 2_000_000


@attrs.frozen(kw_only=True)
class Verdict:
    """Hold what one exhaustive search found."""

    name: str
    states: int
    exhaustive: bool
    violated: dict[str, tuple[str, ...]]  # property: labels of the trace
    elapsed_s: float

    @property
    def holds(self) -> bool:
        """Tell whether all states were seen and all properties hold."""
        return self.exhaustive and not self.violated


def search(protocol: Protocol, max_states: int = MAX_STATES) -> Verdict:
    """Check the invariants and, where there is one, the goal.

    The goal is checked only when the invariants hold; the checker bounds
    that second search to 200,000 states.
    """
    began_s = time.perf_counter()
    protocol = _remembering(protocol)
    result = check_safety(protocol, max_states)
    violated = _violations(result["properties"])
    exhaustive = bool(result["exhaustive"])
    if protocol.goal is not None and exhaustive and not violated:
        liveness = check_liveness(protocol)
        exhaustive = liveness["holds"] is not None
        if liveness["holds"] is False:
            violated["goal"] = _labels(liveness["counterexample"])
    return Verdict(
        name=protocol.name,
        states=result["reachable_states"],
        exhaustive=exhaustive,
        violated=violated,
        elapsed_s=time.perf_counter() - began_s,
    )


def describe(verdict: Verdict) -> str:
    """Return one line, and one more per counterexample."""
    word = "holds" if verdict.holds else "unfinished"
    if verdict.violated:
        word = "counterexample"
    lines = [
        f"{verdict.name}: {word}, {verdict.states} states, "
        f"{verdict.elapsed_s:.1f} s"
    ]
    for name, labels in verdict.violated.items():
        lines.append(f"  {name}: {' > '.join(labels)}")
    return "\n".join(lines)


def _remembering(protocol: Protocol) -> Protocol:
    """Return the protocol with each state's successors worked out once.

    The check of the goal goes over all states twice more.
    """
    kept: dict[tuple[Any, ...], tuple[Any, ...]] = {}
    successors: dict[tuple[Any, ...], list[Any]] = {}

    def transitions(state: tuple[Any, ...]) -> list[Any]:
        if state not in successors:
            successors[state] = [
                (label, kept.setdefault(after, after))
                for label, after in protocol.transitions(state)
            ]
        return successors[state]

    return dataclasses.replace(protocol, transitions=transitions)


def _violations(properties: dict[str, Any]) -> dict[str, tuple[str, ...]]:
    return {
        name: _labels(found["counterexample"])
        for name, found in properties.items()
        if found["holds"] is False
    }


def _labels(trace: list[dict[str, Any]]) -> tuple[str, ...]:
    return tuple(step["label"] for step in trace[1:])
