"""The placement policy of one host, driven by an explicit time."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from random import Random

import attrs

from balsamlift.exceptions import RefusedError
from balsamlift.placement._ask import Ask, Ticket
from balsamlift.placement._budget import RetryBudget
from balsamlift.placement._choice import (
    Moment,
    Pick,
    pick_best,
    pick_least,
    round_robin,
)
from balsamlift.placement._ejection import eject_slow
from balsamlift.placement._engine import Engine, LoadReport
from balsamlift.placement._forecast import (
    Profile,
    generation_profile,
    total_profile,
)
from balsamlift.placement._lengths import LengthEstimates, expected_rest
from balsamlift.placement._policy import Policy
from balsamlift.placement._pool import Pool, Refusal
from balsamlift.placement._prefixes import PrefixLengths
from balsamlift.placement._turns import turn_at
from balsamlift.placement._waiting import retry_after_ms

PROFILE_MS = 200.0  # age at which a profile is worked out again
DRAINING_MS = 5_000.0  # an upstream that drains is left alone this long


@attrs.define
class Decisions:
    """Hold what one look at the queues decided."""

    placed: list[Ticket] = attrs.field(factory=list)
    refused: list[Refusal] = attrs.field(factory=list)


class Scheduler:
    """Queue, admit and place the requests of one host."""

    def __init__(self, policy: Policy, seed: int) -> None:
        """Begin with no engines; seed 0 draws from the system's entropy.

        Hosts of the same seed would make the same choices at once.
        """
        self.policy = policy
        self.hosts = 1  # live ones, this one included
        self.wall_offset_ms = 0.0  # from the time passed in to wall time
        self.lengths = LengthEstimates()
        self.prefixes = PrefixLengths()
        self._pools: dict[str, Pool] = {}
        self._random = Random(seed or None)
        self._retries = RetryBudget()
        self._made_room: list[Refusal] = []
        self._picks: dict[str, Pick] = {
            "balsamlift": pick_best,
            "round_robin": round_robin(),
            "least_load": pick_least,
        }

    def set_engines(self, pool: str, engines: Iterable[Engine]) -> None:
        """Replace the engines in use; those known keep their state."""
        self._pool(pool).set_engines(engines)

    def engines(self, pool: str) -> list[Engine]:
        """Return the engines in use of a pool."""
        return list(self._pool(pool).engines.values())

    def report(
        self, pool: str, name: str, report: LoadReport, now_ms: float
    ) -> None:
        """Take in what an engine reports of its load."""
        engine = self._pool(pool).engines.get(name)
        if engine is not None:
            self._refresh(engine, now_ms)
            engine.take_report(report)

    def cache_event(
        self, pool: str, name: str, prefix: str, *, stored: bool
    ) -> None:
        """Take in that an engine stored or evicted a prefix."""
        engine = self._pool(pool).engines.get(name)
        if engine is None:
            return
        if stored:
            engine.remember_prefix(prefix)
        else:
            engine.forget_prefix(prefix)

    def expected_tokens(self, pool: str, name: str, now_ms: float) -> int:
        """Return what peers are told: memory that ours will take there.

        For a plain service it is the number of requests.
        """
        engine = self._pool(pool).engines.get(name)
        if engine is None:
            return 0
        if not engine.counts_memory:
            return len(engine.tickets)
        self._refresh(engine, now_ms)
        return int(engine.profile.peak)

    def enqueue(self, ask: Ask, now_ms: float) -> Ticket:
        """Queue a request.

        Raises `RefusedError` when it cannot make its deadline, or when
        the queue is full and its workspace has its share of it.
        """
        pool = self._pool(ask.pool)
        self.prefixes.observe(ask.prefix, ask.prompt_tokens)
        ticket = Ticket(ask, now_ms, self._cost(ask))
        pool.check(ticket, self.policy)
        room = pool.make_room(ticket, self.policy)
        if room is not None:
            self._made_room.append(room)
        pool.queue(ask.priority).push(ticket)
        self._retries.earn(self.policy.retry_ratio)
        return ticket

    def decide(self, now_ms: float) -> Decisions:
        """Place what fits, refuse what cannot make it any more."""
        decisions = Decisions(refused=self._made_room)
        self._made_room = []
        for pool in self._pools.values():
            pool.rate.tick(now_ms, pool.waiting() > 0)
            place = partial(self._place, pool, frozenset(), now_ms)
            for queue in pool.by_priority():
                placed = queue.drain(place)
                pool.rate.admitted(sum(ticket.cost for ticket in placed))
                decisions.placed += placed
            decisions.refused += pool.overdue(self.policy, now_ms)
        return decisions

    def withdraw(self, ticket: Ticket) -> None:
        """Take a ticket out of the queue."""
        ask = ticket.ask
        self._pool(ask.pool).queue(ask.priority).remove(ticket)

    def choose(
        self, ticket: Ticket, exclude: frozenset[str], now_ms: float
    ) -> str:
        """Return the upstream reserved, or reserve one not excluded.

        Raises `RefusedError` when there is none.
        """
        pool = self._pool(ticket.ask.pool)
        if ticket.upstream in pool.engines and ticket.upstream not in exclude:
            return ticket.upstream
        self.released(ticket)
        if not self._place(pool, exclude, now_ms, ticket):
            wait_ms = pool.rate.wait_ms(ticket.cost)
            raise RefusedError(
                "no_upstream", retry_after_ms(wait_ms, 0.0, wait_ms)
            )
        return ticket.upstream

    def started(self, ticket: Ticket) -> None:
        """Note that the generation runs."""
        ticket.started = True
        engine = self._engine_of(ticket)
        if engine is not None:
            engine.remember_prefix(ticket.ask.prefix)

    def progress(
        self, ticket: Ticket, tokens: int, gap_ms: float, now_ms: float
    ) -> None:
        """Note tokens that arrived, and the gap before them."""
        ticket.tokens += tokens
        engine = self._engine_of(ticket)
        if engine is not None and gap_ms > 0:
            engine.observe_gap(gap_ms, now_ms)

    def refused(
        self, ticket: Ticket, reason: str, retry_ms: float, now_ms: float
    ) -> None:
        """Note that the upstream said that the work did not run."""
        engine = self._engine_of(ticket)
        self.released(ticket)
        if engine is not None:
            away_ms = DRAINING_MS if reason == "draining" else retry_ms
            engine.close(now_ms + away_ms)

    def released(self, ticket: Ticket) -> None:
        """Give back the place that a ticket holds."""
        engine = self._engine_of(ticket)
        ticket.upstream = ""
        if engine is not None:
            engine.tickets.pop(ticket.ask.key, None)
            engine.profile_ms = -1e9

    def finished(self, ticket: Ticket, tokens: int) -> None:
        """Learn from a whole answer and give back its place."""
        self.released(ticket)
        ask = ticket.ask
        if tokens > 0:
            self.lengths.observe(ask.workspace, ask.kind, tokens)

    def may_retry(self) -> bool:
        """Take one retry from the budget, if there is one."""
        return self._retries.spend()

    def tick(self, now_ms: float) -> None:
        """Adapt the limits, eject slow engines; some times a second."""
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
        return self._pool(ticket.ask.pool).engines.get(ticket.upstream)

    def _points(self, ask: Ask) -> list[int]:
        return self.lengths.points(ask.workspace, ask.kind, ask.max_tokens)

    def _cost(self, ask: Ask) -> float:
        rest = expected_rest(self._points(ask), 0)
        return ask.prompt_tokens + min(rest, ask.max_tokens)

    def _profile(self, ticket: Ticket) -> Profile:
        ask = ticket.ask
        own_tokens = ask.prompt_tokens - self.prefixes.shared_tokens(
            ask.prefix
        )
        return generation_profile(
            max(own_tokens, 0), ticket.tokens, self._points(ask)
        )

    def _refresh(self, engine: Engine, now_ms: float) -> None:
        if now_ms - engine.profile_ms < PROFILE_MS:
            return
        engine.profile_ms = now_ms
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
        add = self._profile(ticket)
        moment = self._moment(pool, now_ms)
        pick = self._picks[self.policy.name]
        engine = pick(usable, ticket.ask, add, moment)
        if engine is None:
            return False
        ticket.upstream = engine.name
        ticket.tokens = 0
        engine.tickets[ticket.ask.key] = ticket
        engine.profile = engine.profile.plus(add)
        return True

    def _moment(self, pool: Pool, now_ms: float) -> Moment:
        return Moment(
            policy=self.policy,
            hosts=self.hosts,
            now_ms=now_ms,
            random=self._random,
            turn=turn_at(pool.ring, self.policy, now_ms + self.wall_offset_ms),
            refresh=lambda engine: self._refresh(engine, now_ms),
        )
