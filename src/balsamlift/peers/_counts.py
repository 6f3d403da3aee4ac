"""In-flight counts per upstream: this host's, and the peers' with sums."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

# A change by less than this fraction (1/16) of the sent count is not sent.
MIN_CHANGE_DIVISOR = 16


def under_prefix(counts: Mapping[str, int], prefix: str) -> dict[str, int]:
    """Return the counts whose keys begin with a prefix."""
    return {key: n for key, n in counts.items() if key.startswith(prefix)}


class OwnCounts:
    """Hold this host's counts, and the order in which they changed."""

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self.change = 0
        self._exact: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._changes: dict[str, int] = {}  # by upstream, oldest first

    def set(self, upstream: str, n: int) -> None:
        """Set the count of an upstream."""
        if n:
            self._exact[upstream] = n
        else:
            self._exact.pop(upstream, None)
        sent = self._sent.get(upstream, 0)
        if n == sent or (n and abs(n - sent) * MIN_CHANGE_DIVISOR < sent):
            return
        self.change += 1
        self._sent[upstream] = n
        self._changes.pop(upstream, None)
        self._changes[upstream] = self.change

    def full(self) -> dict[str, int]:
        """Return every exact count that is not zero."""
        return dict(self._exact)

    def changed_since(self, change: int) -> dict[str, int]:
        """Return the counts that changed after that change number."""
        changed = {}
        for upstream, number in reversed(self._changes.items()):
            if number <= change:
                break
            changed[upstream] = self._sent[upstream]
        return changed

    def drop_sent_zeros(self, change: int) -> None:
        """Drop zeros up to that change, which every link has sent."""
        for upstream, number in list(self._changes.items()):
            if number > change:
                break
            if self._sent[upstream] == 0:
                del self._changes[upstream]
                del self._sent[upstream]


class PeerCounts:
    """Hold the counts of each peer and their sums."""

    def __init__(self) -> None:
        """Start with no peer."""
        self._by_host: dict[str, dict[str, int]] = {}
        self._sums: Counter[str] = Counter()

    def update(self, host: str, counts: dict[str, int], *, full: bool) -> None:
        """Apply counts that a peer sent: all of them, or changes only."""
        if full:
            self.drop(host)
        known = self._by_host.setdefault(host, {})
        for upstream, n in counts.items():
            self._add(upstream, n - known.pop(upstream, 0))
            if n:
                known[upstream] = n

    def drop(self, host: str) -> None:
        """Drop the counts of a peer."""
        for upstream, n in self._by_host.pop(host, {}).items():
            self._add(upstream, -n)

    def host_count(self) -> int:
        """Return the number of peers whose counts are known."""
        return len(self._by_host)

    def total(self, upstream: str) -> int:
        """Return the sum over all peers."""
        return self._sums.get(upstream, 0)

    def totals_under(self, prefix: str) -> dict[str, int]:
        """Return the sums over all peers whose keys begin with a prefix."""
        return under_prefix(self._sums, prefix)

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
