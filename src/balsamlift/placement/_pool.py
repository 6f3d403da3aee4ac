"""The engines and the queues of one pool, as one host sees them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from balsamlift.exceptions import RefusedError
from balsamlift.placement._engine import Engine
from balsamlift.placement._policy import Policy
from balsamlift.placement._queue import FairQueue
from balsamlift.placement._request import Ticket
from balsamlift.placement._short_turns import rotation_order
from balsamlift.placement._wait_estimate import ServiceRate, retry_after_ms


@attrs.frozen
class Refusal:
    """Pair a ticket removed from the queue with the error to raise."""

    ticket: Ticket
    error: RefusedError


@attrs.define
class Pool:
    """Hold the engines and the queues of one pool."""

    engines: dict[str, Engine] = attrs.field(factory=dict)
    rotation: list[str] = attrs.field(factory=list)  # for short turns
    queues: dict[int, FairQueue[Ticket]] = attrs.field(factory=dict)
    rate: ServiceRate = attrs.field(factory=ServiceRate)

    def set_engines(self, engines: Iterable[Engine]) -> None:
        """Replace the engines; those already known keep their state."""
        known = self.engines
        self.engines = {e.name: known.get(e.name, e) for e in engines}
        self.rotation = rotation_order(self.engines)

    def queue(self, priority: int) -> FairQueue[Ticket]:
        """Return the queue of a priority, creating it if needed."""
        return self.queues.setdefault(priority, FairQueue())

    def by_priority(self) -> Iterator[FairQueue[Ticket]]:
        """Iterate over the queues, highest priority first."""
        for priority in sorted(self.queues):
            yield self.queues[priority]

    def waiting_count(self) -> int:
        """Return the number of queued tickets."""
        return sum(len(queue) for queue in self.queues.values())

    def min_gap_ms(self) -> float:
        """Return the expected gap between tokens of the fastest engine."""
        gaps = (e.expected_gap_ms() for e in self.engines.values())
        return min(gaps, default=0.0)

    def wait_ms(self, ticket: Ticket) -> float:
        """Return the estimated wait of a new ticket."""
        request = ticket.request
        queue = self.queue(request.priority)
        own_tokens = queue.tokens_before(
            request.workspace, queue.cost(request.workspace)
        )
        return self.rate.wait_ms(
            self._higher_priority_cost(request.priority) + own_tokens
        )

    def check_deadline(self, ticket: Ticket, policy: Policy) -> None:
        """Raise `RefusedError` if a new ticket would miss its deadline."""
        wait_ms = self.wait_ms(ticket)
        max_wait_ms = _max_wait_ms(ticket, policy, self.min_gap_ms())
        if max_wait_ms <= 0 or wait_ms > max_wait_ms:
            raise self._deadline_error(ticket, wait_ms, max_wait_ms)

    def make_room(self, ticket: Ticket, policy: Policy) -> Refusal | None:
        """Remove a queued ticket if the queue is full.

        Takes the newest ticket of the workspace with the largest backlog
        for its weight, from the non-empty queue of lowest priority. Raises
        `RefusedError` for the new ticket if its own workspace would have
        the largest backlog, or if it has a lower priority itself.
        """
        if self.waiting_count() < policy.queue_requests:
            return None
        queue = self._lowest_priority_queue()
        largest = queue.most_backlogged()
        request = ticket.request
        own_queue = self.queue(request.priority)
        if queue is own_queue:
            own_weighted_count = (
                own_queue.count(request.workspace) + 1
            ) / request.weight
            if (
                largest == request.workspace
                or queue.weighted_count(largest) <= own_weighted_count
            ):
                raise self._queue_full_error(ticket)
        newest = queue.newest(largest) if largest else None
        if newest is None or newest.request.priority < request.priority:
            raise self._queue_full_error(ticket)
        error = self._queue_full_error(newest)
        queue.remove(newest)
        return Refusal(newest, error)

    def _lowest_priority_queue(self) -> FairQueue[Ticket]:
        """Return the non-empty queue of the lowest priority."""
        levels = sorted(self.queues, reverse=True)
        non_empty = [
            self.queues[level] for level in levels if self.queues[level]
        ]
        return non_empty[0] if non_empty else FairQueue()

    def remove_overdue(self, policy: Policy, now_ms: float) -> list[Refusal]:
        """Remove and return the tickets that would miss their deadline."""
        refusals: list[Refusal] = []
        gap_ms = self.min_gap_ms()
        higher_priority_tokens = 0.0
        for queue in self.by_priority():
            kept_tokens = 0.0
            for tickets in queue.by_workspace():
                name = tickets[0].request.workspace
                tokens_ahead = 0.0
                for ticket in tickets:
                    tokens_before_ticket = queue.tokens_before(
                        name, tokens_ahead
                    )
                    wait_ms = self.rate.wait_ms(
                        higher_priority_tokens + tokens_before_ticket
                    )
                    max_wait_ms = _max_wait_ms(ticket, policy, gap_ms)
                    if now_ms - ticket.arrived_ms + wait_ms > max_wait_ms:
                        error = self._deadline_error(
                            ticket, wait_ms, max_wait_ms
                        )
                        refusals.append(Refusal(ticket, error))
                    else:
                        tokens_ahead += ticket.cost
                kept_tokens += tokens_ahead
            higher_priority_tokens += kept_tokens
        for refusal in refusals:
            self.queue(refusal.ticket.request.priority).remove(refusal.ticket)
        return refusals

    def _higher_priority_cost(self, priority: int) -> float:
        return sum(
            ticket.cost
            for level, queue in self.queues.items()
            for ticket in queue
            if level < priority
        )

    def _service_time_ms(self, ticket: Ticket) -> float:
        return self.rate.wait_ms(ticket.cost)

    def _deadline_error(
        self, ticket: Ticket, wait_ms: float, max_wait_ms: float
    ) -> RefusedError:
        service_time_ms = self._service_time_ms(ticket)
        return RefusedError(
            "deadline", retry_after_ms(wait_ms, max_wait_ms, service_time_ms)
        )

    def _queue_full_error(self, ticket: Ticket) -> RefusedError:
        wait_ms = self.wait_ms(ticket)
        service_time_ms = self._service_time_ms(ticket)
        return RefusedError(
            "queue_full", retry_after_ms(wait_ms, 0.0, service_time_ms)
        )


def _max_wait_ms(ticket: Ticket, policy: Policy, gap_ms: float) -> float:
    """Return how long a ticket can wait and still meet its deadline."""
    request = ticket.request
    answer_ms = (ticket.cost - request.prompt_tokens) * gap_ms
    return min(float(policy.queue_wait_ms), request.deadline_ms - answer_ms)
