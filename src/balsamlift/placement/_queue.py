"""Share a queue between workspaces by deficit round robin."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator

from balsamlift.placement._ask import Ticket

QUANTUM = 256.0  # tokens added per round and unit of weight


class FairQueue:
    """Queue tickets of one pool and priority."""

    def __init__(self) -> None:
        """Begin empty."""
        self._waiting: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._deficits: dict[str, float] = {}
        self._costs: dict[str, float] = {}  # of all that wait

    def __len__(self) -> int:
        """Return how many wait."""
        return sum(len(line) for line in self._waiting.values())

    def __iter__(self) -> Iterator[Ticket]:
        """Go over all that wait, workspace by workspace."""
        for line in list(self._waiting.values()):
            yield from list(line)

    def lines(self) -> list[list[Ticket]]:
        """Return the tickets of each workspace in order."""
        return [list(line) for line in self._waiting.values()]

    def count(self, workspace: str) -> int:
        """Return how many of one workspace wait."""
        return len(self._waiting.get(workspace, ()))

    def tokens_before(self, workspace: str, ahead: float) -> float:
        """Return the tokens served before the next of a workspace.

        `ahead` are its own; each other workspace is served in
        proportion to its weight until it has nothing left.
        """
        line = self._waiting.get(workspace)
        own = line[0].ask.weight if line else 1.0
        total = ahead
        for name, other in self._waiting.items():
            if name != workspace:
                served = (ahead + QUANTUM) * other[0].ask.weight / own
                total += min(served, self.cost(name))
        return total

    def load(self, workspace: str) -> float:
        """Return how many of a workspace wait, per unit of weight."""
        line = self._waiting.get(workspace)
        return len(line) / line[0].ask.weight if line else 0.0

    def most_waiting(self) -> str:
        """Return the workspace with most waiting for its weight."""
        return max(self._waiting, key=self.load, default="")

    def cost(self, workspace: str) -> float:
        """Return the tokens expected of what a workspace has waiting."""
        return self._costs.get(workspace, 0.0)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket at the end of its workspace's line."""
        name = ticket.ask.workspace
        self._waiting.setdefault(name, deque()).append(ticket)
        self._deficits.setdefault(name, 0.0)
        self._costs[name] = self._costs.get(name, 0.0) + ticket.cost

    def remove(self, ticket: Ticket) -> bool:
        """Take out one ticket; return whether it waited."""
        name = ticket.ask.workspace
        line = self._waiting.get(name)
        if line is None or ticket not in line:
            return False
        line.remove(ticket)
        self._took(ticket)
        return True

    def newest_of(self, workspace: str) -> Ticket:
        """Return the ticket that a workspace added last."""
        return self._waiting[workspace][-1]

    def drain(self, place: Callable[[Ticket], bool]) -> list[Ticket]:
        """Take out tickets in fair order while `place` accepts them.

        The head that does not fit blocks the others, lest the large
        ones starve.
        """
        placed: list[Ticket] = []
        while self._waiting:
            ticket = self._next()
            if not place(ticket):
                break
            name = ticket.ask.workspace
            self._waiting[name].popleft()
            self._deficits[name] -= ticket.cost
            self._took(ticket)
            placed.append(ticket)
        return placed

    def _next(self) -> Ticket:
        while True:
            name, line = next(iter(self._waiting.items()))
            if self._deficits[name] >= line[0].cost:
                return line[0]
            self._deficits[name] += QUANTUM * line[0].ask.weight
            self._waiting.move_to_end(name)

    def _took(self, ticket: Ticket) -> None:
        name = ticket.ask.workspace
        self._costs[name] -= ticket.cost
        if not self._waiting[name]:
            del self._waiting[name]
            del self._deficits[name]
            del self._costs[name]
