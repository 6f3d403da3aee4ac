"""This host's part in the lease on orders.

No clock is compared between hosts. The holder counts its term from before
it began to append, the others from after they read the record; so at most
one host counts itself the holder. `models.order_lease` checks this.
"""

from __future__ import annotations

from balsamlift.clock import Clock
from balsamlift.presets import LeaseInForce

MS_PER_S = 1_000


class LeaseView:
    """Follow the lease in force and count its term."""

    def __init__(self, holder: str, clock: Clock) -> None:
        """`holder` names this incarnation of this host."""
        self.holder = holder
        self._clock = clock
        self._lease: LeaseInForce | None = None
        self._held_until_s = 0.0
        self._free_at_s = 0.0
        # When appends began, by the offset that each was to replace. The
        # first counts: it may be the one that took effect.
        self._began_s: dict[int, float] = {}

    @property
    def offset(self) -> int:
        """Return the offset of the lease in force, the fencing number."""
        return self._lease.offset if self._lease else 0

    @property
    def left_s(self) -> float:
        """Return for how long this host still holds the lease; 0: not."""
        return max(0.0, self._held_until_s - self._clock.monotonic())

    @property
    def free_in_s(self) -> float:
        """Return how long another's lease is to be respected yet."""
        return max(0.0, self._free_at_s - self._clock.monotonic())

    def begin_append(self) -> int:
        """Note that an append begins now; return the offset to replace."""
        now_s = self._clock.monotonic()
        self._began_s.setdefault(self.offset, now_s)
        return self.offset

    def observe(self, lease: LeaseInForce | None) -> None:
        """Take in the lease in force, as just read from the fold."""
        if lease is None or lease.offset <= self.offset:
            return
        self._lease = lease
        began_s = [
            began_s
            for replaced, began_s in self._began_s.items()
            if replaced < lease.offset
        ]
        # With another lease in force, appends that name an older one are
        # void.
        self._began_s.clear()
        term_s = lease.term_ms / MS_PER_S
        if lease.holder == self.holder and began_s:
            self._held_until_s = min(began_s) + term_s
            self._free_at_s = 0.0
        else:
            self._held_until_s = 0.0
            self._free_at_s = self._clock.monotonic() + term_s
