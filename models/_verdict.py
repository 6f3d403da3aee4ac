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
    """Result of one search of the state space."""

    name: str
    states: int
    exhaustive: bool
    violated: dict[str, tuple[str, ...]]  # property -> labels of the trace
    elapsed_s: float

    @property
    def holds(self) -> bool:
        """Return whether all states were visited and all properties hold."""
        return self.exhaustive and not self.violated


def search(protocol: Protocol, max_states: int = MAX_STATES) -> Verdict:
    """Check the invariants and, if the protocol has one, the goal.

    The goal is checked only when the invariants hold. The checker limits
    that second search to 200,000 states.
    """
    started_s = time.perf_counter()
    protocol = _with_cached_successors(protocol)
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
        elapsed_s=time.perf_counter() - started_s,
    )


def describe(verdict: Verdict) -> str:
    """Format a verdict as one line plus one line per counterexample."""
    status = "holds" if verdict.holds else "unfinished"
    if verdict.violated:
        status = "counterexample"
    lines = [
        f"{verdict.name}: {status}, {verdict.states} states, "
        f"{verdict.elapsed_s:.1f} s"
    ]
    for name, labels in verdict.violated.items():
        lines.append(f"  {name}: {' > '.join(labels)}")
    return "\n".join(lines)


def _with_cached_successors(protocol: Protocol) -> Protocol:
    """Return the protocol with the successors of each state cached.

    The liveness check visits all states twice more.
    """
    canonical_states: dict[tuple[Any, ...], tuple[Any, ...]] = {}
    successors: dict[tuple[Any, ...], list[Any]] = {}

    def transitions(state: tuple[Any, ...]) -> list[Any]:
        if state not in successors:
            successors[state] = [
                (label, canonical_states.setdefault(after, after))
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
