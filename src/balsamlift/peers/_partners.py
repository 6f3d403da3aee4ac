"""Choose the hosts that this one sends to."""

from __future__ import annotations

import random
from collections.abc import Collection

from balsamlift.clock import Clock
from balsamlift.settings import PeerSettings

# With one, a host whose partner dies hears of nothing until it has another.
FEWEST_CHOSEN = 2
# Of the fan-out, where hosts are more.
CHOSEN_PART = 1 / 6
ROTATE_SILENCES = 4  # times the silence bound until a partner is exchanged


class Partners:
    """Hold the chosen hosts: all up to the fan-out, else some at random.

    A chosen host answers, so of many hosts each has twice as many connections
    as it chooses. One partner at a time is exchanged, so that news reach
    everyone.
    """

    def __init__(
        self, settings: PeerSettings, clock: Clock, rng: random.Random
    ) -> None:
        """Begin with none chosen."""
        self.chosen: frozenset[str] = frozenset()
        self._fan_out = settings.fan_out
        self._rotate_s = ROTATE_SILENCES * settings.silence_ms / 1_000
        self._clock = clock
        self._random = rng
        self._rotated_s = clock.monotonic()

    def choose(self, hosts: Collection[str], dead: Collection[str]) -> None:
        """Choose among `hosts`; of many, not the `dead` ones."""
        if len(hosts) <= self._fan_out:
            self.chosen = frozenset(hosts)
            return
        usable = sorted(set(hosts) - set(dead))
        kept = self._keep(usable)
        rest = [host for host in usable if host not in kept]
        missing = min(self._most() - len(kept), len(rest))
        self.chosen = frozenset(kept + self._random.sample(rest, missing))

    def _most(self) -> int:
        return max(FEWEST_CHOSEN, int(self._fan_out * CHOSEN_PART))

    def _keep(self, usable: list[str]) -> list[str]:
        kept = [host for host in usable if host in self.chosen]
        most = self._most()
        now_s = self._clock.monotonic()
        if now_s - self._rotated_s >= self._rotate_s:
            self._rotated_s = now_s
            most -= 1
        return self._random.sample(kept, min(len(kept), most))
