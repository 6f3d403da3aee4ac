"""One host's view of the lease on orders.

Clocks of different hosts are never compared. The holder measures its term
from before it started to append, the others from after they read the
record; so at most one host considers itself the holder.
`models.order_lease` checks this.
"""

from __future__ import annotations

from balsamlift.clock import Clock
from balsamlift.presets import LeaseInForce

MS_PER_S = 1_000


class LeaseView:
    """Track the lease in force and its remaining term."""

    def __init__(self, holder: str, clock: Clock) -> None:
        """Start without a lease; `holder` names this host's incarnation."""
        self.holder = holder
        self._clock = clock
        self._lease: LeaseInForce | None = None
        self._held_until_s = 0.0
        self._free_at_s = 0.0
        # Start times of appends, by the offset of the lease to replace. Only
        # the first per offset is kept: it may be the one that took effect.
        self._append_started_s: dict[int, float] = {}

    @property
    def offset(self) -> int:
        """Return the offset of the lease in force: the fencing number."""
        return self._lease.offset if self._lease else 0

    @property
    def remaining_s(self) -> float:
        """Return how long this host still holds the lease, or 0."""
        return max(0.0, self._held_until_s - self._clock.monotonic())

    @property
    def free_in_s(self) -> float:
        """Return how long another host's lease still has to be respected."""
        return max(0.0, self._free_at_s - self._clock.monotonic())

    def begin_append(self) -> int:
        """Record that an append starts; return the offset to replace."""
        now_s = self._clock.monotonic()
        self._append_started_s.setdefault(self.offset, now_s)
        return self.offset

    def observe(self, lease: LeaseInForce | None) -> None:
        """Update from the lease in force, as just read from the fold."""
        if lease is None or lease.offset <= self.offset:
            return
        self._lease = lease
        started_s = [
            started_s
            for replaced_offset, started_s in self._append_started_s.items()
            if replaced_offset < lease.offset
        ]
        # With a new lease in force, appends that are to replace an older
        # one have no effect.
        self._append_started_s.clear()
        term_s = lease.term_ms / MS_PER_S
        if lease.holder == self.holder and started_s:
            self._held_until_s = min(started_s) + term_s
            self._free_at_s = 0.0
        else:
            self._held_until_s = 0.0
            self._free_at_s = self._clock.monotonic() + term_s
