"""Marks on one upstream: what we and our peers have seen of it."""

from __future__ import annotations

from typing import Literal, get_args

UpstreamState = Literal["live", "leaving", "dead"]

STATES: tuple[UpstreamState, ...] = get_args(UpstreamState)

LEAVING_HOLD_S = 10.0  # before the upstream's own "not draining" counts
UNTOLD_HOLD_S = 30.0  # where it tells nothing: longer than the list lags
# Where the list is followed as it changes: a peer that was cut off takes
# lapsed upstreams for gone, which must not stop work for longer than this.
FOLLOWED_HOLD_S = 3.0

_RANKS: dict[str, int] = {state: n for n, state in enumerate(STATES)}


def worse(one: UpstreamState, other: UpstreamState) -> UpstreamState:
    """Return the more pessimistic of two states."""
    return one if _RANKS[one] >= _RANKS[other] else other


class Marks:
    """Hold the marks on one incarnation of an upstream."""

    def __init__(self) -> None:
        """Begin unmarked."""
        self._since_s: dict[tuple[UpstreamState, bool], float] = {}

    @property
    def worst(self) -> UpstreamState:
        """Return the most pessimistic state marked."""
        state: UpstreamState = "live"
        for marked, _ in self._since_s:
            state = worse(state, marked)
        return state

    @property
    def dead_by_peers_alone(self) -> bool:
        """Tell whether a peer's word "dead" is all there is."""
        return self._since_s.keys() == {("dead", True)}

    def add(self, state: UpstreamState, by_peer: bool, now_s: float) -> bool:
        """Add a mark and tell whether it is new.

        "live" takes back that the upstream is dead.
        """
        if state == "live":
            self._drop_dead()
            return False
        is_new = (state, by_peer) not in self._since_s
        self._since_s[state, by_peer] = now_s
        return is_new

    def answered(self, draining: bool | None, now_s: float) -> bool:
        """Take in that the upstream answered us; None: it told nothing.

        Tells whether this has added a mark.
        """
        self._drop_dead()
        if draining:
            return self.add("leaving", by_peer=False, now_s=now_s)
        hold_s = UNTOLD_HOLD_S if draining is None else LEAVING_HOLD_S
        for key, since_s in list(self._since_s.items()):
            if now_s - since_s >= hold_s:
                del self._since_s[key]
        return False

    def listed_live(self, now_s: float) -> None:
        """Take in that a list followed as it changes shows it live."""
        for key, since_s in list(self._since_s.items()):
            if now_s - since_s >= FOLLOWED_HOLD_S:
                del self._since_s[key]

    def _drop_dead(self) -> None:
        self._since_s.pop(("dead", False), None)
        self._since_s.pop(("dead", True), None)
