"""Find engines with room for generations; let the rest wait in order."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Collection

import attrs

from balsamlift.peers import Upstream
from balsamlift.relay._balance import Balancer, backup_key, prefill_key
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._placing import STANDARD, PlacingPolicy
from balsamlift.relay._scope import Scope

# An engine that is filled beyond this keeps no backups: they take the links
# between engines from moves.
BACKUP_FILLED_PART = 0.5
# No engine keeps any while those of the pool together are filled beyond this:
# one that has just come up would be sent backups of all.
BACKUP_POOL_FILLED_PART = 0.6


@attrs.define(eq=False)
class _Waiting:
    """Hold one generation that found no room."""

    scope: Scope
    traits: EngineTraits
    tokens: int
    tried: Collection[str]
    placed: asyncio.Future[Holding | None]


class Holding:
    """Hold memory of one engine at a time for one generation."""

    def __init__(
        self,
        balancer: Balancer,
        upstream: Upstream,
        tokens: int,
        name: Callable[[str], str] = str,
    ) -> None:
        """Hold it from here on, counted under `name` of the engine's."""
        self._balancer = balancer
        self._name = name
        self.upstream = upstream
        self.tokens = tokens
        balancer.add(name(upstream.name), tokens)
        balancer.tell()

    def move(self, upstream: Upstream) -> None:
        """Hold as much of another engine instead."""
        self._balancer.add(self._name(upstream.name), self.tokens)
        self._balancer.add(self._name(self.upstream.name), -self.tokens)
        self._balancer.tell()
        self.upstream = upstream

    def release(self) -> None:
        """Give the memory back, once."""
        tokens, self.tokens = self.tokens, 0
        if tokens:
            self._balancer.add(self._name(self.upstream.name), -tokens)
            self._balancer.tell()


class Rooms:
    """Give out the memory of engines, the most urgent first."""

    def __init__(
        self, balancer: Balancer, policy: PlacingPolicy = STANDARD
    ) -> None:
        """Count memory as `balancer` does, in tokens."""
        self._balancer = balancer
        self._policy = policy
        self._waiting: list[tuple[tuple[int, int], _Waiting]] = []
        self._numbers = itertools.count()
        balancer.on_release(self.look)

    def find(
        self,
        scope: Scope,
        traits: EngineTraits,
        tokens: int,
        tried: Collection[str] = (),
        near: str = "",
        filled_part: float | None = None,
    ) -> Upstream | None:
        """Return the engine with the most room for `tokens`, if any has.

        Prefers the failure domain `near`; by default that of this host.
        Fills an engine up to `filled_part` of its memory, or as the policy
        says.
        """
        if filled_part is None:
            filled_part = self._policy.filled_part
        most = traits.memory_tokens * filled_part - tokens
        fitting = [
            u
            for u in self._balancer.usable(scope, tried)
            if self._balancer.load(u.name) <= most
        ]
        if not fitting:
            return None
        drawn = self._balancer.draw(fitting, self._most_drawn())
        return min(drawn, key=lambda u: self._cost(u, traits, near))

    def _most_drawn(self) -> int | None:
        """Return of how many engines the best is taken; None: of all."""
        basis = self._balancer.counts_basis
        if basis in ("old", "scaled"):
            return self._policy.drawn_blindly
        return None

    def hold(self, upstream: Upstream, tokens: int) -> Holding:
        """Hold memory of an engine for what is sent there now."""
        self._balancer.sending(upstream)
        return Holding(self._balancer, upstream, tokens)

    def hold_backup(
        self,
        scope: Scope,
        source: Upstream,
        traits: EngineTraits,
        tokens: int,
    ) -> Holding | None:
        """Hold room for a copy of what runs at `source`, if there is any.

        Backups take what generations leave, and give way to them: they
        count for other backups only.
        """
        others = self._balancer.usable(scope, {source.name})
        filled = sum(self._filled(u) for u in others)
        room = traits.memory_tokens * len(others)
        if filled + tokens > room * BACKUP_POOL_FILLED_PART:
            return None
        most = traits.memory_tokens * BACKUP_FILLED_PART - tokens
        fitting = [u for u in others if self._filled(u) <= most]
        if not fitting:
            return None
        # A backup has the time of the whole generation to be copied.
        upstream = min(fitting, key=self._filled)
        return Holding(self._balancer, upstream, tokens, backup_key)

    def _filled(self, upstream: Upstream) -> int:
        load = self._balancer.load
        return load(upstream.name) + load(backup_key(upstream.name))

    async def wait(
        self,
        scope: Scope,
        traits: EngineTraits,
        tokens: int,
        priority: int,
        tried: Collection[str] = (),
    ) -> Holding | None:
        """Hold `tokens` of an engine, as soon as one has room.

        A request that is larger than an engine waits for an empty one.
        Returns None, at once, where evacuations leave no engine for it.
        """
        if self._balancer.is_closed(scope):
            return None
        tokens = min(
            tokens, int(traits.memory_tokens * self._policy.filled_part)
        )
        if not self._must_wait(scope, priority):
            upstream = self.find(scope, traits, tokens, tried)
            if upstream is not None:
                return self.hold(upstream, tokens)
        placed: asyncio.Future[Holding | None] = (
            asyncio.get_running_loop().create_future()
        )
        entry = _Waiting(scope, traits, tokens, tried, placed)
        place = ((priority, next(self._numbers)), entry)
        self._waiting.append(place)
        self._waiting.sort(key=lambda item: item[0])
        try:
            return await placed
        except asyncio.CancelledError:
            if placed.done() and not placed.cancelled():
                holding = placed.result()
                if holding is not None:
                    holding.release()
            raise
        finally:
            if place in self._waiting:
                self._waiting.remove(place)

    @property
    def waiting(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    def look(self) -> None:
        """Place those that wait, in order, as far as there is room."""
        blocked: set[Scope] = set()
        for place in list(self._waiting):
            entry = place[1]
            if entry.scope in blocked or entry.placed.done():
                continue
            upstream = self.find(
                entry.scope, entry.traits, entry.tokens, entry.tried
            )
            if upstream is not None:
                self._waiting.remove(place)
                entry.placed.set_result(self.hold(upstream, entry.tokens))
            elif self._balancer.is_closed(entry.scope):
                self._waiting.remove(place)
                entry.placed.set_result(None)
            else:
                # Smaller work behind it must not starve it.
                blocked.add(entry.scope)

    def _must_wait(self, scope: Scope, priority: int) -> bool:
        return any(
            entry.scope == scope and place[0] <= priority
            for place, entry in self._waiting
        )

    def _cost(
        self, upstream: Upstream, traits: EngineTraits, near: str
    ) -> float:
        policy = self._policy
        load = self._filled(upstream) / traits.memory_tokens
        unread = self._balancer.load(prefill_key(upstream.name))
        load += unread / traits.memory_tokens * policy.prefill_weight
        failures = self._balancer.failure_share(upstream.name)
        part = policy.copy_part if near else policy.other_domain_part
        domain = self._balancer.domain_cost(upstream, near) * part
        return load + failures + domain
