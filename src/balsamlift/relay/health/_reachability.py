"""Tell a host that is cut off from a pool from upstreams that fail."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Literal

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream

log = logger.bind(part="upstreams")

# Different upstreams of a pool that must fail, without a sign of any of the
# pool in between. The failure of one is more likely its own.
UNREACHED_UPSTREAMS = 2

Failure = Literal[
    "no connection",
    "connection refused",
    "kept connection broken",
    "new connection broken",
    "kept connection silent",
    "new connection silent",
]
# An upstream that is busy may be silent too, or close what it has accepted.
UNCERTAIN: tuple[Failure, ...] = (
    "new connection broken",
    "kept connection silent",
    "new connection silent",
)


@attrs.define
class _PoolState:
    """What this host knows of its links to one pool."""

    contact_s: float | None = None  # latest sign of any of its upstreams
    failed: dict[str, Failure] = attrs.field(factory=dict)  # since then
    unreached_since_s: float | None = None
    failures: int = 0  # since `unreached_since_s`
    is_suspected: bool = False  # though none of it has failed


class Reachability:
    """Track the pools of which this host reaches no upstream at all.

    Any sign of an upstream counts: an open connection or the head of any
    response.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Start with all pools reached."""
        self._clock = clock
        self._metrics = metrics
        self._pools: dict[str, _PoolState] = {}
        self._on_change: list[Callable[[str], None]] = []
        self._on_suspicion: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Call back with a pool that is not reached any more, or is again."""
        self._on_change.append(callback)

    def on_suspicion(self, callback: Callable[[], None]) -> None:
        """Call back when an upstream fails, perhaps by this host's link."""
        self._on_suspicion.append(callback)

    def unreached_pools(self) -> list[str]:
        """Return the pools of which no upstream is reached."""
        return sorted(
            pool
            for pool, state in self._pools.items()
            if state.unreached_since_s is not None
        )

    def is_unreached(self, pool: str) -> bool:
        """Return whether no upstream of a pool is reached."""
        state = self._pools.get(pool)
        return state is not None and state.unreached_since_s is not None

    def refuses_only_new(self, pool: str) -> bool:
        """Return whether open connections to a pool may live on."""
        state = self._pools.get(pool)
        if state is None:
            return True
        return set(state.failed.values()) == {"connection refused"}

    def suspect_others(self, pool: str) -> None:
        """Suspect all other pools, as this host does not reach one."""
        for name, state in self._pools.items():
            if name != pool and state.unreached_since_s is None:
                state.is_suspected = True
        self._suspect()

    def suspected_pools(self) -> list[str]:
        """Return the pools that are not reached, or perhaps are not."""
        return [
            pool
            for pool, state in self._pools.items()
            if state.failed
            or state.is_suspected
            or state.unreached_since_s is not None
        ]

    def record_contact(self, upstream: Upstream) -> None:
        """Record a sign of an upstream."""
        state = self._pools.setdefault(upstream.pool, _PoolState())
        state.contact_s = self._clock.monotonic()
        state.failed.clear()
        state.is_suspected = False
        if state.unreached_since_s is None:
            return
        unreached_s = state.contact_s - state.unreached_since_s
        state.unreached_since_s = None
        log.bind(
            pool=upstream.pool,
            upstream=upstream.name,
            unreached_ms=round(unreached_s * 1_000),
            failures=state.failures,
        ).warning("pool reached again")
        self._publish(upstream.pool)

    def record_failure(self, upstream: Upstream, failure: Failure) -> None:
        """Record that an upstream gave no sign; it may be this host's link."""
        self._metrics.count(f"relay.failed.{failure.replace(' ', '_')}")
        state = self._pools.setdefault(upstream.pool, _PoolState())
        is_first = not state.failed
        state.failed[upstream.name] = failure
        state.failures += 1
        if is_first:
            self._suspect()
        if state.unreached_since_s is not None:
            return
        certain = [f for f in state.failed.values() if f not in UNCERTAIN]
        if len(certain) < UNREACHED_UPSTREAMS:
            return
        now_s = self._clock.monotonic()
        state.unreached_since_s = now_s
        state.failures = len(state.failed)
        log.bind(
            pool=upstream.pool,
            failed=dict(state.failed),
            contact_age_ms=_age_ms(state.contact_s, now_s),
        ).warning("no upstream of a pool reached")
        self._publish(upstream.pool)

    def discard(self, live: Iterable[Upstream]) -> None:
        """Discard the failures of upstreams that are not in `live`."""
        names = {upstream.name for upstream in live}
        for state in self._pools.values():
            for name in state.failed.keys() - names:
                del state.failed[name]

    def _suspect(self) -> None:
        for callback in self._on_suspicion:
            callback()

    def _publish(self, pool: str) -> None:
        self._metrics.gauge(
            "relay.pools_not_reached", len(self.unreached_pools())
        )
        for callback in self._on_change:
            callback(pool)


def _age_ms(since_s: float | None, now_s: float) -> int | None:
    return None if since_s is None else round((now_s - since_s) * 1_000)
