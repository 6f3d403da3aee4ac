"""The scheduler of one host: it queues, admits and places requests.

The caller passes the time, so it runs in virtual time as well.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from random import Random

import attrs

from balsamlift.exceptions import RefusedError
from balsamlift.placement._ejection import eject_slow
from balsamlift.placement._engine import Engine, LoadReport
from balsamlift.placement._forecast import (
    MemoryProfile,
    generation_profile,
    total_profile,
)
from balsamlift.placement._lengths import LengthEstimates, expected_remaining
from balsamlift.placement._policy import Policy
from balsamlift.placement._pool import Pool, Refusal
from balsamlift.placement._prefixes import PrefixLengths
from balsamlift.placement._request import PlacementRequest, Ticket
from balsamlift.placement._retry_budget import RetryBudget
from balsamlift.placement._selection import (
    SelectionContext,
    Selector,
    make_round_robin,
    pick_best,
    pick_least_loaded,
)
from balsamlift.placement._short_turns import short_turn_at
from balsamlift.placement._wait_estimate import retry_after_ms

MAX_PROFILE_AGE_MS = 200.0  # before it is computed again
DRAINING_CLOSED_MS = 5_000.0  # how long a draining upstream is closed


@attrs.define
class Decisions:
    """Hold the tickets placed and refused in one pass over the queues."""

    placed: list[Ticket] = attrs.field(factory=list)
    refused: list[Refusal] = attrs.field(factory=list)


class Scheduler:
    """Queue, admit and place the requests of one host.

    Times are in milliseconds of any monotonic clock.
    """

    def __init__(self, policy: Policy, seed: int) -> None:
        """Start without engines; seed 0 seeds from the system's entropy.

        Hosts with the same seed would make the same choices at the same
        time.
        """
        self.policy = policy
        self.hosts = 1  # live, including this one
        self.wall_offset_ms = 0.0  # from the time passed in to wall-clock time
        self.lengths = LengthEstimates()
        self.prefixes = PrefixLengths()
        self._pools: dict[str, Pool] = {}
        self._random = Random(seed or None)
        self._retry_budget = RetryBudget()
        self._displaced: list[Refusal] = []
        self._selectors: dict[str, Selector] = {
            "balsamlift": pick_best,
            "round_robin": make_round_robin(),
            "least_load": pick_least_loaded,
        }

    def set_engines(self, pool: str, engines: Iterable[Engine]) -> None:
        """Replace the engines; those already known keep their state."""
        self._pool(pool).set_engines(engines)

    def engines(self, pool: str) -> list[Engine]:
        """Return the engines of a pool."""
        return list(self._pool(pool).engines.values())

    def apply_report(
        self, pool: str, name: str, report: LoadReport, now_ms: float
    ) -> None:
        """Apply a load report of an engine."""
        engine = self._pool(pool).engines.get(name)
        if engine is not None:
            self._refresh(engine, now_ms)
            engine.apply_report(report)

    def apply_cache_event(
        self, pool: str, name: str, prefix: str, *, stored: bool
    ) -> None:
        """Apply a cache event: an engine stored or evicted a prefix."""
        engine = self._pool(pool).engines.get(name)
        if engine is None:
            return
        if stored:
            engine.remember_prefix(prefix)
        else:
            engine.forget_prefix(prefix)

    def expected_tokens(self, pool: str, name: str, now_ms: float) -> int:
        """Return the load to announce to peers for an upstream.

        It is the peak memory, in tokens, expected of this host's requests
        there; for a plain service, the number of requests.
        """
        engine = self._pool(pool).engines.get(name)
        if engine is None:
            return 0
        if not engine.tracks_memory:
            return len(engine.tickets)
        self._refresh(engine, now_ms)
        return int(engine.profile.peak)

    def enqueue(self, request: PlacementRequest, now_ms: float) -> Ticket:
        """Queue a request.

        Raises `RefusedError` if it would miss its deadline, or if the
        queue is full and its workspace already has its share of it.
        """
        pool = self._pool(request.pool)
        self.prefixes.observe(request.prefix, request.prompt_tokens)
        ticket = Ticket(request, now_ms, self._expected_cost(request))
        pool.check_deadline(ticket, self.policy)
        displaced = pool.make_room(ticket, self.policy)
        if displaced is not None:
            self._displaced.append(displaced)
        pool.queue(request.priority).push(ticket)
        self._retry_budget.earn(self.policy.retry_ratio)
        return ticket

    def decide(self, now_ms: float) -> Decisions:
        """Place the tickets that fit; refuse those that became too late."""
        decisions = Decisions(refused=self._displaced)
        self._displaced = []
        for pool in self._pools.values():
            pool.rate.advance(now_ms, pool.waiting_count() > 0)
            place = partial(self._place, pool, frozenset(), now_ms)
            for queue in pool.by_priority():
                placed = queue.drain(place)
                pool.rate.record_admitted(
                    sum(ticket.cost for ticket in placed)
                )
                decisions.placed += placed
            decisions.refused += pool.remove_overdue(self.policy, now_ms)
        return decisions

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a ticket from the queue."""
        request = ticket.request
        self._pool(request.pool).queue(request.priority).remove(ticket)

    def choose(
        self, ticket: Ticket, exclude: frozenset[str], now_ms: float
    ) -> str:
        """Return the upstream reserved for a ticket.

        Reserves another one if there is none or it is excluded. Raises
        `RefusedError` if no upstream fits.
        """
        pool = self._pool(ticket.request.pool)
        if ticket.upstream in pool.engines and ticket.upstream not in exclude:
            return ticket.upstream
        self.release(ticket)
        if not self._place(pool, exclude, now_ms, ticket):
            wait_ms = pool.rate.wait_ms(ticket.cost)
            raise RefusedError(
                "no_upstream", retry_after_ms(wait_ms, 0.0, wait_ms)
            )
        return ticket.upstream

    def mark_started(self, ticket: Ticket) -> None:
        """Record that the generation runs on its upstream."""
        ticket.started = True
        engine = self._engine_of(ticket)
        if engine is not None:
            engine.remember_prefix(ticket.request.prefix)

    def record_progress(
        self, ticket: Ticket, tokens: int, gap_ms: float, now_ms: float
    ) -> None:
        """Record tokens that arrived, and the gap before them."""
        ticket.tokens += tokens
        engine = self._engine_of(ticket)
        if engine is not None and gap_ms > 0:
            engine.observe_gap(gap_ms, now_ms)

    def handle_refusal(
        self, ticket: Ticket, reason: str, retry_ms: float, now_ms: float
    ) -> None:
        """Release a ticket that its upstream refused without running it.

        Closes the upstream for `retry_ms`, or for a fixed time if it is
        draining.
        """
        engine = self._engine_of(ticket)
        self.release(ticket)
        if engine is not None:
            closed_ms = (
                DRAINING_CLOSED_MS if reason == "draining" else retry_ms
            )
            engine.close(now_ms + closed_ms)

    def release(self, ticket: Ticket) -> None:
        """Release the reservation of a ticket."""
        engine = self._engine_of(ticket)
        ticket.upstream = ""
        if engine is not None:
            engine.tickets.pop(ticket.request.key, None)
            engine.profile_updated_ms = -1e9

    def finish(self, ticket: Ticket, tokens: int) -> None:
        """Record the length of a complete answer and release its ticket."""
        self.release(ticket)
        request = ticket.request
        if tokens > 0:
            self.lengths.observe(request.workspace, request.kind, tokens)

    def may_retry(self) -> bool:
        """Take one retry from the budget; return whether one was left."""
        return self._retry_budget.spend()

    def tick(self, now_ms: float) -> None:
        """Adapt concurrency limits and eject slow engines.

        To be called several times a second.
        """
        if self.policy.name != "balsamlift":
            return
        for pool in self._pools.values():
            shape = total_profile(
                engine.profile for engine in pool.engines.values()
            ).shape
            for engine in pool.engines.values():
                engine.peers_shape = shape
                engine.adapt_limit(self.policy, now_ms)
            eject_slow(list(pool.engines.values()), self.policy, now_ms)

    def _pool(self, name: str) -> Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = Pool()
        return pool

    def _engine_of(self, ticket: Ticket) -> Engine | None:
        return self._pool(ticket.request.pool).engines.get(ticket.upstream)

    def _length_points(self, request: PlacementRequest) -> list[int]:
        return self.lengths.points(
            request.workspace, request.kind, request.max_tokens
        )

    def _expected_cost(self, request: PlacementRequest) -> float:
        remaining = expected_remaining(self._length_points(request), 0)
        return request.prompt_tokens + min(remaining, request.max_tokens)

    def _profile(self, ticket: Ticket) -> MemoryProfile:
        request = ticket.request
        own_tokens = request.prompt_tokens - self.prefixes.shared_tokens(
            request.prefix
        )
        return generation_profile(
            max(own_tokens, 0), ticket.tokens, self._length_points(request)
        )

    def _refresh(self, engine: Engine, now_ms: float) -> None:
        if now_ms - engine.profile_updated_ms < MAX_PROFILE_AGE_MS:
            return
        engine.profile_updated_ms = now_ms
        engine.profile = total_profile(
            self._profile(ticket) for ticket in engine.tickets.values()
        )

    def _place(
        self,
        pool: Pool,
        exclude: frozenset[str],
        now_ms: float,
        ticket: Ticket,
    ) -> bool:
        usable = [
            engine
            for engine in pool.engines.values()
            if engine.name not in exclude and not engine.is_closed(now_ms)
        ]
        if not usable:
            return False
        demand = self._profile(ticket)
        context = self._selection_context(pool, now_ms)
        selector = self._selectors[self.policy.name]
        engine = selector(usable, ticket.request, demand, context)
        if engine is None:
            return False
        ticket.upstream = engine.name
        ticket.tokens = 0
        engine.tickets[ticket.request.key] = ticket
        engine.profile = engine.profile.plus(demand)
        return True

    def _selection_context(
        self, pool: Pool, now_ms: float
    ) -> SelectionContext:
        return SelectionContext(
            policy=self.policy,
            hosts=self.hosts,
            now_ms=now_ms,
            random=self._random,
            turn=short_turn_at(
                pool.rotation, self.policy, now_ms + self.wall_offset_ms
            ),
            refresh=lambda engine: self._refresh(engine, now_ms),
        )
