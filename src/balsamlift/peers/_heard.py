"""What peers told this host themselves."""

from __future__ import annotations

import attrs

from balsamlift.clock import Clock
from balsamlift.peers._messages import PeerMessage


@attrs.define
class Heard:
    """Hold the latest that one incarnation of a peer told us itself."""

    incarnation: str
    seq: int = 0
    at_s: float = 0.0
    offset: int = 0
    caught_up: bool = False
    chose_us: bool = False
    missed: bool = False  # until a message that tells all has come
    wants_list: bool = False

    def take(self, message: PeerMessage, now_s: float) -> None:
        """Take in a message of this incarnation."""
        if message.previous_seq == 0:
            self.missed = False
        elif message.previous_seq != self.seq:
            self.missed = True
        self.seq = message.seq
        self.at_s = now_s
        self.offset = message.offset
        self.caught_up = message.caught_up
        self.chose_us = message.chosen
        shared = message.shared
        self.wants_list = shared is not None and shared.wants_list


class HeardPeers:
    """Hold what each peer told last."""

    def __init__(self, clock: Clock, silence_s: float) -> None:
        """Begin with nobody heard; `silence_s` bounds what counts as now."""
        self._clock = clock
        self._silence_s = silence_s
        self._heard: dict[str, Heard] = {}

    def find(self, host: str) -> Heard | None:
        """Return what a peer told last."""
        return self._heard.get(host)

    def find_incarnation(self, host: str, incarnation: str) -> Heard | None:
        """Return what that incarnation of a peer told last."""
        heard = self._heard.get(host)
        if heard is None or heard.incarnation != incarnation:
            return None
        return heard

    def hears(self, host: str, incarnation: str) -> bool:
        """Tell whether that incarnation of a peer was heard just now."""
        heard = self.find_incarnation(host, incarnation)
        return heard is not None and self._is_recent(heard)

    def lacks_list(self, host: str) -> bool:
        """Tell whether a peer said last that it cannot read the list."""
        heard = self._heard.get(host)
        return heard is not None and heard.wants_list

    def askers(self) -> set[str]:
        """Return the peers that chose this host and were heard just now."""
        return {
            host
            for host, heard in self._heard.items()
            if heard.chose_us and self._is_recent(heard)
        }

    def take(self, message: PeerMessage) -> bool:
        """Take in a message and tell whether it is not outdated."""
        heard = self.find_incarnation(message.host, message.incarnation)
        if heard is None:
            heard = Heard(message.incarnation)
            self._heard[message.host] = heard
        elif message.seq <= heard.seq:
            return False
        heard.take(message, self._clock.monotonic())
        return True

    def miss(self, host: str) -> None:
        """Have a peer tell all again."""
        heard = self._heard.get(host)
        if heard is not None:
            heard.missed = True

    def forget(self, host: str) -> None:
        """Drop what a peer told."""
        self._heard.pop(host, None)

    def _is_recent(self, heard: Heard) -> bool:
        return self._clock.monotonic() - heard.at_s <= self._silence_s
