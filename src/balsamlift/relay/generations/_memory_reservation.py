"""A reservation of engine memory."""

from __future__ import annotations

from collections.abc import Callable

from balsamlift.peers import Upstream
from balsamlift.relay._balance import Balancer


class MemoryReservation:
    """A reservation of one engine's memory for one generation."""

    def __init__(
        self,
        balancer: Balancer,
        upstream: Upstream,
        tokens: int,
        key: Callable[[str], str] = str,
        on_release: Callable[[], None] | None = None,
        *,
        is_run: bool = False,
    ) -> None:
        """Reserve the memory, counted under the key `key(upstream)`.

        With `is_run`, the generation also takes a place at the engine.
        """
        self._is_run = is_run
        self._on_release = on_release
        self._balancer = balancer
        self._key = key
        self.upstream = upstream
        self.tokens = tokens
        self.expected_wait_ms: float | None = 0.0  # as it began to wait
        self._count_run(1)
        balancer.add(key(upstream.name), tokens)
        balancer.publish()

    def move(self, upstream: Upstream) -> None:
        """Reserve the same amount on another engine instead."""
        before = self.upstream
        self._count_run(-1)
        self.upstream = upstream
        self._count_run(1)
        self._balancer.add(self._key(upstream.name), self.tokens)
        self._balancer.add(self._key(before.name), -self.tokens)
        self._balancer.publish()

    def replace_by(self, other: MemoryReservation) -> None:
        """Release this memory and hold that of another reservation."""
        self.release()
        self.upstream, self.tokens = other.upstream, other.tokens
        self._on_release = other._on_release
        self._is_run = other._is_run
        other.tokens = 0

    def release(self) -> None:
        """Release the memory; further calls have no effect."""
        tokens, self.tokens = self.tokens, 0
        if tokens:
            self._count_run(-1)
            if self._on_release is not None:
                self._on_release()
            self._balancer.add(self._key(self.upstream.name), -tokens)
            self._balancer.publish()

    def _count_run(self, n: int) -> None:
        if self._is_run:
            pools = self._balancer.brittle_pools
            pools.count_generation(self.upstream.name, n)
