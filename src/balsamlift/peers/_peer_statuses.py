"""The status that each peer last reported to this host directly."""

from __future__ import annotations

import attrs

from balsamlift.clock import Clock
from balsamlift.peers._messages import PeerMessage


@attrs.define
class PeerStatus:
    """Hold what one incarnation of a peer last reported directly."""

    incarnation: str
    seq: int = 0
    received_s: float = 0.0
    offset: int = 0
    caught_up: bool = False
    chose_this_host: bool = False
    needs_full_state: bool = False  # until a message with it arrives
    wants_list: bool = False

    def update(self, message: PeerMessage, now_s: float) -> None:
        """Update the status from a message of this incarnation."""
        if message.previous_seq == 0:
            self.needs_full_state = False
        elif message.previous_seq != self.seq:
            self.needs_full_state = True
        self.seq = message.seq
        self.received_s = now_s
        self.offset = message.offset
        self.caught_up = message.caught_up
        self.chose_this_host = message.chosen
        shared = message.shared
        self.wants_list = shared is not None and shared.wants_list


class PeerStatuses:
    """Hold the last directly reported status of each peer."""

    def __init__(self, clock: Clock, silence_s: float) -> None:
        """Start empty; a status is recent for `silence_s`."""
        self._clock = clock
        self._silence_s = silence_s
        self._statuses: dict[str, PeerStatus] = {}

    def find(self, host: str) -> PeerStatus | None:
        """Return the last status of a peer."""
        return self._statuses.get(host)

    def find_incarnation(
        self, host: str, incarnation: str
    ) -> PeerStatus | None:
        """Return the last status of a peer if of that incarnation."""
        status = self._statuses.get(host)
        if status is None or status.incarnation != incarnation:
            return None
        return status

    def heard_recently(self, host: str, incarnation: str) -> bool:
        """Return whether that incarnation of a peer sent recently."""
        status = self.find_incarnation(host, incarnation)
        return status is not None and self._is_recent(status)

    def lacks_list(self, host: str) -> bool:
        """Return whether a peer last reported that it cannot read the list."""
        status = self._statuses.get(host)
        return status is not None and status.wants_list

    def inbound_partners(self) -> set[str]:
        """Return the peers that chose this host and sent recently."""
        return {
            host
            for host, status in self._statuses.items()
            if status.chose_this_host and self._is_recent(status)
        }

    def update(self, message: PeerMessage) -> bool:
        """Update a peer's status; return false for an outdated message."""
        status = self.find_incarnation(message.host, message.incarnation)
        if status is None:
            status = PeerStatus(message.incarnation)
            self._statuses[message.host] = status
        elif message.seq <= status.seq:
            return False
        status.update(message, self._clock.monotonic())
        return True

    def request_full_state(self, host: str) -> None:
        """Have a peer send its full state again."""
        status = self._statuses.get(host)
        if status is not None:
            status.needs_full_state = True

    def forget(self, host: str) -> None:
        """Drop the status of a peer."""
        self._statuses.pop(host, None)

    def _is_recent(self, status: PeerStatus) -> bool:
        return self._clock.monotonic() - status.received_s <= self._silence_s
