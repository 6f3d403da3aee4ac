"""The prefix cache of an engine: shared, reference counted, LRU."""

from __future__ import annotations

from collections import OrderedDict
from typing import Literal

import attrs


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Tell that a prefix was stored or evicted; `seq` counts from 0."""

    seq: int
    kind: Literal["stored", "evicted"]
    prefix: str


@attrs.define
class _Entry:
    holders: int = 0
    ready: bool = False


class PrefixCache:
    """Keep prefixes of one size; the empty name stands for none."""

    def __init__(self, blocks_per_prefix: int) -> None:
        """Begin empty."""
        self._blocks_per_prefix = blocks_per_prefix
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._seq = 0

    @property
    def blocks(self) -> int:
        """Return the blocks taken by all prefixes."""
        return len(self._entries) * self._blocks_per_prefix

    def hold(self, name: str) -> None:
        """Keep a prefix from eviction, adding it when it is missing."""
        if not name:
            return
        entry = self._entries.setdefault(name, _Entry())
        entry.holders += 1
        self._entries.move_to_end(name)

    def release(self, name: str) -> None:
        """Undo one `hold`; a prefix never computed goes at once."""
        if not name:
            return
        entry = self._entries[name]
        entry.holders -= 1
        if not entry.holders and not entry.ready:
            del self._entries[name]

    def is_ready(self, name: str) -> bool:
        """Tell whether the prefix is computed."""
        entry = self._entries.get(name)
        return entry is not None and entry.ready

    def mark_ready(self, name: str) -> None:
        """Note that a held prefix is computed."""
        entry = self._entries.get(name)
        if entry is not None and not entry.ready:
            entry.ready = True
            self._tell("stored", name)

    def ready_names(self) -> list[str]:
        """Return the computed prefixes, least recently used first."""
        return [name for name, e in self._entries.items() if e.ready]

    def evict(self) -> bool:
        """Drop the least recently used free prefix, if there is one."""
        for name, entry in self._entries.items():
            if not entry.holders:
                del self._entries[name]
                self._tell("evicted", name)
                return True
        return False

    def take_events(self) -> list[CacheEvent]:
        """Return the events since the last call."""
        events = self._events
        self._events = []
        return events

    def _tell(self, kind: Literal["stored", "evicted"], name: str) -> None:
        event = CacheEvent(seq=self._seq, kind=kind, prefix=name)
        self._events.append(event)
        self._seq += 1
