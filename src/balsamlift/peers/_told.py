"""What hosts tell each other of upstreams that leave or are dead."""

from __future__ import annotations

from collections.abc import Callable

from balsamlift.clock import Clock
from balsamlift.peers._messages import UpstreamNote
from balsamlift.peers._notes import Notes, new_note
from balsamlift.peers._upstream import Upstream
from balsamlift.peers._upstreams import PEER_SOURCE, Upstreams


class ToldUpstreams:
    """Turn marks on upstreams into notes for peers, and back."""

    def __init__(self, notes: Notes, clock: Clock) -> None:
        """Keep what is told in `notes`."""
        self._notes = notes
        self._clock = clock

    def start(self, upstreams: Upstreams, wake: Callable[[], None]) -> None:
        """Watch `upstreams`; `wake` sends on every link at once."""
        self._upstreams = upstreams
        self._wake = wake
        upstreams.on_mark(self.tell)
        upstreams.on_change(self._apply)

    def tell(self, upstream: Upstream) -> None:
        """Tell peers at once of the state of an upstream."""
        now_s = self._clock.monotonic()
        if self._notes.add(new_note(upstream), now_s, is_own=True):
            self._wake()

    def take(self, notes: list[UpstreamNote]) -> None:
        """Take in what a peer tells, and pass news on."""
        now_s = self._clock.monotonic()
        news = [note for note in notes if self._notes.add(note, now_s)]
        if news:
            self._apply()
            self._wake()

    def _apply(self) -> None:
        for note in self._notes.to_apply(self._find_address):
            self._upstreams.mark(note.name, note.state, PEER_SOURCE)

    def _find_address(self, name: str) -> str:
        upstream = self._upstreams.find(name)
        return upstream.address if upstream else ""
