"""Reserve engine memory for generations and queue those that must wait."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

import attrs

from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.placement import Backlog, StreamDemand
from balsamlift.relay._balance import Balancer
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._count_keys import backup_key
from balsamlift.relay._scope import Scope
from balsamlift.relay.generations._engine_cost import (
    EngineCost,
    reserved_tokens,
)
from balsamlift.relay.generations._engine_paces import EnginePaces
from balsamlift.relay.generations._group_counts import GroupCounts
from balsamlift.relay.generations._memory_request import MemoryRequest
from balsamlift.relay.generations._memory_reservation import MemoryReservation
from balsamlift.relay.generations._placement_policy import (
    DEFAULT_POLICY,
    PlacementPolicy,
)
from balsamlift.relay.generations._prompt_reading import PromptReading
from balsamlift.relay.generations._waiting_requests import (
    EngineMemory,
    WaitingRequest,
    WaitingRequests,
)

__all__ = ["MemoryAllocator", "MemoryRequest", "MemoryReservation"]

# Fill level above which an engine stores no backups: copying them would
# delay moves on the links between engines.
BACKUP_FILL_LIMIT = 0.5
# Fill level of a pool above which none of its engines stores backups: an
# engine that has just started would receive the backups of all the others.
BACKUP_POOL_FILL_LIMIT = 0.6


class MemoryAllocator:
    """Allocate engine memory to generations, in order while they wait."""

    def __init__(
        self,
        balancer: Balancer,
        policy: PlacementPolicy = DEFAULT_POLICY,
        metrics: Metrics | None = None,
        weight_of: Callable[[str], float] = lambda workspace: 1.0,
        paces: EnginePaces | None = None,
    ) -> None:
        """Count memory in tokens, through `balancer`.

        `weight_of` returns the weight of a workspace that waits elsewhere.
        Without `paces`, all engines count as equally fast.
        """
        self._balancer = balancer
        self._policy = policy
        self._paces = paces
        self._cost = EngineCost(balancer, policy)
        self.reading = PromptReading(balancer)
        self.groups = GroupCounts(balancer, weight_of)
        self._waiting = WaitingRequests(
            balancer,
            self.groups,
            EngineMemory(
                find=self._find_for,
                free_tokens_after=self._free_tokens_after,
                reserve=self._grant,
            ),
            metrics or Metrics(),
        )
        balancer.on_release(self.place_waiting)

    def find(
        self,
        scope: Scope,
        traits: EngineTraits,
        tokens: int,
        tried: Collection[str] = (),
        near_domain: str = "",
        fill_limit: float | None = None,
        demand: StreamDemand | None = None,
        may_read: Callable[[str], bool] = lambda upstream: True,
    ) -> Upstream | None:
        """Return the best engine with memory for `tokens`, if there is one.

        Prefers the failure domain `near_domain`, which defaults to that of
        this host. Fills an engine up to the fraction `fill_limit` of its
        memory, which defaults to that of the policy. The pace of engines
        counts for streams with a `demand`. `may_read` returns whether an
        engine may be given one more prompt.
        """
        max_load = self._max_load(traits, tokens, fill_limit)
        usable = self._balancer.usable(scope, tried)
        fitting = [
            u
            for u in usable
            if self._balancer.load(u.name) <= max_load
            and may_read(u.name)
            and self._balancer.brittle_pools.may_generate(u)
        ]
        if not fitting:
            return None
        candidates = self._proven(fitting) or fitting
        sampled = self._balancer.sample(candidates, self._sample_size())
        pace = None
        if self._paces is not None and demand is not None:
            pace = self._paces.rate(scope.pool, usable, demand)
        return min(
            sampled, key=lambda u: self._cost.of(u, traits, near_domain, pace)
        )

    def _proven(self, upstreams: list[Upstream]) -> list[Upstream]:
        # A host that sees an engine fail may be at fault itself, so that its
        # report alone excludes no engine; but only a few need to find out.
        return [
            u for u in upstreams if not self._balancer.is_suspected(u.name)
        ]

    def fits(
        self, upstream: Upstream, traits: EngineTraits, tokens: int
    ) -> bool:
        """Return whether an engine has memory for `tokens`."""
        max_load = self._max_load(traits, tokens, fill_limit=None)
        return self._balancer.load(upstream.name) <= max_load

    def _max_load(
        self, traits: EngineTraits, tokens: int, fill_limit: float | None
    ) -> float:
        """Return the load up to which an engine has memory for `tokens`."""
        if fill_limit is None:
            fill_limit = self._policy.fill_limit
        return traits.memory_tokens * fill_limit - tokens

    def _sample_size(self) -> int | None:
        """Return how many random engines to compare; None for all."""
        basis = self._balancer.counts_basis
        if basis in ("old", "scaled"):
            return self._policy.uninformed_sample_size
        return None

    def reserve(self, upstream: Upstream, tokens: int) -> MemoryReservation:
        """Reserve memory of an engine for a request to be sent there now."""
        self._balancer.record_send(upstream)
        return MemoryReservation(self._balancer, upstream, tokens, is_run=True)

    def reserve_backup(
        self,
        scope: Scope,
        excluded: Collection[str],
        traits: EngineTraits,
        tokens: int,
    ) -> MemoryReservation | None:
        """Reserve memory for a backup on an engine that is not `excluded`.

        Returns None if there is no memory for it. Backups use memory that
        generations leave free and give way to them: they are counted
        separately and limit only other backups.
        """
        others = self._balancer.usable(scope, excluded)
        reserved = sum(reserved_tokens(self._balancer, u) for u in others)
        capacity = traits.memory_tokens * len(others)
        if reserved + tokens > capacity * BACKUP_POOL_FILL_LIMIT:
            return None
        max_load = traits.memory_tokens * BACKUP_FILL_LIMIT - tokens
        fitting = [
            u for u in others if reserved_tokens(self._balancer, u) <= max_load
        ]
        if not fitting:
            return None
        # Backups are copied over the whole run, so distance hardly matters.
        candidates = self._proven(fitting) or fitting
        upstream = min(
            candidates, key=lambda u: reserved_tokens(self._balancer, u)
        )
        return MemoryReservation(self._balancer, upstream, tokens, backup_key)

    def backlog(self, request: MemoryRequest) -> Backlog:
        """Return what a request finds before it, waiting or not yet."""
        request = self._limit_tokens(request)
        usable = self._balancer.usable(request.scope, request.tried)
        loads = [self._balancer.load(upstream.name) for upstream in usable]
        capacity = self._capacity(request.traits)
        return Backlog(
            free_tokens=sum(max(capacity - load, 0) for load in loads),
            used_tokens=sum(loads),
            ahead_tokens=self._waiting.tokens_before(request),
            is_known=self._balancer.counts_basis in ("heard", "gathered"),
        )

    async def wait(
        self,
        request: MemoryRequest,
        is_hopeless: Callable[[], bool] = lambda: False,
    ) -> MemoryReservation | None:
        """Reserve the requested memory as soon as an engine has it free.

        A request that is larger than an engine waits for an empty one.
        Returns None as soon as there is no use in waiting: no engine is left,
        or `is_hopeless`.
        """
        if self._balancer.is_closed(request.scope):
            return None
        request = self._limit_tokens(request)
        if not self._waiting.must_wait(request.scope):
            upstream = self._find_for(request)
            if upstream is not None:
                return self._reserve_for(request, upstream)
        loop = asyncio.get_running_loop()
        granted: asyncio.Future[MemoryReservation | None] = (
            loop.create_future()
        )
        waiting = WaitingRequest(request, is_hopeless, granted, loop.time())
        try:
            self._waiting.push(waiting)
            self._waiting.place()
            return await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                reservation = granted.result()
                if reservation is not None:
                    reservation.release()
            raise
        finally:
            self._waiting.remove(waiting)

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting generations."""
        return len(self._waiting)

    def waiting(self) -> list[WaitingRequest]:
        """Return the waiting generations, by pool, the most urgent first."""
        return list(self._waiting)

    def has_precedence(self) -> bool:
        """Return whether one that waits here goes before other hosts'."""
        return self._waiting.has_precedence()

    def place_waiting(self) -> None:
        """Place waiting generations in order."""
        self._waiting.place()

    def publish_groups(self) -> None:
        """Publish what generations hold here while any wait elsewhere."""
        self._waiting.publish()

    def _find_for(self, request: MemoryRequest) -> Upstream | None:
        return self.find(
            request.scope,
            request.traits,
            request.tokens,
            request.tried,
            demand=request.demand,
            may_read=self.reading.limit(request),
        )

    def _free_tokens_after(
        self, request: MemoryRequest, taken: Upstream
    ) -> list[int]:
        """Return the free memory of each engine of a request's scope.

        Counts the request itself as placed on the engine `taken`. That may
        be one that others do not use, as it is ejected: it leaves them as
        much as before.
        """
        capacity = self._capacity(request.traits)
        loads = {
            upstream.name: self._balancer.load(upstream.name)
            for upstream in self._balancer.usable(request.scope, ())
        }
        if taken.name in loads:
            loads[taken.name] += request.tokens
        return [max(capacity - load, 0) for load in loads.values()]

    def _grant(self, waiting: WaitingRequest, upstream: Upstream) -> None:
        waiting.granted.set_result(
            self._reserve_for(waiting.request, upstream)
        )

    def _reserve_for(
        self, request: MemoryRequest, upstream: Upstream
    ) -> MemoryReservation:
        """Reserve memory and count it as held by the request's group."""
        scope, group, tokens = request.scope, request.group, request.tokens
        self._balancer.record_send(upstream)
        self.groups.hold(scope, group, tokens)
        return MemoryReservation(
            self._balancer,
            upstream,
            tokens,
            on_release=lambda: self.groups.hold(scope, group, -tokens),
            is_run=True,
        )

    def _limit_tokens(self, request: MemoryRequest) -> MemoryRequest:
        """Return the request with no more tokens than an engine has."""
        tokens = min(request.tokens, self._capacity(request.traits))
        return attrs.evolve(request, tokens=tokens)

    def _capacity(self, traits: EngineTraits) -> int:
        """Return the memory of an engine that may be given out, in tokens."""
        return int(traits.memory_tokens * self._policy.fill_limit)
