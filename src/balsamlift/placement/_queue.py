"""A queue shared fairly between workspaces by deficit round robin."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Generic, Protocol, TypeVar

QUANTUM = 256.0  # tokens per round and unit of weight


class QueuedItem(Protocol):
    """An item that a `FairQueue` can hold."""

    @property
    def workspace(self) -> str:
        """Return the workspace that it is charged to."""

    @property
    def weight(self) -> float:
        """Return the weight of its workspace."""

    @property
    def cost(self) -> float:
        """Return what it costs its workspace, in tokens."""


Item = TypeVar("Item", bound=QueuedItem)


class FairQueue(Generic[Item]):
    """Queue the items of one pool and priority.

    Each workspace has its own FIFO queue.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: OrderedDict[str, deque[Item]] = OrderedDict()
        self._deficits: dict[str, float] = {}
        self._costs: dict[str, float] = {}  # of all queued items, in tokens

    def __len__(self) -> int:
        """Return the number of queued items."""
        return sum(len(items) for items in self._waiting.values())

    def __iter__(self) -> Iterator[Item]:
        """Iterate over the queued items, workspace by workspace."""
        for items in list(self._waiting.values()):
            yield from list(items)

    def by_workspace(self) -> list[list[Item]]:
        """Return the queued items of each workspace, oldest first."""
        return [list(items) for items in self._waiting.values()]

    def count(self, workspace: str) -> int:
        """Return the number of queued items of a workspace."""
        return len(self._waiting.get(workspace, ()))

    def tokens_before(self, workspace: str, ahead: float) -> float:
        """Return the tokens served before the next item of a workspace.

        `ahead` are the tokens queued before it in its own workspace. Each
        other workspace is served in proportion to its weight until its
        backlog is empty.
        """
        items = self._waiting.get(workspace)
        own_weight = items[0].weight if items else 1.0
        per_weight = (ahead + QUANTUM) / own_weight
        return ahead + served_to_others(
            {
                name: (other[0].weight, self.cost(name))
                for name, other in self._waiting.items()
                if name != workspace
            },
            per_weight,
        )

    def weighted_count(self, workspace: str) -> float:
        """Return the queued items of a workspace per unit of weight."""
        items = self._waiting.get(workspace)
        return len(items) / items[0].weight if items else 0.0

    def most_backlogged(self) -> str:
        """Return the workspace with the largest backlog for its weight."""
        return max(self._waiting, key=self.weighted_count, default="")

    def cost(self, workspace: str) -> float:
        """Return the expected tokens of a workspace's queued items."""
        return self._costs.get(workspace, 0.0)

    def push(self, item: Item) -> None:
        """Append an item to the queue of its workspace."""
        name = item.workspace
        self._waiting.setdefault(name, deque()).append(item)
        self._deficits.setdefault(name, 0.0)
        self._costs[name] = self._costs.get(name, 0.0) + item.cost

    def remove(self, item: Item) -> bool:
        """Remove an item; return whether it was queued."""
        name = item.workspace
        items = self._waiting.get(name)
        if items is None or item not in items:
            return False
        items.remove(item)
        self._update_after_removal(item)
        return True

    def take(self, item: Item) -> None:
        """Remove an item that is served, and charge its workspace."""
        self._deficits[item.workspace] -= item.cost
        self.remove(item)

    def newest(self, workspace: str) -> Item:
        """Return the item that a workspace queued last."""
        return self._waiting[workspace][-1]

    def next_item(self, excluded: Collection[str] = ()) -> Item | None:
        """Return the next item in fair order, but for some workspaces.

        It stays the next one until it is taken or removed.
        """
        while True:
            name = next((n for n in self._waiting if n not in excluded), None)
            if name is None:
                return None
            head = self._waiting[name][0]
            if self._deficits[name] >= head.cost:
                return head
            self._deficits[name] += QUANTUM * head.weight
            self._waiting.move_to_end(name)

    def by_share(self) -> list[Item]:
        """Return all items, those of the least served workspaces first."""
        ranked: list[tuple[float, int, Item]] = []
        for name, items in self._waiting.items():
            due = -self._deficits[name]
            for item in items:
                due += item.cost
                ranked.append((due / item.weight, len(ranked), item))
        return [item for _, _, item in sorted(ranked, key=lambda r: r[:2])]

    def drain(self, place: Callable[[Item], bool]) -> list[Item]:
        """Remove items in fair order while `place` accepts them.

        An item that does not fit blocks the ones behind it; otherwise
        large requests would starve.
        """
        placed: list[Item] = []
        while (item := self.next_item()) is not None and place(item):
            self.take(item)
            placed.append(item)
        return placed

    def _update_after_removal(self, item: Item) -> None:
        name = item.workspace
        self._costs[name] -= item.cost
        if not self._waiting[name]:
            del self._waiting[name]
            del self._deficits[name]
            del self._costs[name]


class FairPass(Generic[Item]):
    """One pass over a queue, in which items that are not served are skipped.

    Once an item did not fit, those behind it are visited by their share: to
    skip them in rounds would give each workspace the same deficit.
    """

    def __init__(self, queue: FairQueue[Item]) -> None:
        """Start at the front of `queue`."""
        self._queue = queue
        self._excluded: set[str] = set()
        self._rest: deque[Item] | None = None  # after an item did not fit

    def head(self) -> Item | None:
        """Return the next item; None if there are no more."""
        if self._rest is None:
            return self._queue.next_item(self._excluded)
        while self._rest and self._rest[0].workspace in self._excluded:
            self._rest.popleft()
        return self._rest[0] if self._rest else None

    def take(self, item: Item) -> None:
        """Remove the head, which is served."""
        self._queue.take(item)
        self._advance()

    def drop(self, item: Item) -> None:
        """Remove the head, which is not to be served any more."""
        self._queue.remove(item)
        self._advance()

    def skip(self, item: Item) -> None:
        """Pass over the head, which did not fit."""
        if self._rest is None:
            behind = (i for i in self._queue.by_share() if i is not item)
            self._rest = deque(behind)
        else:
            self._advance()

    def skip_workspace(self, item: Item) -> None:
        """Pass over the head and all else of its workspace."""
        self._excluded.add(item.workspace)

    def _advance(self) -> None:
        if self._rest is not None:
            self._rest.popleft()


def served_to_others(
    others: Mapping[str, tuple[float, float]], per_weight: float
) -> float:
    """Return the tokens that other workspaces get by their weights.

    `others` holds the weight and the queued tokens of each.
    """
    return sum(
        min(per_weight * weight, tokens) for weight, tokens in others.values()
    )
