"""Health states of an upstream as observed by this host and its peers."""

from __future__ import annotations

from typing import Literal, get_args

UpstreamState = Literal["live", "leaving", "dead"]

STATES: tuple[UpstreamState, ...] = get_args(UpstreamState)

# Age at which an answer of "not draining" clears an observation.
LEAVING_HOLD_S = 10.0
# The same for upstreams that do not report draining; exceeds the delay of the
# list.
UNREPORTED_HOLD_S = 30.0
# The same for an upstream that a continuously followed list shows as live. A
# peer that was cut off may report unlisted upstreams as gone by mistake, which
# must not stop work for longer than this.
LISTED_HOLD_S = 3.0

_RANKS: dict[str, int] = {state: n for n, state in enumerate(STATES)}


def more_pessimistic(
    one: UpstreamState, other: UpstreamState
) -> UpstreamState:
    """Return the more pessimistic of two states."""
    return one if _RANKS[one] >= _RANKS[other] else other


class ObservedStates:
    """Keep the observed states of one incarnation of an upstream.

    Each state is kept with the time of its last observation, separately for
    observations by this host and by peers.
    """

    def __init__(self) -> None:
        """Start without any observation."""
        self._since_s: dict[tuple[UpstreamState, bool], float] = {}

    @property
    def worst(self) -> UpstreamState:
        """Return the most pessimistic state observed."""
        state: UpstreamState = "live"
        for observed, _ in self._since_s:
            state = more_pessimistic(state, observed)
        return state

    @property
    def dead_by_peers_alone(self) -> bool:
        """Return whether reports of "dead" by peers are all there is."""
        return self._since_s.keys() == {("dead", True)}

    def add(self, state: UpstreamState, by_peer: bool, now_s: float) -> bool:
        """Record an observation and return whether it is new.

        "live" clears all observations of "dead".
        """
        if state == "live":
            self._clear_dead()
            return False
        is_new = (state, by_peer) not in self._since_s
        self._since_s[state, by_peer] = now_s
        return is_new

    def record_answer(self, draining: bool | None, now_s: float) -> bool:
        """Record an answer; return whether that added an observation.

        `draining` is None if the upstream does not report it.
        """
        self._clear_dead()
        if draining:
            return self.add("leaving", by_peer=False, now_s=now_s)
        hold_s = UNREPORTED_HOLD_S if draining is None else LEAVING_HOLD_S
        for key, since_s in list(self._since_s.items()):
            if now_s - since_s >= hold_s:
                del self._since_s[key]
        return False

    def record_listed_live(self, now_s: float) -> None:
        """Record that a continuously followed list shows it as live."""
        for key, since_s in list(self._since_s.items()):
            if now_s - since_s >= LISTED_HOLD_S:
                del self._since_s[key]

    def _clear_dead(self) -> None:
        self._since_s.pop(("dead", False), None)
        self._since_s.pop(("dead", True), None)
