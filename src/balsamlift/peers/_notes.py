"""Notes on upstreams, passed on from host to host for a limited time."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import msgspec

from balsamlift.peers._messages import UpstreamNote
from balsamlift.peers._upstream import Upstream

NOTE_TTL_MS = 30_000  # longer than the platform's list lags
# A copy that lives this much longer is a new note. What the list says is
# told after each read, which must not make a new note each time.
RENEWAL_S = {"dead": 5.0, "leaving": 15.0}
MAX_NOTES = 5_000

_MS_PER_S = 1_000
_NoteKey = tuple[str, str, str]


def new_note(upstream: Upstream) -> UpstreamNote:
    """Return a note on an upstream as it is seen now."""
    return UpstreamNote(
        name=upstream.name,
        address=upstream.address,
        state=upstream.state,
        ttl_ms=NOTE_TTL_MS,
    )


@attrs.define
class _Kept:
    note: UpstreamNote
    expires_s: float
    change: int
    is_applied: bool = False


class Notes:
    """Hold the notes in circulation and the order in which they came.

    Every host lets a note expire at about the same time: passing it on
    gives the remaining time, so it cannot circulate for ever.
    """

    def __init__(self) -> None:
        """Begin with no note."""
        self.change = 0
        self._kept: dict[_NoteKey, _Kept] = {}  # oldest first

    def add(
        self, note: UpstreamNote, now_s: float, *, is_own: bool = False
    ) -> bool:
        """Keep a note and tell whether it was news."""
        if note.state not in RENEWAL_S:
            return False
        key = note.name, note.address, note.state
        expires_s = now_s + min(note.ttl_ms, NOTE_TTL_MS) / _MS_PER_S
        known = self._kept.get(key)
        if expires_s <= now_s or (
            known is not None
            and expires_s < known.expires_s + RENEWAL_S[note.state]
        ):
            return False
        self._kept.pop(key, None)
        if len(self._kept) >= MAX_NOTES:
            del self._kept[next(iter(self._kept))]
        self.change += 1
        self._kept[key] = _Kept(note, expires_s, self.change, is_own)
        return True

    def to_apply(
        self, find_address: Callable[[str], str]
    ) -> list[UpstreamNote]:
        """Return, once each, the peers' notes on known incarnations.

        `find_address` gives the address of an upstream, or nothing.
        """
        found = []
        for kept in self._kept.values():
            note = kept.note
            if not kept.is_applied and find_address(note.name) == note.address:
                kept.is_applied = True
                found.append(note)
        return found

    def changed_since(self, change: int, now_s: float) -> list[UpstreamNote]:
        """Return the notes that came after that number."""
        found = []
        for kept in reversed(self._kept.values()):
            if kept.change <= change:
                break
            ttl_ms = int((kept.expires_s - now_s) * _MS_PER_S)
            if ttl_ms > 0:
                found.append(msgspec.structs.replace(kept.note, ttl_ms=ttl_ms))
        return found

    def expire(self, now_s: float) -> None:
        """Drop the notes whose time is over."""
        for key, kept in list(self._kept.items()):
            if kept.expires_s <= now_s:
                del self._kept[key]
