"""The load of upstreams: what this host has there, and what others have."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from loguru import logger

from balsamlift.peers import CountsBasis, Peers

log = logger.bind(part="relay")


class SharedLoad:
    """Count the load of this host, and add that of the others."""

    def __init__(self, peers: Peers) -> None:
        """Exchange counts with other hosts through `peers`."""
        self._peers = peers
        self._own_counts: Counter[str] = Counter()
        self._on_release: list[Callable[[], None]] = []

    def load(self, upstream: str) -> int:
        """Return the load of all hosts together on this upstream."""
        return self._own_counts[upstream] + self._peers.in_flight(upstream)

    def other_counts(self, prefix: str) -> dict[str, int]:
        """Return the counts of all other hosts whose keys begin so."""
        return self._peers.counts_under(prefix)

    @property
    def receives_pushed_counts(self) -> bool:
        """Return whether other hosts push their counts as they change."""
        return self._peers.is_full_mesh

    @property
    def counts_basis(self) -> CountsBasis:
        """Return how the other hosts' part of a load was obtained."""
        return self._peers.counts_basis

    def own_load(self, upstream: str) -> int:
        """Return the load of this host on an upstream."""
        return self._own_counts[upstream]

    def add(self, upstream: str, n: int) -> None:
        """Add `n`, which may be negative, to the load of this host."""
        self._own_counts[upstream] += n
        self._peers.set_in_flight(upstream, self._own_counts[upstream])
        if n < 0:
            self._notify_release()

    def _notify_release(self) -> None:
        for callback in self._on_release:
            try:
                callback()
            except Exception:
                # The call that released its load has ended well.
                log.exception("could not use released load")

    def share_value(self, key: str, value: int) -> None:
        """Set a value that other hosts get as a sum; it is no load."""
        self._own_counts[key] = value
        self._peers.set_in_flight(key, value)

    def publish(self) -> None:
        """Publish the counts of this host to the other hosts at once.

        Until they receive them, they may fill the same engine.
        """
        self._peers.send_counts()

    async def refresh(self) -> None:
        """Fetch the current counts of other hosts if they are not pushed."""
        await self._peers.refresh_counts()

    @contextmanager
    def count_in_flight(self, upstream: str, n: int) -> Iterator[None]:
        """Count `n` as in flight while the context is open."""
        self.add(upstream, n)
        try:
            yield
        finally:
            self.add(upstream, -n)

    def on_release(self, callback: Callable[[], None]) -> None:
        """Register a callback for every decrease of this host's load."""
        self._on_release.append(callback)

    def prune_counts(self) -> None:
        """Forget the upstreams on which this host has no load."""
        for name in [n for n, count in self._own_counts.items() if not count]:
            del self._own_counts[name]
