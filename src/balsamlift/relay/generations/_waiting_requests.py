"""The generations that wait for engine memory on this host."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs
from loguru import logger

from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.placement import (
    Offer,
    WaitingGroup,
    WaitingLine,
    YieldLimit,
    groups_before,
    leaves_room,
)
from balsamlift.relay._balance import Balancer
from balsamlift.relay._scope import Scope
from balsamlift.relay.generations._group_counts import GroupCounts
from balsamlift.relay.generations._memory_request import MemoryRequest
from balsamlift.relay.generations._memory_reservation import MemoryReservation

log = logger.bind(part="relay")


@attrs.define(eq=False)
class WaitingRequest:
    """Hold a request for memory until an engine has it free."""

    request: MemoryRequest
    is_hopeless: Callable[[], bool]
    granted: asyncio.Future[MemoryReservation | None]
    since_s: float  # monotonic
    yielded_since_s: float | None = None  # left memory to other hosts
    ahead_tokens: int = 0  # of other hosts' requests, when it yielded

    @property
    def workspace(self) -> str:
        """Return the workspace that it is charged to."""
        return self.request.workspace

    @property
    def weight(self) -> float:
        """Return the weight of its workspace."""
        return self.request.weight

    @property
    def cost(self) -> float:
        """Return the memory that it needs, in tokens."""
        return self.request.tokens

    @property
    def priority(self) -> int:
        """Return the priority; 0 is served first."""
        return self.request.priority

    @property
    def scope(self) -> Scope:
        """Return the pool and regions in which it may run."""
        return self.request.scope

    @property
    def in_time_until_s(self) -> float:
        """Return the time after which it is late."""
        return self.request.in_time_until_s


@attrs.frozen(kw_only=True)
class EngineMemory:
    """How to look for free memory and to reserve it."""

    find: Callable[[MemoryRequest], Upstream | None]
    # Free memory of each engine of a request, once it has its own in one.
    free_tokens_after: Callable[[MemoryRequest, Upstream], list[int]]
    reserve: Callable[[WaitingRequest, Upstream], None]


class WaitingRequests:
    """Keep the waiting requests of all pools, and place them in order."""

    def __init__(
        self,
        balancer: Balancer,
        groups: GroupCounts,
        memory: EngineMemory,
        metrics: Metrics,
    ) -> None:
        """Tell other hosts by `groups` what waits here."""
        self._balancer = balancer
        self._groups = groups
        self._memory = memory
        self._metrics = metrics
        self._lines: dict[str, WaitingLine[WaitingRequest]] = {}
        self._yields: YieldLimit[Scope] = YieldLimit()
        self._is_placing = False
        self._gauged: set[int] = set()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(line) for line in self._lines.values())

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over the waiting requests, by pool."""
        for line in self._lines.values():
            yield from line

    def must_wait(self, scope: Scope) -> bool:
        """Return whether a new request joins a line, here or elsewhere."""
        return scope.pool in self._lines or self._groups.others_wait(scope)

    def push(self, waiting: WaitingRequest) -> None:
        """Append a request to the line of its pool."""
        line = self._lines.setdefault(waiting.scope.pool, WaitingLine())
        line.push(waiting)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request if it waits, and tell the other hosts."""
        line = self._lines.get(waiting.scope.pool)
        if line is not None and line.remove(waiting):
            self.publish()

    def tokens_before(self, request: MemoryRequest) -> int:
        """Return the tokens wanted here and elsewhere before a request.

        Of the requests of its own group elsewhere, all came before a new
        request, and about half before one that waits.
        """
        elsewhere = self._groups.waiting_elsewhere(request.scope)
        line = self._lines.get(request.scope.pool)
        position = self._find(line, request)
        own_group = _sum_waiting(
            group
            for group in elsewhere
            if (group.priority, group.workspace) == request.group
        )
        ahead = _sum_waiting(self._groups_before(request, elsewhere))
        ahead += own_group if position is None else own_group // 2
        if line is None:
            return ahead
        return ahead + round(
            line.tokens_before(
                request.scope,
                request.priority,
                request.workspace,
                request.weight,
                request.tokens,
                position,
            )
        )

    def _find(
        self,
        line: WaitingLine[WaitingRequest] | None,
        request: MemoryRequest,
    ) -> WaitingRequest | None:
        """Return where a request waits; None if it does not."""
        found = (each for each in line or () if each.request == request)
        return next(found, None)

    def has_precedence(self) -> bool:
        """Return whether a request here goes before all of other hosts.

        That is, one of the most urgent waits here and a less urgent one
        elsewhere.
        """
        for scope in {each.scope for each in self}:
            own = min(e.priority for e in self if e.scope == scope)
            others = self._groups.waiting_elsewhere(scope)
            elsewhere = {group.priority for group in others}
            if elsewhere and min(elsewhere) >= own < max(elsewhere):
                return True
        return False

    def place(self) -> None:
        """Offer free memory to the waiting requests in order."""
        if self._is_placing or not self._lines:
            return
        self._is_placing = True
        now_s = asyncio.get_running_loop().time()
        try:
            for line in self._lines.values():
                line.place(self._isolated(self._offering(now_s)), now_s)
        finally:
            self._is_placing = False
        self.publish()

    def publish(self) -> None:
        """Publish what waits here, and what is held while any waits."""
        was_placing, self._is_placing = self._is_placing, True
        waiting: dict[Scope, list[MemoryRequest]] = {}
        for pool, line in list(self._lines.items()):
            if not len(line):
                del self._lines[pool]
                continue
            for each in line:
                waiting.setdefault(each.scope, []).append(each.request)
        self._yields.prune(self._groups.others_wait)
        try:
            self._groups.publish(waiting)
        finally:
            self._is_placing = was_placing
        self._update_gauges()

    def _isolated(
        self, offer: Callable[[WaitingRequest], Offer]
    ) -> Callable[[WaitingRequest], Offer]:
        """Return `offer`, with a failure ending the wait of its request only.

        It would otherwise come back with each release, whoever releases.
        """

        def offer_or_end(waiting: WaitingRequest) -> Offer:
            try:
                return offer(waiting)
            except Exception:
                self._metrics.count("generations.placing_failed")
                log.bind(request=waiting.request.request_id).exception(
                    "could not place a generation"
                )
                if not waiting.granted.done():
                    waiting.granted.set_result(None)
                return Offer.GONE

        return offer_or_end

    def _offering(self, now_s: float) -> Callable[[WaitingRequest], Offer]:
        """Return what offers memory in one pass."""
        elsewhere: dict[Scope, list[WaitingGroup]] = {}
        failed_tokens: dict[Scope, int] = {}  # the smallest without room

        def offer(waiting: WaitingRequest) -> Offer:
            request = waiting.request
            if waiting.granted.done():
                return Offer.GONE
            if request.tokens >= failed_tokens.get(request.scope, math.inf):
                return Offer.NO_ROOM
            upstream = self._memory.find(request)
            if upstream is None:
                result = self._handle_no_room(waiting)
                if result is Offer.NO_ROOM and not request.tried:
                    failed_tokens[request.scope] = request.tokens
                return result
            if request.scope not in elsewhere:
                elsewhere[request.scope] = self._groups.waiting_elsewhere(
                    request.scope
                )
            others = elsewhere[request.scope]
            if others and self._must_yield(waiting, upstream, others, now_s):
                return Offer.YIELDED
            self._log_yield(waiting, now_s)
            self._memory.reserve(waiting, upstream)
            return Offer.TAKEN

        return offer

    def _handle_no_room(self, waiting: WaitingRequest) -> Offer:
        request = waiting.request
        if self._balancer.is_closed(request.scope) or waiting.is_hopeless():
            waiting.granted.set_result(None)
            return Offer.GONE
        if not request.tried:
            self._yields.record_no_room(request.scope, request.tokens)
        return Offer.NO_ROOM

    def _must_yield(
        self,
        waiting: WaitingRequest,
        upstream: Upstream,
        elsewhere: Sequence[WaitingGroup],
        now_s: float,
    ) -> bool:
        request = waiting.request
        before = self._groups_before(request, elsewhere)
        left_tokens = self._memory.free_tokens_after(request, upstream)
        if leaves_room(left_tokens, before):
            return False
        if not self._yields.allows(
            request.scope, request.tokens, before, now_s
        ):
            return False
        if waiting.yielded_since_s is None:
            waiting.yielded_since_s = now_s
            self._metrics.count("generations.memory_yields")
        waiting.ahead_tokens = _sum_waiting(before)
        return True

    def _groups_before(
        self, request: MemoryRequest, elsewhere: Sequence[WaitingGroup]
    ) -> list[WaitingGroup]:
        """Return the groups of other hosts that go before a request."""
        if not elsewhere:
            return []
        held = self._groups.held(request.scope)
        by_priority: Counter[int] = Counter()
        for (priority, _), tokens in held.items():
            by_priority[priority] += tokens
        own = WaitingGroup(
            priority=request.priority,
            workspace=request.workspace,
            weight=request.weight,
            waiting_tokens=request.tokens,
            request_tokens=request.tokens,
            held_tokens=held[request.group],
        )
        return groups_before(own, elsewhere, by_priority)

    def _log_yield(self, waiting: WaitingRequest, now_s: float) -> None:
        if waiting.yielded_since_s is None:
            return
        log.bind(
            request=waiting.request.request_id,
            pool=waiting.scope.pool,
            priority=waiting.priority,
            workspace=waiting.workspace,
            yielded_ms=round((now_s - waiting.yielded_since_s) * 1_000),
            ahead_tokens=waiting.ahead_tokens,
            counts_basis=self._balancer.counts_basis,
        ).info("memory taken after other hosts")

    def _update_gauges(self) -> None:
        numbers = Counter(
            each.priority for line in self._lines.values() for each in line
        )
        for priority in self._gauged | numbers.keys():
            self._metrics.gauge(
                f"generations.waiting.{priority}", numbers[priority]
            )
        self._gauged = set(numbers)


def _sum_waiting(groups: Iterable[WaitingGroup]) -> int:
    return sum(group.waiting_tokens for group in groups)
