"""Rows for operators: who waits for engine memory, and how engines fare."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

import attrs

from balsamlift.operators import JsonHandler, Routes
from balsamlift.peers import CountsBasis, Upstream
from balsamlift.relay._balance import Balancer, backup_key, prefill_key
from balsamlift.relay._configuration import EngineTraits

_MS_PER_S = 1_000


# Pool, priority and workspace of requests that are served alike.
GroupKey = tuple[str, int, str]


@attrs.frozen(kw_only=True)
class Wait:
    """One request that waits for engine memory at this host."""

    group: GroupKey
    tokens: int
    since_s: float  # monotonic


class Pace(Protocol):
    """How fast an engine is, as hosts measured it."""

    @property
    def gap_ms(self) -> float:
        """Return the mean time between events."""

    @property
    def long_pause_ms(self) -> float:
        """Return the longest pause of late."""

    @property
    def hosts(self) -> int:
        """Return how many hosts measured it."""

    @property
    def own_age_ms(self) -> int | None:
        """Return the age of this host's measure, None without one."""


@attrs.frozen(kw_only=True)
class QueueRow:
    """Show one group that waits for memory or holds some."""

    pool: str
    priority: int  # 0 is served first
    workspace: str  # "": callers without one
    weight: float  # of its workspace
    waiting_requests: int  # at this host
    waiting_tokens: int  # at this host
    longest_wait_ms: int  # at this host, of those that wait now
    waiting_tokens_elsewhere: int
    held_tokens: int  # by all hosts while requests wait, else by this host
    counts: CountsBasis  # how the part of other hosts was obtained


@attrs.frozen(kw_only=True)
class EngineRow:
    """Show the memory, the health and the pace of one engine."""

    name: str
    pool: str
    state: str
    memory_tokens: int
    reserved_tokens: int  # by all hosts
    backup_tokens: int
    unread_tokens: int  # of prompts
    counts: CountsBasis
    failure_share: float
    is_suspected: bool
    is_ejected: bool  # by this host
    gap_ms: float | None  # None: nobody measured it
    long_pause_ms: float | None
    pace_hosts: int
    pace_age_ms: int | None  # None: this host measured nothing


def queue_rows(
    waits: Iterable[Wait],
    waiting_elsewhere: Mapping[GroupKey, int],
    held_tokens: Mapping[GroupKey, int],
    weight_of: Callable[[str], float],
    counts: CountsBasis,
    now_s: float,
) -> list[QueueRow]:
    """Return a row for each group, the most urgent of a pool first.

    `weight_of` returns the weight of a workspace.
    """
    waits_by_group: defaultdict[GroupKey, list[Wait]] = defaultdict(list)
    for wait in waits:
        waits_by_group[wait.group].append(wait)
    rows = []
    for group in sorted({*waits_by_group, *waiting_elsewhere, *held_tokens}):
        pool, priority, workspace = group
        own = waits_by_group.get(group, [])
        first_s = min((wait.since_s for wait in own), default=now_s)
        row = QueueRow(
            pool=pool,
            priority=priority,
            workspace=workspace,
            weight=weight_of(workspace),
            waiting_requests=len(own),
            waiting_tokens=sum(wait.tokens for wait in own),
            longest_wait_ms=round((now_s - first_s) * _MS_PER_S),
            waiting_tokens_elsewhere=waiting_elsewhere.get(group, 0),
            held_tokens=held_tokens.get(group, 0),
            counts=counts,
        )
        rows.append(row)
    return rows


def engine_rows(
    upstreams: Iterable[Upstream],
    traits: Mapping[str, EngineTraits],
    balancer: Balancer,
    paces: Mapping[str, Pace],
) -> list[EngineRow]:
    """Return a row for each upstream of the pools in `traits`, by name."""
    engines = [u for u in upstreams if u.pool in traits]
    return [
        _engine_row(u, traits[u.pool], balancer, paces.get(u.name))
        for u in sorted(engines, key=lambda u: (u.pool, u.name))
    ]


def _engine_row(
    upstream: Upstream,
    traits: EngineTraits,
    balancer: Balancer,
    pace: Pace | None,
) -> EngineRow:
    name = upstream.name
    return EngineRow(
        name=name,
        pool=upstream.pool,
        state=upstream.state,
        memory_tokens=traits.memory_tokens,
        reserved_tokens=balancer.load(name),
        backup_tokens=balancer.load(backup_key(name)),
        unread_tokens=balancer.load(prefill_key(name)),
        counts=balancer.counts_basis,
        failure_share=round(balancer.failure_share(name), 3),
        is_suspected=balancer.is_suspected(name),
        is_ejected=balancer.is_ejected(name),
        gap_ms=round(pace.gap_ms, 1) if pace else None,
        long_pause_ms=round(pace.long_pause_ms, 1) if pace else None,
        pace_hosts=pace.hosts if pace else 0,
        pace_age_ms=pace.own_age_ms if pace else None,
    )


class RowsHandler(JsonHandler):
    """Answer a GET with the rows of one view."""

    def initialize(self, rows: Callable[[], Sequence[Any]]) -> None:
        """Reply with the result of `rows`."""
        self._rows = rows

    def get(self) -> None:
        """Send the current rows."""
        self.reply(self._rows())


def view_routes(
    queues: Callable[[], Sequence[QueueRow]],
    engines: Callable[[], Sequence[EngineRow]],
) -> Routes:
    """Return the routes that serve these views to operators."""
    return [
        (r"/v1/queues", RowsHandler, {"rows": queues}),
        (r"/v1/engines", RowsHandler, {"rows": engines}),
    ]
