"""The memory that groups of requests wait for and hold, over all hosts.

A group is the requests of one workspace and priority in one scope.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from urllib.parse import quote

from balsamlift._numbers import parse_count
from balsamlift.placement import WaitingGroup
from balsamlift.relay._balance import Balancer
from balsamlift.relay._scope import Scope
from balsamlift.relay.generations._memory_request import Group, MemoryRequest

# Groups of a kind that a host publishes for one scope; the rest are added up
# under an empty workspace.
MAX_GROUPS = 32


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
        self._held: dict[Scope, Counter[Group]] = {}
        self._published: dict[Scope, Counter[str]] = {}

    def scopes(self) -> set[Scope]:
        """Return the scopes in which requests wait or hold memory here."""
        return {*self._held, *self._published}

    def hold(self, scope: Scope, group: Group, tokens: int) -> None:
        """Add tokens, which may be negative, to those that a group holds."""
        held = self._held.setdefault(scope, Counter())
        held[group] += tokens
        if not held[group]:
            del held[group]
        if not held:
            del self._held[scope]

    def others_wait(self, scope: Scope) -> bool:
        """Return whether requests wait at other hosts, as far as known."""
        if self._balancer.counts_basis not in ("heard", "gathered"):
            return False
        own = self._published.get(scope, Counter())
        key = _key(scope, "waiting")
        return self._balancer.load(key) > own[key]

    def waiting_elsewhere(self, scope: Scope) -> list[WaitingGroup]:
        """Return the groups that wait at other hosts."""
        if not self.others_wait(scope):
            return []
        waiting = self._others(_key(scope, "waiting"))
        requests = self._others(_key(scope, "requests"))
        held = self.held(scope)
        return [
            WaitingGroup(
                priority=group[0],
                workspace=group[1],
                weight=self._weight_of(group[1]),
                waiting_tokens=tokens,
                request_tokens=max(tokens // max(requests[group], 1), 1),
                held_tokens=held[group],
            )
            for group, tokens in waiting.items()
        ]

    def held(self, scope: Scope) -> Counter[Group]:
        """Return the tokens held by each group, over all hosts."""
        return self._others(_key(scope, "held")) + self._held.get(
            scope, Counter()
        )

    def publish(
        self, waiting: Mapping[Scope, Sequence[MemoryRequest]]
    ) -> None:
        """Publish what waits here, and what is held if any waits.

        A group that is new is sent at once, the rest with the next counts.
        """
        is_new = False
        for scope in {*waiting, *self._held, *self._published}:
            counts = self._counts_of(scope, waiting.get(scope, ()))
            before = self._published.get(scope, Counter())
            is_new = is_new or not counts.keys() <= before.keys()
            for key in {*counts, *before}:
                change = counts[key] - before[key]
                if change:
                    self._balancer.add(key, change)
            self._published[scope] = counts
            if not counts:
                del self._published[scope]
        if is_new:
            self._balancer.publish()

    def _counts_of(
        self, scope: Scope, waiting: Sequence[MemoryRequest]
    ) -> Counter[str]:
        """Return the counts to publish for a scope, by key."""
        counts: Counter[str] = Counter()
        if waiting:
            tokens: Counter[Group] = Counter()
            for request in waiting:
                tokens[request.group] += request.tokens
            requests = Counter(request.group for request in waiting)
            counts[_key(scope, "waiting")] = sum(tokens.values())
            counts.update(_by_key(_key(scope, "waiting"), tokens))
            counts.update(_by_key(_key(scope, "requests"), requests))
        if waiting or self.others_wait(scope):
            counts.update(
                _by_key(_key(scope, "held"), self._held.get(scope, {}))
            )
        return counts

    def _others(self, prefix: str) -> Counter[Group]:
        """Return the counts of other hosts under a prefix, by group."""
        counts: Counter[Group] = Counter()
        for key, n in self._balancer.other_counts(f"{prefix}/").items():
            priority, slash, workspace = key[len(prefix) + 1 :].partition("/")
            rank = parse_count(priority)
            if slash and rank is not None and n > 0:
                counts[rank, workspace] += n
        return counts


def _key(scope: Scope, counted: str) -> str:
    """Return the key, or the prefix of the keys, of what is counted.

    Only the separators contain slashes, whatever the names.
    """
    name = quote(scope.pool, safe="")
    if scope.regions is not None:
        regions = (quote(region, safe="") for region in scope.regions)
        name += "@" + ",".join(sorted(regions))
    return f"{name}/{counted}"


def _by_key(prefix: str, tokens: Mapping[Group, int]) -> Counter[str]:
    """Return the tokens of the largest groups, and of the rest together."""
    counts: Counter[str] = Counter()
    for position, ((priority, workspace), n) in enumerate(
        Counter(tokens).most_common()
    ):
        name = workspace if position < MAX_GROUPS else ""
        counts[f"{prefix}/{priority}/{name}"] += n
    return counts
