"""Shared prefix cache of an engine: reference counted, LRU eviction."""

from __future__ import annotations

from collections import OrderedDict
from typing import Literal

import attrs


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Report that a prefix was stored or evicted; `seq` starts at 0."""

    seq: int
    kind: Literal["stored", "evicted"]
    prefix: str


@attrs.define
class _Entry:
    references: int = 0
    computed: bool = False


class PrefixCache:
    """Cache prefixes of equal size; the empty name means no prefix."""

    def __init__(self, blocks_per_prefix: int) -> None:
        """Start empty."""
        self._blocks_per_prefix = blocks_per_prefix
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._seq = 0

    @property
    def blocks(self) -> int:
        """Return the number of blocks that all prefixes use."""
        return len(self._entries) * self._blocks_per_prefix

    def acquire(self, name: str) -> None:
        """Protect a prefix from eviction, adding it if it is missing."""
        if not name:
            return
        entry = self._entries.setdefault(name, _Entry())
        entry.references += 1
        self._entries.move_to_end(name)

    def release(self, name: str) -> None:
        """Undo one `acquire`; drop an unreferenced prefix never computed."""
        if not name:
            return
        entry = self._entries[name]
        entry.references -= 1
        if not entry.references and not entry.computed:
            del self._entries[name]

    def is_computed(self, name: str) -> bool:
        """Return whether the prefix is computed."""
        entry = self._entries.get(name)
        return entry is not None and entry.computed

    def mark_computed(self, name: str) -> None:
        """Mark a referenced prefix as computed."""
        entry = self._entries.get(name)
        if entry is not None and not entry.computed:
            entry.computed = True
            self._record_event("stored", name)

    def computed_names(self) -> list[str]:
        """Return the computed prefixes, least recently used first."""
        return [name for name, e in self._entries.items() if e.computed]

    def evict(self) -> bool:
        """Drop the least recently used prefix without references.

        Return false if every prefix is referenced.
        """
        for name, entry in self._entries.items():
            if not entry.references:
                del self._entries[name]
                self._record_event("evicted", name)
                return True
        return False

    def take_events(self) -> list[CacheEvent]:
        """Return the events since the last call."""
        events = self._events
        self._events = []
        return events

    def _record_event(
        self, kind: Literal["stored", "evicted"], name: str
    ) -> None:
        event = CacheEvent(seq=self._seq, kind=kind, prefix=name)
        self._events.append(event)
        self._seq += 1
