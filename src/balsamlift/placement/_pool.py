"""The engines and the queues of one pool, as one host sees them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from balsamlift.exceptions import RefusedError
from balsamlift.placement._ask import Ticket
from balsamlift.placement._engine import Engine
from balsamlift.placement._policy import Policy
from balsamlift.placement._queue import FairQueue
from balsamlift.placement._turns import ring_of
from balsamlift.placement._waiting import ServiceRate, retry_after_ms


@attrs.frozen
class Refusal:
    """Name a queued ticket that cannot be served in time."""

    ticket: Ticket
    error: RefusedError


@attrs.define
class Pool:
    """Keep the engines and the queues of one pool."""

    engines: dict[str, Engine] = attrs.field(factory=dict)
    ring: list[str] = attrs.field(factory=list)  # in the order of turns
    queues: dict[int, FairQueue] = attrs.field(factory=dict)
    rate: ServiceRate = attrs.field(factory=ServiceRate)

    def set_engines(self, engines: Iterable[Engine]) -> None:
        """Replace the engines in use; those known keep their state."""
        known = self.engines
        self.engines = {e.name: known.get(e.name, e) for e in engines}
        self.ring = ring_of(self.engines)

    def queue(self, priority: int) -> FairQueue:
        """Return the queue of a priority."""
        return self.queues.setdefault(priority, FairQueue())

    def by_priority(self) -> Iterator[FairQueue]:
        """Go over the queues, the most urgent first."""
        for priority in sorted(self.queues):
            yield self.queues[priority]

    def waiting(self) -> int:
        """Return how many wait."""
        return sum(len(queue) for queue in self.queues.values())

    def least_gap_ms(self) -> float:
        """Return the gap to expect at the fastest engine."""
        gaps = (e.expected_gap_ms() for e in self.engines.values())
        return min(gaps, default=0.0)

    def wait_ms(self, ticket: Ticket) -> float:
        """Return how long a new ticket would wait."""
        ask = ticket.ask
        queue = self.queue(ask.priority)
        own = queue.tokens_before(ask.workspace, queue.cost(ask.workspace))
        return self.rate.wait_ms(self._urgent_cost(ask.priority) + own)

    def check(self, ticket: Ticket, policy: Policy) -> None:
        """Raise `RefusedError` when a new ticket cannot be in time."""
        wait_ms = self.wait_ms(ticket)
        bound_ms = _bound_ms(ticket, policy, self.least_gap_ms())
        if bound_ms <= 0 or wait_ms > bound_ms:
            raise self._late(ticket, wait_ms, bound_ms)

    def make_room(self, ticket: Ticket, policy: Policy) -> Refusal | None:
        """Refuse one of the workspace with most waiting for its weight.

        The least urgent queue gives way first. Raises `RefusedError`
        when that is the ticket's own workspace, or more urgent.
        """
        if self.waiting() < policy.queue_requests:
            return None
        queue = self._least_urgent()
        most = queue.most_waiting()
        ask = ticket.ask
        own = self.queue(ask.priority)
        if queue is own:
            least = (own.count(ask.workspace) + 1) / ask.weight
            if most == ask.workspace or queue.load(most) <= least:
                raise self._full(ticket)
        newest = queue.newest_of(most) if most else None
        if newest is None or newest.ask.priority < ask.priority:
            raise self._full(ticket)
        error = self._full(newest)
        queue.remove(newest)
        return Refusal(newest, error)

    def _least_urgent(self) -> FairQueue:
        """Return the last queue that holds any."""
        levels = sorted(self.queues, reverse=True)
        held = [self.queues[level] for level in levels if self.queues[level]]
        return held[0] if held else FairQueue()

    def overdue(self, policy: Policy, now_ms: float) -> list[Refusal]:
        """Take out the tickets that the queues ahead make late."""
        refusals: list[Refusal] = []
        gap_ms = self.least_gap_ms()
        urgent = 0.0
        for queue in self.by_priority():
            kept = 0.0
            for line in queue.lines():
                name = line[0].ask.workspace
                ahead = 0.0
                for ticket in line:
                    before = queue.tokens_before(name, ahead)
                    wait_ms = self.rate.wait_ms(urgent + before)
                    bound_ms = _bound_ms(ticket, policy, gap_ms)
                    if now_ms - ticket.arrived_ms + wait_ms > bound_ms:
                        error = self._late(ticket, wait_ms, bound_ms)
                        refusals.append(Refusal(ticket, error))
                    else:
                        ahead += ticket.cost
                kept += ahead
            urgent += kept
        for refusal in refusals:
            self.queue(refusal.ticket.ask.priority).remove(refusal.ticket)
        return refusals

    def _urgent_cost(self, priority: int) -> float:
        return sum(
            ticket.cost
            for level, queue in self.queues.items()
            for ticket in queue
            if level < priority
        )

    def _own_ms(self, ticket: Ticket) -> float:
        return self.rate.wait_ms(ticket.cost)

    def _late(
        self, ticket: Ticket, wait_ms: float, bound_ms: float
    ) -> RefusedError:
        own_ms = self._own_ms(ticket)
        return RefusedError(
            "deadline", retry_after_ms(wait_ms, bound_ms, own_ms)
        )

    def _full(self, ticket: Ticket) -> RefusedError:
        wait_ms = self.wait_ms(ticket)
        own_ms = self._own_ms(ticket)
        return RefusedError("queue_full", retry_after_ms(wait_ms, 0.0, own_ms))


def _bound_ms(ticket: Ticket, policy: Policy, gap_ms: float) -> float:
    """Return how long a ticket can wait and still be in time."""
    ask = ticket.ask
    answer_ms = (ticket.cost - ask.prompt_tokens) * gap_ms
    return min(float(policy.queue_wait_ms), ask.deadline_ms - answer_ms)
