"""Table of the upstreams on the list, with their states."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from balsamlift.clock import Clock
from balsamlift.peers._evacuations import Evacuations
from balsamlift.peers._hosts_list import ListEntry
from balsamlift.peers._incarnations import take_latest
from balsamlift.peers._known_upstream import KnownUpstream, find_usable
from balsamlift.peers._leaving_notices import LeavingNotices
from balsamlift.peers._upstream import (
    Upstream,
    build_upstream,
    incarnation_name,
)
from balsamlift.settings import PoolSettings


@attrs.frozen
class ListChanges:
    """What a reading of the list changes in the table."""

    has_new: bool  # incarnations
    changed: list[KnownUpstream]
    replaced: set[str]  # incarnations that a restart has ended


class UpstreamTable:
    """Hold the known upstreams by the name of their incarnation."""

    def __init__(
        self,
        pools: Mapping[str, PoolSettings],
        evacuations: Evacuations,
        leaving_notices: LeavingNotices,
        clock: Clock,
    ) -> None:
        """Start with no upstream."""
        self._pools = pools
        self._evacuations = evacuations
        self._leaving_notices = leaving_notices
        self._clock = clock
        self._known: dict[str, KnownUpstream] = {}
        self._usable: dict[str, list[Upstream]] = {}  # by pool, a cache

    def all(self) -> list[KnownUpstream]:
        """Return all upstreams, in any state."""
        return list(self._known.values())

    def find(self, name: str) -> KnownUpstream | None:
        """Return the upstream of that name, or None."""
        return self._known.get(name)

    def find_written(self, name: str) -> int | None:
        """Return the latest update of an upstream's entry, or None.

        It counts from the start of the upstream.
        """
        known = self._known.get(name)
        return known.written if known else None

    def in_pool(self, pool: str) -> list[Upstream]:
        """Return the upstreams of a pool that may take new work."""
        usable = self._usable.get(pool)
        if usable is None:
            usable = find_usable(self._members(pool))
            self._usable[pool] = usable
        return list(usable)

    def evacuated(self, pool: str) -> list[Upstream]:
        """Return the upstreams that only evacuations keep from new work."""
        return [
            known.upstream
            for known in self._members(pool)
            if known.upstream.is_evacuated and known.upstream.state == "live"
        ]

    def leaving_by_notice(self, pool: str) -> list[Upstream]:
        """Return the upstreams of a pool that have given notice."""
        return [
            known.upstream
            for known in self._members(pool)
            if known.has_given_notice
        ]

    def last_resorts(self, pool: str, max_age_s: float) -> list[Upstream]:
        """Return the upstreams that only a recent notice keeps from work."""
        return [
            known.upstream
            for known in self._members(pool)
            if known.is_last_resort(max_age_s)
        ]

    def refresh(self, known: KnownUpstream) -> bool:
        """Recompute the state of an upstream; return whether it changed."""
        self._usable.pop(known.listed.pool, None)
        return known.refresh()

    def refresh_all(self) -> None:
        """Recompute the states of all upstreams."""
        for known in self._known.values():
            self.refresh(known)

    def build(self, entries: Iterable[ListEntry]) -> list[Upstream]:
        """Return the upstreams among the entries of a list."""
        built = [build_upstream(entry, self._pools) for entry in entries]
        return [upstream for upstream in built if upstream is not None]

    def apply(self, listed: Iterable[Upstream]) -> ListChanges:
        """Apply the latest incarnations of a list."""
        known = [known.listed for known in self._known.values()]
        latest = take_latest(listed, known)
        has_new = False
        changed = []
        for upstream in latest:
            before = self._known.get(upstream.name)
            if before is None or before.listed.address != upstream.address:
                has_new = True
                self._add(upstream)
            elif before.listed != upstream:
                before.listed = upstream
                changed.append(before)
        ids = {upstream.id for upstream in latest}
        names = {upstream.name for upstream in latest}
        replaced = {
            u.name for u in known if u.id in ids and u.name not in names
        }
        return ListChanges(has_new, changed, replaced)

    def record_renewals(self, entries: Iterable[ListEntry]) -> set[str]:
        """Return the upstreams that have written their entries again.

        Until when they are cold counts from now.
        """
        now_s = self._clock.monotonic()
        renewed = set()
        names = {incarnation_name(entry): entry for entry in entries}
        for name in self._known.keys() & names.keys():
            known, entry = self._known[name], names[name]
            if known.written == entry.written:
                continue
            known.written = entry.written
            known.cold_until_s = now_s + entry.cold_ms / 1_000
            self.refresh(known)
            renewed.add(name)
        return renewed

    def missing_from(self, listed: Iterable[Upstream]) -> set[str]:
        """Return the names of upstreams that a list does not have."""
        ids = {upstream.id for upstream in listed}
        return {
            name
            for name, known in self._known.items()
            if known.listed.id not in ids
        }

    def remove(self, names: Iterable[str]) -> list[Upstream]:
        """Remove incarnations, and return those that were there."""
        removed = self._known.keys() & set(names)
        return [self._pop(name) for name in removed]

    def _add(self, upstream: Upstream) -> None:
        self._usable.pop(upstream.pool, None)
        self._known[upstream.name] = KnownUpstream(
            upstream, self._evacuations, self._leaving_notices
        )

    def _pop(self, name: str) -> Upstream:
        listed = self._known.pop(name).listed  # with its observations
        self._usable.pop(listed.pool, None)
        return listed

    def _members(self, pool: str) -> list[KnownUpstream]:
        return [
            known
            for known in self._known.values()
            if known.listed.pool == pool
        ]
