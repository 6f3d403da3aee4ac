"""In-flight counts per upstream: our own, and the sum of the peers'."""

from __future__ import annotations

from collections import Counter

GRAIN = 16  # a change by less than this part of a count is not told


class OwnCounts:
    """Hold this host's counts and the order of their changes."""

    def __init__(self) -> None:
        """Begin with nothing in flight."""
        self.change = 0
        self._exact: dict[str, int] = {}
        self._told: dict[str, int] = {}
        self._changes: dict[str, int] = {}  # by upstream, oldest first

    def set(self, upstream: str, n: int) -> None:
        """Set one count."""
        if n:
            self._exact[upstream] = n
        else:
            self._exact.pop(upstream, None)
        told = self._told.get(upstream, 0)
        if n == told or (n and abs(n - told) * GRAIN < told):
            return
        self.change += 1
        self._told[upstream] = n
        self._changes.pop(upstream, None)
        self._changes[upstream] = self.change

    def full(self) -> dict[str, int]:
        """Return every count that is not zero."""
        return dict(self._exact)

    def changed_since(self, change: int) -> dict[str, int]:
        """Return the counts that changed after that number."""
        changed = {}
        for upstream, number in reversed(self._changes.items()):
            if number <= change:
                break
            changed[upstream] = self._told[upstream]
        return changed

    def drop_told(self, change: int) -> None:
        """Forget zeros that every link has told, up to that number."""
        for upstream, number in list(self._changes.items()):
            if number > change:
                break
            if self._told[upstream] == 0:
                del self._changes[upstream]
                del self._told[upstream]


class PeerCounts:
    """Hold the counts of each peer and their sums."""

    def __init__(self) -> None:
        """Begin with no peer."""
        self._by_host: dict[str, dict[str, int]] = {}
        self._sums: Counter[str] = Counter()

    def take(self, host: str, counts: dict[str, int], *, full: bool) -> None:
        """Take in the counts that a peer told."""
        if full:
            self.drop(host)
        known = self._by_host.setdefault(host, {})
        for upstream, n in counts.items():
            self._add(upstream, n - known.pop(upstream, 0))
            if n:
                known[upstream] = n

    def drop(self, host: str) -> None:
        """Forget the counts of a peer."""
        for upstream, n in self._by_host.pop(host, {}).items():
            self._add(upstream, -n)

    def hosts(self) -> int:
        """Return the number of peers whose counts are known."""
        return len(self._by_host)

    def total(self, upstream: str) -> int:
        """Return the sum over all peers."""
        return self._sums.get(upstream, 0)

    def sums_without(self, host: str) -> dict[str, int]:
        """Return the sums over all peers but one, without zeros."""
        own = self._by_host.get(host, {})
        return {
            upstream: n - own.get(upstream, 0)
            for upstream, n in self._sums.items()
            if n != own.get(upstream, 0)
        }

    def _add(self, upstream: str, n: int) -> None:
        self._sums[upstream] += n
        if not self._sums[upstream]:
            del self._sums[upstream]
