"""Which hosts are gone, since when, and what they announced before."""

from __future__ import annotations

from collections.abc import KeysView

from balsamlift.clock import Clock


class HostAbsences:
    """Track the states of other hosts and the times since they are dead."""

    def __init__(self, clock: Clock) -> None:
        """Start without any host."""
        self._clock = clock
        self._states: dict[str, str] = {}
        self._dead_since_s: dict[str, float] = {}

    @property
    def dead(self) -> KeysView[str]:
        """Return the hosts that are dead."""
        return self._dead_since_s.keys()

    def record(self, host: str, state: str) -> str:
        """Record a state; return the one before, empty if it is the first.

        A dead host that was leaving before has been shut down on purpose.
        """
        before = self._states.get(host, "")
        self._states[host] = state
        if state == "dead":
            self._dead_since_s[host] = self._clock.monotonic()
        else:
            self._dead_since_s.pop(host, None)
        return before

    def expired(self, keep_s: float) -> list[str]:
        """Remove and return the hosts that are dead for longer."""
        oldest_s = self._clock.monotonic() - keep_s
        hosts = [h for h, s in self._dead_since_s.items() if s < oldest_s]
        for host in hosts:
            del self._dead_since_s[host]
            del self._states[host]
        return hosts
