"""The memory that groups of requests wait for and hold, over all hosts.

A group is the requests of one workspace and priority in one pool.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from urllib.parse import quote

from balsamlift.placement import WaitingGroup
from balsamlift.relay._balance import Balancer

Group = tuple[int, str]  # priority and workspace

# Groups of a kind that a host publishes for one pool; the rest are added up
# under an empty workspace.
MAX_GROUPS = 32


def waiting_key(pool: str) -> str:
    """Return the key that counts the tokens wanted by waiting requests."""
    return f"{quote(pool, safe='')}/waiting"


def held_key(pool: str) -> str:
    """Return the prefix of the keys that count reserved tokens."""
    return f"{quote(pool, safe='')}/held"


class GroupCounts:
    """Publish the counts of this host's groups, and read the others'."""

    def __init__(
        self, balancer: Balancer, weight_of: Callable[[str], float]
    ) -> None:
        """Exchange counts through `balancer`.

        `weight_of` returns the weight of a workspace.
        """
        self._balancer = balancer
        self._weight_of = weight_of
        self._held: dict[str, Counter[Group]] = {}
        self._published: dict[str, Counter[str]] = {}  # by pool

    def hold(self, pool: str, group: Group, tokens: int) -> None:
        """Add tokens, which may be negative, to those that a group holds."""
        held = self._held.setdefault(pool, Counter())
        held[group] += tokens
        if not held[group]:
            del held[group]
        if not held:
            del self._held[pool]

    def others_wait(self, pool: str) -> bool:
        """Return whether requests wait at other hosts, as far as known."""
        if self._balancer.counts_basis not in ("heard", "gathered"):
            return False
        own = self._published.get(pool, Counter())
        key = waiting_key(pool)
        return self._balancer.load(key) > own[key]

    def waiting_elsewhere(self, pool: str) -> list[WaitingGroup]:
        """Return the groups that wait at other hosts."""
        if not self.others_wait(pool):
            return []
        waiting = self._others(waiting_key(pool))
        held = self.held(pool)
        return [
            self.describe(group, tokens, held)
            for group, tokens in waiting.items()
        ]

    def describe(
        self,
        group: Group,
        waiting_tokens: int,
        held: Mapping[Group, int],
    ) -> WaitingGroup:
        """Return a group with its weight and the tokens it holds."""
        priority, workspace = group
        return WaitingGroup(
            priority=priority,
            workspace=workspace,
            weight=self._weight_of(workspace),
            waiting_tokens=waiting_tokens,
            held_tokens=held.get(group, 0),
        )

    def held(self, pool: str) -> Counter[Group]:
        """Return the tokens held by each group, over all hosts."""
        return self._others(held_key(pool)) + self._held.get(pool, Counter())

    def publish(self, waiting: Mapping[str, Mapping[Group, int]]) -> None:
        """Publish what waits here, by pool, and what is held if any waits.

        A group that is new is sent at once, the rest with the next counts.
        """
        is_new = False
        for pool in {*waiting, *self._held, *self._published}:
            counts = self._counts_of(pool, waiting.get(pool, {}))
            before = self._published.get(pool, Counter())
            is_new = is_new or not counts.keys() <= before.keys()
            for key in {*counts, *before}:
                change = counts[key] - before[key]
                if change:
                    self._balancer.add(key, change)
            self._published[pool] = counts
            if not counts:
                del self._published[pool]
        if is_new:
            self._balancer.publish()

    def _counts_of(
        self, pool: str, waiting: Mapping[Group, int]
    ) -> Counter[str]:
        """Return the counts to publish for a pool, by key."""
        counts: Counter[str] = Counter()
        if waiting:
            counts[waiting_key(pool)] = sum(waiting.values())
            counts.update(_by_key(waiting_key(pool), waiting))
        if waiting or self.others_wait(pool):
            counts.update(_by_key(held_key(pool), self._held.get(pool, {})))
        return counts

    def _others(self, prefix: str) -> Counter[Group]:
        """Return the counts of other hosts under a prefix, by group."""
        counts: Counter[Group] = Counter()
        for key, n in self._balancer.other_counts(f"{prefix}/").items():
            priority, slash, workspace = key[len(prefix) + 1 :].partition("/")
            if slash and priority.isdecimal() and n > 0:
                counts[int(priority), workspace] += n
        return counts


def _by_key(prefix: str, tokens: Mapping[Group, int]) -> Counter[str]:
    """Return the tokens of the largest groups, and of the rest together."""
    counts: Counter[str] = Counter()
    for position, ((priority, workspace), n) in enumerate(
        Counter(tokens).most_common()
    ):
        name = workspace if position < MAX_GROUPS else ""
        counts[f"{prefix}/{priority}/{name}"] += n
    return counts
