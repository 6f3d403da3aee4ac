"""The order in which the requests of one pool get memory.

It answers a load of more requests than the engines have memory for, from
workspaces that send unequal amounts, of several priorities and sizes.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Hashable, Iterator
from typing import Generic, Protocol, TypeVar

import attrs

from balsamlift.placement._queue import (
    FairPass,
    FairQueue,
    QueuedItem,
    served_to_others,
)

# Share of the tokens given to more urgent requests that a less urgent
# priority earns meanwhile.
MIN_SHARE = 0.1


class WaitingItem(QueuedItem, Hashable, Protocol):
    """A request that a `WaitingLine` can hold."""

    @property
    def priority(self) -> int:
        """Return the priority; 0 is served first."""

    @property
    def scope(self) -> Hashable:
        """Return what names the engines that may serve it."""

    @property
    def in_time_until_s(self) -> float:
        """Return the time after which it is late."""


Item = TypeVar("Item", bound=WaitingItem)


class Offer(enum.Enum):
    """What became of a request that was offered memory."""

    TAKEN = enum.auto()
    NO_ROOM = enum.auto()  # no engine of its scope has enough
    YIELDED = enum.auto()  # requests of other hosts go first
    GONE = enum.auto()  # it waits no longer


@attrs.define(eq=False)
class _Level(Generic[Item]):
    """Hold the requests of one priority."""

    in_time: FairQueue[Item] = attrs.field(factory=FairQueue)
    late: FairQueue[Item] = attrs.field(factory=FairQueue)
    earned_tokens: float = 0.0  # while more urgent requests were served

    def __len__(self) -> int:
        return len(self.in_time) + len(self.late)

    def __iter__(self) -> Iterator[Item]:
        yield from self.in_time
        yield from self.late


@attrs.frozen(eq=False)
class _LevelPass(Generic[Item]):
    """Hold one pass over the requests of one priority."""

    level: _Level[Item]
    passes: tuple[FairPass[Item], FairPass[Item]]

    def head(self) -> tuple[FairPass[Item], Item] | None:
        """Return the next request, with the pass that it is head of."""
        for each in self.passes:
            item = each.head()
            if item is not None:
                return each, item
        return None


class WaitingLine(Generic[Item]):
    """Order the waiting requests of one pool on one host.

    Times are in seconds of any monotonic clock.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._levels: dict[int, _Level[Item]] = {}
        # Tokens given to requests behind one that did not fit.
        self._overtaken: dict[Item, float] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(level) for level in self._levels.values())

    def __iter__(self) -> Iterator[Item]:
        """Iterate over the waiting requests, the most urgent first."""
        for priority in sorted(self._levels):
            yield from self._levels[priority]

    def push(self, item: Item) -> None:
        """Append a request."""
        level = self._levels.setdefault(item.priority, _Level())
        level.in_time.push(item)

    def remove(self, item: Item) -> bool:
        """Remove a request; return whether it waited."""
        self._overtaken.pop(item, None)
        level = self._levels.get(item.priority)
        if level is None:
            return False
        found = level.in_time.remove(item) or level.late.remove(item)
        self._discard_empty()
        return found

    def place(
        self, offer: Callable[[Item], Offer], now_s: float
    ) -> list[Item]:
        """Offer memory in order; remove and return the requests that took it.

        A request that does not fit may be overtaken in its scope by as many
        tokens as it asks for itself.
        """
        self._move_late(now_s)
        passes = {
            priority: _LevelPass(
                level, (FairPass(level.in_time), FairPass(level.late))
            )
            for priority, level in sorted(self._levels.items())
        }
        blockers: dict[Hashable, Item] = {}  # the first one of each scope
        taken: list[Item] = []
        while (head := self._choose(passes)) is not None:
            fair_pass, item = head
            blocker = blockers.get(item.scope)
            if blocker is not None and not self._may_overtake(item, blocker):
                fair_pass.skip(item)
                continue
            result = offer(item)
            if result is Offer.TAKEN:
                fair_pass.take(item)
                taken.append(item)
                self._record_taken(item, blocker)
            elif result is Offer.GONE:
                fair_pass.drop(item)
                self._overtaken.pop(item, None)
            elif result is Offer.YIELDED:
                fair_pass.skip_workspace(item)
            else:
                blockers.setdefault(item.scope, item)
                fair_pass.skip(item)
        self._discard_empty()
        return taken

    def tokens_before(
        self,
        scope: Hashable,
        priority: int,
        workspace: str,
        weight: float,
        tokens: float,
        position: Item | None = None,
    ) -> float:
        """Return the tokens served before a request of that size.

        It is new, or waits at `position`. One that is in time goes before
        those of its priority that are late.
        """
        more_urgent = 0.0
        ahead = 0.0  # of the same workspace
        is_ahead = True
        others: dict[str, tuple[float, float]] = {}
        for item in self._competing(priority, position):
            if item is position:
                is_ahead = False
            elif item.scope != scope:
                continue
            elif item.priority < priority:
                more_urgent += item.cost
            elif item.workspace != workspace:
                _, queued = others.get(item.workspace, (0.0, 0.0))
                others[item.workspace] = (item.weight, queued + item.cost)
            elif is_ahead:
                ahead += item.cost
        per_weight = (ahead + tokens) / weight
        return more_urgent + ahead + served_to_others(others, per_weight)

    def _competing(
        self, priority: int, position: Item | None
    ) -> Iterator[Item]:
        """Iterate over the requests that may be served before one."""
        for each in sorted(self._levels):
            level = self._levels[each]
            if each < priority:
                yield from level
            elif each == priority:
                yield from level.in_time
                if position is not None and position not in level.in_time:
                    yield from level.late

    def _choose(
        self, passes: dict[int, _LevelPass[Item]]
    ) -> tuple[FairPass[Item], Item] | None:
        """Return the next request in order, with its pass."""
        first: tuple[FairPass[Item], Item] | None = None
        for level_pass in passes.values():
            head = level_pass.head()
            if head is None:
                continue
            level, cost = level_pass.level, head[1].cost
            level.earned_tokens = min(level.earned_tokens, cost)
            if level.earned_tokens >= cost:
                return head
            first = first or head
        return first

    def _may_overtake(self, item: Item, blocker: Item) -> bool:
        overtaken = self._overtaken.get(blocker, 0.0)
        return overtaken + item.cost <= blocker.cost

    def _record_taken(self, item: Item, blocker: Item | None) -> None:
        self._overtaken.pop(item, None)
        if blocker is not None:
            overtaken = self._overtaken.get(blocker, 0.0)
            self._overtaken[blocker] = overtaken + item.cost
        own = self._levels[item.priority]
        own.earned_tokens = max(own.earned_tokens - item.cost, 0.0)
        for priority, level in self._levels.items():
            if priority > item.priority:
                level.earned_tokens += item.cost * MIN_SHARE

    def _move_late(self, now_s: float) -> None:
        for level in self._levels.values():
            for item in level.in_time:
                if item.in_time_until_s <= now_s:
                    level.in_time.remove(item)
                    level.late.push(item)

    def _discard_empty(self) -> None:
        for priority, level in list(self._levels.items()):
            if not len(level):
                del self._levels[priority]
