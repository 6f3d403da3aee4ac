"""Track the failure domains that operators have evacuated."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from loguru import logger

from balsamlift.peers._integers import Integer
from balsamlift.peers._positions import StorePosition

log = logger.bind(part="upstreams")


class EvacuationSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Hold the failure domains evacuated as of one position in the topic."""

    end: Integer  # offset after the last operators' record considered
    domains: list[str]
    era: Integer = 0  # of the store that assigned `end`

    @property
    def position(self) -> StorePosition:
        """Return the position after the last record considered."""
        return StorePosition(self.era, self.end)


class Evacuations:
    """Keep the newest snapshot of the evacuated failure domains.

    These get no new work. Snapshots arrive from the store and from other
    hosts, in any order: one is applied only if it covers more of the
    operators' records than the last.
    """

    def __init__(self) -> None:
        """Start without a snapshot, and with nothing evacuated."""
        self._snapshot: EvacuationSnapshot | None = None
        self._domains: frozenset[str] = frozenset()
        self._on_change: list[Callable[[], None]] = []

    @property
    def snapshot(self) -> EvacuationSnapshot | None:
        """Return the snapshot to send to other hosts, or None."""
        return self._snapshot

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated failure domains."""
        return self._domains

    def covers(self, failure_domain: str) -> bool:
        """Return whether a failure domain is evacuated."""
        return failure_domain in self._domains

    def offer(
        self,
        snapshot: EvacuationSnapshot,
        source: str,
        age_ms: int | None = None,
    ) -> bool:
        """Apply a snapshot if it is newer; return whether that changes any.

        `age_ms` is the time since it matched the content of the store, if
        known.
        """
        if (
            self._snapshot is not None
            and snapshot.position <= self._snapshot.position
        ):
            return False
        self._snapshot = snapshot
        before, self._domains = self._domains, frozenset(snapshot.domains)
        if before == self._domains:
            return False
        log.bind(
            evacuated=sorted(self._domains),
            evacuated_before=sorted(before),
            offset=snapshot.end,
            era=snapshot.era,
            source=source,
            age_ms=age_ms,
        ).info("evacuations changed")
        for callback in self._on_change:
            callback()
        return True

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the evacuated domains."""
        self._on_change.append(callback)
