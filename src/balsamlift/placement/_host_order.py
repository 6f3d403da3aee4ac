"""Which waiting requests of other hosts are served before an own one.

It answers a load whose requests wait at several hosts: memory that becomes
free is for the one that is next over all hosts, not for the host that looks
first. Hosts know of each other the tokens wanted and held by each group, from
a moment ago.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable, Mapping, Sequence
from math import ceil
from typing import Generic, TypeVar

import attrs

from balsamlift.placement._waiting_line import MIN_SHARE

# Longest time that a host leaves free memory to others. They look for memory
# every 0.3 s or more often: one that has not taken it after three looks may
# be gone, or may not fit.
MAX_YIELD_S = 0.9

Scope = TypeVar("Scope", bound=Hashable)


@attrs.frozen(kw_only=True)
class WaitingGroup:
    """The waiting requests of one workspace and priority."""

    priority: int  # 0 is served first
    workspace: str
    weight: float
    waiting_tokens: int
    request_tokens: int  # of one request, on average
    held_tokens: int  # reserved by the workspace at this priority, all hosts


def groups_before(
    own: WaitingGroup,
    others: Iterable[WaitingGroup],
    held_by_priority: Mapping[int, int],
) -> list[WaitingGroup]:
    """Return the groups of other hosts that are served before `own`.

    Held tokens are those of all hosts. A less urgent group is returned with
    the tokens that it lacks to its minimum share.
    """
    min_tokens = sum(held_by_priority.values()) * MIN_SHARE
    missing: defaultdict[int, float] = defaultdict(lambda: min_tokens)
    for priority, held in held_by_priority.items():
        missing[priority] -= held
    before: list[WaitingGroup] = []
    for group in others:
        if group.priority == own.priority:
            if _is_less_served(group, own):
                before.append(group)
        elif group.priority < own.priority:
            if missing[own.priority] <= 0:
                before.append(group)
        elif missing[group.priority] > 0:
            tokens = min(group.waiting_tokens, round(missing[group.priority]))
            before.append(attrs.evolve(group, waiting_tokens=tokens))
            missing[group.priority] -= tokens
    return before


def leaves_room(
    free_tokens: Sequence[int], groups: Iterable[WaitingGroup]
) -> bool:
    """Return whether all requests of some groups fit into free memory.

    `free_tokens` holds the free memory of each engine; a request needs to fit
    into one of them.
    """
    free = list(free_tokens)
    for group in sorted(groups, key=lambda g: -g.request_tokens):
        missing = ceil(group.waiting_tokens / group.request_tokens)
        for engine, tokens in enumerate(free):
            fitting = min(tokens // group.request_tokens, missing)
            free[engine] -= fitting * group.request_tokens
            missing -= fitting
        if missing > 0:
            return False
    return True


def _is_less_served(group: WaitingGroup, own: WaitingGroup) -> bool:
    """Return whether a group holds less, also after one request more."""
    held_then = group.held_tokens + own.request_tokens
    return held_then / group.weight <= own.held_tokens / own.weight


@attrs.define
class _Yield:
    """Memory that is left to other hosts."""

    since_s: float
    tokens: int  # of the smallest request that left it
    held_tokens: int  # by the groups that it is left to


class YieldLimit(Generic[Scope]):
    """Limit for how long this host leaves free memory to others."""

    def __init__(self) -> None:
        """Start with no memory left to others."""
        self._yields: dict[Scope, _Yield] = {}

    def allows(
        self,
        scope: Scope,
        tokens: int,
        groups: Iterable[WaitingGroup],
        now_s: float,
    ) -> bool:
        """Return whether a request that fits may be held back for `groups`.

        The time starts again whenever they have taken some memory.
        """
        held_tokens = sum(group.held_tokens for group in groups)
        current = self._yields.get(scope)
        if current is None or current.held_tokens < held_tokens:
            current = _Yield(now_s, tokens, held_tokens)
            self._yields[scope] = current
        current.tokens = min(current.tokens, tokens)
        current.held_tokens = held_tokens
        return now_s - current.since_s < MAX_YIELD_S

    def record_no_room(self, scope: Scope, tokens: int) -> None:
        """Record that a request does not fit: the memory has been taken."""
        current = self._yields.get(scope)
        if current is not None and tokens <= current.tokens:
            del self._yields[scope]

    def prune(self, others_wait: Callable[[Scope], bool]) -> None:
        """Forget the scopes in which no requests of other hosts wait."""
        for scope in [s for s in self._yields if not others_wait(s)]:
            del self._yields[scope]
