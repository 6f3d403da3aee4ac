"""Rows for operators: who waits for engine memory, and how engines fare."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs

from balsamlift.kernel import Kernel
from balsamlift.operators import JsonHandler, OperatorsServer
from balsamlift.peers import CountsBasis, Upstream, Upstreams
from balsamlift.relay._balance import Balancer
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._count_keys import backup_key, prefill_key
from balsamlift.relay._routing import Routing
from balsamlift.relay._scope import Scope
from balsamlift.relay.generations import (
    EnginePaceRow,
    EnginePaces,
    Group,
    MemoryAllocator,
    WaitingRequest,
)

_MS_PER_S = 1_000


@attrs.frozen(kw_only=True)
class QueueRow:
    """Show one group that waits for memory or holds some."""

    pool: str
    regions: list[str]  # where its requests may run; none: anywhere
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
    gap_ms: float | None  # None: nobody measured its pace
    slowness: float | None  # compared with its pool; 1: not slow
    gap_age_ms: int | None  # None: this host measured nothing


def queue_rows(
    pools: Iterable[str],
    allocator: MemoryAllocator,
    weight_of: Callable[[str], float],
    counts: CountsBasis,
    now_s: float,
) -> list[QueueRow]:
    """Return a row for each group, the most urgent of a pool first.

    `now_s` is on the clock of the event loop.
    """
    scopes = {Scope(pool) for pool in pools} | allocator.groups.scopes()
    scopes |= {each.scope for each in allocator.waiting()}
    rows = [
        _queue_row(scope, group, state, weight_of(group[1]), counts, now_s)
        for scope in scopes
        for group, state in _queue_table(scope, allocator).items()
    ]
    return sorted(
        rows,
        key=lambda row: (row.pool, row.regions, row.priority, row.workspace),
    )


@attrs.define
class _GroupState:
    """Hold what a group waits for and holds."""

    waiting: list[WaitingRequest] = attrs.field(factory=list)
    elsewhere_tokens: int = 0
    held_tokens: int = 0


def _queue_table(
    scope: Scope, allocator: MemoryAllocator
) -> dict[Group, _GroupState]:
    """Return the groups of one scope."""
    table: defaultdict[Group, _GroupState] = defaultdict(_GroupState)
    for each in allocator.waiting():
        if each.scope == scope:
            table[each.request.group].waiting.append(each)
    for group in allocator.groups.waiting_elsewhere(scope):
        state = table[group.priority, group.workspace]
        state.elsewhere_tokens = group.waiting_tokens
    for held_by, tokens in allocator.groups.held(scope).items():
        table[held_by].held_tokens = tokens
    return table


def _queue_row(
    scope: Scope,
    group: Group,
    state: _GroupState,
    weight: float,
    counts: CountsBasis,
    now_s: float,
) -> QueueRow:
    priority, workspace = group
    since_s = [each.since_s for each in state.waiting]
    longest_wait_s = now_s - min(since_s, default=now_s)
    return QueueRow(
        pool=scope.pool,
        regions=sorted(scope.regions or ()),
        priority=priority,
        workspace=workspace,
        weight=weight,
        waiting_requests=len(state.waiting),
        waiting_tokens=sum(each.request.tokens for each in state.waiting),
        longest_wait_ms=round(longest_wait_s * _MS_PER_S),
        waiting_tokens_elsewhere=state.elsewhere_tokens,
        held_tokens=state.held_tokens,
        counts=counts,
    )


def engine_rows(
    upstreams: Iterable[Upstream],
    traits: Mapping[str, EngineTraits],
    balancer: Balancer,
    paces: Mapping[str, EnginePaceRow],
    now_s: float,
) -> list[EngineRow]:
    """Return a row for each upstream of the pools in `traits`, by name.

    `now_s` is on the clock of the event loop.
    """
    engines = [u for u in upstreams if u.pool in traits]
    return [
        _engine_row(u, traits[u.pool], balancer, paces.get(u.name), now_s)
        for u in sorted(engines, key=lambda u: (u.pool, u.name))
    ]


def _engine_row(
    upstream: Upstream,
    traits: EngineTraits,
    balancer: Balancer,
    pace: EnginePaceRow | None,
    now_s: float,
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
        is_ejected=balancer.health.is_ejected(name, now_s),
        gap_ms=round(pace.gap_ms, 1) if pace else None,
        slowness=round(pace.slowness, 2) if pace else None,
        gap_age_ms=pace.own_age_ms if pace else None,
    )


class RowsHandler(JsonHandler):
    """Answer a GET with the rows of one view."""

    def initialize(self, rows: Callable[[], Sequence[Any]]) -> None:
        """Reply with the result of `rows`."""
        self._rows = rows

    def get(self) -> None:
        """Send the current rows."""
        self.reply(self._rows())


def serve_views(
    kernel: Kernel,
    allocator: MemoryAllocator,
    balancer: Balancer,
    paces: EnginePaces,
) -> None:
    """Add the routes that serve queues and engines to operators."""
    routing = kernel.find("routing", Routing)
    upstreams = kernel.find("upstreams", Upstreams)
    operators = kernel.find("operators", OperatorsServer)

    def queues() -> list[QueueRow]:
        now_s = asyncio.get_running_loop().time()
        pools = _engine_traits(routing)
        return queue_rows(
            pools,
            allocator,
            routing.weight_of,
            balancer.counts_basis,
            now_s,
        )

    def engines() -> list[EngineRow]:
        now_s = asyncio.get_running_loop().time()
        rows = {row.upstream: row for row in paces.snapshot()}
        traits = _engine_traits(routing)
        return engine_rows(upstreams.all(), traits, balancer, rows, now_s)

    operators.add_routes(
        [
            (r"/v1/queues", RowsHandler, {"rows": queues}),
            (r"/v1/engines", RowsHandler, {"rows": engines}),
        ]
    )


def _engine_traits(routing: Routing) -> dict[str, EngineTraits]:
    """Return the traits of engines by pool; empty if not configured."""
    if not routing.is_configured:
        return {}
    services = routing.table().services.values()
    return {s.name: s.engine for s in services if s.engine is not None}
