"""A queue shared fairly between workspaces by deficit round robin."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator

from balsamlift.placement._request import Ticket

QUANTUM = 256.0  # tokens per round and unit of weight


class FairQueue:
    """Queue the tickets of one pool and priority.

    Each workspace has its own FIFO queue.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._deficits: dict[str, float] = {}
        self._costs: dict[str, float] = {}  # of all queued tickets, in tokens

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return sum(len(tickets) for tickets in self._waiting.values())

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the queued tickets, workspace by workspace."""
        for tickets in list(self._waiting.values()):
            yield from list(tickets)

    def by_workspace(self) -> list[list[Ticket]]:
        """Return the queued tickets of each workspace, oldest first."""
        return [list(tickets) for tickets in self._waiting.values()]

    def count(self, workspace: str) -> int:
        """Return the number of queued tickets of a workspace."""
        return len(self._waiting.get(workspace, ()))

    def tokens_before(self, workspace: str, ahead: float) -> float:
        """Return the tokens served before the next ticket of a workspace.

        `ahead` are the tokens queued before it in its own workspace. Each
        other workspace is served in proportion to its weight until its
        backlog is empty.
        """
        tickets = self._waiting.get(workspace)
        own = tickets[0].request.weight if tickets else 1.0
        total = ahead
        for name, other in self._waiting.items():
            if name != workspace:
                served = (ahead + QUANTUM) * other[0].request.weight / own
                total += min(served, self.cost(name))
        return total

    def weighted_count(self, workspace: str) -> float:
        """Return the queued tickets of a workspace per unit of weight."""
        tickets = self._waiting.get(workspace)
        return len(tickets) / tickets[0].request.weight if tickets else 0.0

    def most_backlogged(self) -> str:
        """Return the workspace with the largest backlog for its weight."""
        return max(self._waiting, key=self.weighted_count, default="")

    def cost(self, workspace: str) -> float:
        """Return the expected tokens of a workspace's queued tickets."""
        return self._costs.get(workspace, 0.0)

    def push(self, ticket: Ticket) -> None:
        """Append a ticket to the queue of its workspace."""
        name = ticket.request.workspace
        self._waiting.setdefault(name, deque()).append(ticket)
        self._deficits.setdefault(name, 0.0)
        self._costs[name] = self._costs.get(name, 0.0) + ticket.cost

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it was queued."""
        name = ticket.request.workspace
        tickets = self._waiting.get(name)
        if tickets is None or ticket not in tickets:
            return False
        tickets.remove(ticket)
        self._update_after_removal(ticket)
        return True

    def newest(self, workspace: str) -> Ticket:
        """Return the ticket that a workspace queued last."""
        return self._waiting[workspace][-1]

    def drain(self, place: Callable[[Ticket], bool]) -> list[Ticket]:
        """Remove tickets in fair order while `place` accepts them.

        A ticket that does not fit blocks the ones behind it; otherwise
        large requests would starve.
        """
        placed: list[Ticket] = []
        while self._waiting:
            ticket = self._next()
            if not place(ticket):
                break
            name = ticket.request.workspace
            self._waiting[name].popleft()
            self._deficits[name] -= ticket.cost
            self._update_after_removal(ticket)
            placed.append(ticket)
        return placed

    def _next(self) -> Ticket:
        while True:
            name, tickets = next(iter(self._waiting.items()))
            if self._deficits[name] >= tickets[0].cost:
                return tickets[0]
            self._deficits[name] += QUANTUM * tickets[0].request.weight
            self._waiting.move_to_end(name)

    def _update_after_removal(self, ticket: Ticket) -> None:
        name = ticket.request.workspace
        self._costs[name] -= ticket.cost
        if not self._waiting[name]:
            del self._waiting[name]
            del self._deficits[name]
            del self._costs[name]
