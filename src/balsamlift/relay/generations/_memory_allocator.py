"""Reserve engine memory for generations and queue those that must wait."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Collection

import attrs

from balsamlift.peers import Upstream
from balsamlift.placement import Backlog
from balsamlift.relay._balance import Balancer, backup_key
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._scope import Scope
from balsamlift.relay.generations._engine_cost import (
    EngineCost,
    reserved_tokens,
)
from balsamlift.relay.generations._placement_policy import (
    DEFAULT_POLICY,
    PlacementPolicy,
)

# Fill level above which an engine stores no backups: copying them would
# delay moves on the links between engines.
BACKUP_FILL_LIMIT = 0.5
# Fill level of a pool above which none of its engines stores backups: an
# engine that has just started would receive the backups of all the others.
BACKUP_POOL_FILL_LIMIT = 0.6


@attrs.frozen(kw_only=True)
class MemoryRequest:
    """Describe the memory that a generation needs and who asks for it."""

    scope: Scope
    traits: EngineTraits
    tokens: int
    priority: int = 0  # 0 is served first
    workspace: str = ""
    weight: float = 1.0  # of its workspace's share while requests wait
    in_time_until_s: float = math.inf  # monotonic; it is late afterwards
    tried: Collection[str] = ()  # names of engines not to be used


@attrs.define(eq=False)
class _WaitingRequest:
    """Hold a generation that waits for memory."""

    scope: Scope
    traits: EngineTraits
    tokens: int
    tried: Collection[str]
    is_hopeless: Callable[[], bool]
    granted: asyncio.Future[MemoryReservation | None]


class MemoryReservation:
    """A reservation of one engine's memory for one generation."""

    def __init__(
        self,
        balancer: Balancer,
        upstream: Upstream,
        tokens: int,
        key: Callable[[str], str] = str,
    ) -> None:
        """Reserve the memory, counted under the key `key(upstream)`."""
        self._balancer = balancer
        self._key = key
        self.upstream = upstream
        self.tokens = tokens
        balancer.add(key(upstream.name), tokens)
        balancer.publish()

    def move(self, upstream: Upstream) -> None:
        """Reserve the same amount on another engine instead."""
        self._balancer.add(self._key(upstream.name), self.tokens)
        self._balancer.add(self._key(self.upstream.name), -self.tokens)
        self._balancer.publish()
        self.upstream = upstream

    def release(self) -> None:
        """Release the memory; further calls have no effect."""
        tokens, self.tokens = self.tokens, 0
        if tokens:
            self._balancer.add(self._key(self.upstream.name), -tokens)
            self._balancer.publish()


class MemoryAllocator:
    """Allocate engine memory to generations in order of priority."""

    def __init__(
        self, balancer: Balancer, policy: PlacementPolicy = DEFAULT_POLICY
    ) -> None:
        """Count memory in tokens, through `balancer`."""
        self._balancer = balancer
        self._policy = policy
        self._cost = EngineCost(balancer, policy)
        self._waiting: list[tuple[tuple[int, int], _WaitingRequest]] = []
        self._sequence = itertools.count()
        balancer.on_release(self.place_waiting)

    def find(
        self,
        scope: Scope,
        traits: EngineTraits,
        tokens: int,
        tried: Collection[str] = (),
        near_domain: str = "",
        fill_limit: float | None = None,
    ) -> Upstream | None:
        """Return the best engine with memory for `tokens`, if there is one.

        Prefers the failure domain `near_domain`, which defaults to that of
        this host. Fills an engine up to the fraction `fill_limit` of its
        memory, which defaults to that of the policy.
        """
        max_load = self._max_load(traits, tokens, fill_limit)
        fitting = [
            u
            for u in self._balancer.usable(scope, tried)
            if self._balancer.load(u.name) <= max_load
        ]
        if not fitting:
            return None
        candidates = self._proven(fitting) or fitting
        sampled = self._balancer.sample(candidates, self._sample_size())
        return min(
            sampled, key=lambda u: self._cost.of(u, traits, near_domain)
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
        return MemoryReservation(self._balancer, upstream, tokens)

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

    def backlog(
        self,
        scope: Scope,
        traits: EngineTraits,
        tokens: int,
        priority: int,
        workspace: str,
        weight: float,
    ) -> Backlog:
        """Return what a request would find before it if it waited now."""
        usable = self._balancer.usable(scope, ())
        capacity = int(traits.memory_tokens * self._policy.fill_limit)
        used_tokens = sum(self._balancer.load(u.name) for u in usable)
        free_tokens = sum(
            max(capacity - self._balancer.load(u.name), 0) for u in usable
        )
        ahead_tokens = sum(
            entry.tokens
            for queued, entry in self._waiting
            if entry.scope == scope and queued[0] <= priority
        )
        return Backlog(
            free_tokens=free_tokens,
            used_tokens=used_tokens,
            ahead_tokens=ahead_tokens,
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
        scope, traits, tried = request.scope, request.traits, request.tried
        if self._balancer.is_closed(scope):
            return None
        tokens = min(
            request.tokens,
            int(traits.memory_tokens * self._policy.fill_limit),
        )
        if not self._must_wait(scope, request.priority):
            upstream = self.find(scope, traits, tokens, tried)
            if upstream is not None:
                return self.reserve(upstream, tokens)
        granted: asyncio.Future[MemoryReservation | None] = (
            asyncio.get_running_loop().create_future()
        )
        entry = _WaitingRequest(
            scope, traits, tokens, tried, is_hopeless, granted
        )
        queued = ((request.priority, next(self._sequence)), entry)
        self._waiting.append(queued)
        self._waiting.sort(key=lambda item: item[0])
        try:
            return await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                reservation = granted.result()
                if reservation is not None:
                    reservation.release()
            raise
        finally:
            if queued in self._waiting:
                self._waiting.remove(queued)

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting generations."""
        return len(self._waiting)

    def place_waiting(self) -> None:
        """Place waiting generations in order of priority."""
        blocked: set[Scope] = set()
        for queued in list(self._waiting):
            entry = queued[1]
            if entry.scope in blocked or entry.granted.done():
                continue
            upstream = self.find(
                entry.scope, entry.traits, entry.tokens, entry.tried
            )
            if upstream is not None:
                self._waiting.remove(queued)
                entry.granted.set_result(self.reserve(upstream, entry.tokens))
            elif self._balancer.is_closed(entry.scope) or entry.is_hopeless():
                self._waiting.remove(queued)
                entry.granted.set_result(None)
            else:
                # Smaller requests behind it must not starve it.
                blocked.add(entry.scope)

    def _must_wait(self, scope: Scope, priority: int) -> bool:
        return any(
            entry.scope == scope and queued[0] <= priority
            for queued, entry in self._waiting
        )
