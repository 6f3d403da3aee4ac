"""Which waiting requests of other hosts are served before an own one.

It answers a load whose requests wait at several hosts: memory that becomes
free is for the one that is next over all hosts, not for the host that looks
first. Hosts know of each other the tokens wanted and held by each group, from
a moment ago.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Iterable, Mapping

import attrs

from balsamlift.placement._waiting_line import MIN_SHARE

# Longest time that a host leaves free memory to others. They look for memory
# every 0.3 s or more often: one that has not taken it after three looks may
# be gone, or may not fit.
MAX_YIELD_S = 0.9


@attrs.frozen(kw_only=True)
class WaitingGroup:
    """The waiting requests of one workspace and priority."""

    priority: int  # 0 is served first
    workspace: str
    weight: float
    waiting_tokens: int
    held_tokens: int  # reserved by the workspace at this priority, all hosts


def tokens_before(
    own: WaitingGroup,
    others: Iterable[WaitingGroup],
    request_tokens: int,
    held_by_priority: Mapping[int, int],
) -> int:
    """Return the tokens wanted by groups that are served before `own`.

    `others` are the groups that wait at other hosts, and `request_tokens` the
    size of the own request. Held tokens are those of all hosts.
    """
    min_tokens = sum(held_by_priority.values()) * MIN_SHARE
    missing: defaultdict[int, float] = defaultdict(lambda: min_tokens)
    for priority, held in held_by_priority.items():
        missing[priority] -= held
    before = 0.0
    for group in others:
        if group.priority == own.priority:
            if _is_less_served(group, own, request_tokens):
                before += group.waiting_tokens
        elif group.priority < own.priority:
            if missing[own.priority] <= 0:
                before += group.waiting_tokens
        else:
            lacking = max(missing[group.priority], 0.0)
            before += min(group.waiting_tokens, lacking)
            missing[group.priority] -= group.waiting_tokens
    return round(before)


def _is_less_served(
    group: WaitingGroup, own: WaitingGroup, request_tokens: int
) -> bool:
    """Return whether a group holds less, also after one more request."""
    held_then = group.held_tokens + request_tokens
    return held_then / group.weight <= own.held_tokens / own.weight


@attrs.define
class _Yield:
    """Memory that is left to other hosts."""

    since_s: float
    tokens: int  # of the smallest request that left it


class YieldLimit:
    """Limit for how long this host leaves free memory to others."""

    def __init__(self) -> None:
        """Start with no memory left to others."""
        self._yields: dict[Hashable, _Yield] = {}

    def allows(self, scope: Hashable, tokens: int, now_s: float) -> bool:
        """Return whether a request that fits may be held back now."""
        current = self._yields.setdefault(scope, _Yield(now_s, tokens))
        current.tokens = min(current.tokens, tokens)
        return now_s - current.since_s < MAX_YIELD_S

    def record_no_room(self, scope: Hashable, tokens: int) -> None:
        """Record that a request does not fit: the memory has been taken."""
        current = self._yields.get(scope)
        if current is not None and tokens <= current.tokens:
            del self._yields[scope]

    def clear(self) -> None:
        """Forget all: no request waits any more."""
        self._yields.clear()
