"""Choice of the hosts that this host sends to."""

from __future__ import annotations

import random
from collections.abc import Collection

from balsamlift.clock import Clock
from balsamlift.settings import PeerSettings

# With one, a host whose partner dies receives nothing until it has another.
MIN_CHOSEN = 2
# Share of the fan-out that is chosen where hosts are more than the fan-out.
CHOSEN_SHARE = 1 / 6
ROTATION_SILENCES = 4  # times the silence limit until a partner is replaced


class Partners:
    """Hold the chosen hosts: all up to the fan-out, else some at random.

    A chosen host sends back, so where hosts are many each has on average
    twice as many links as it chooses. One partner at a time is replaced, so
    that changes reach every host.
    """

    def __init__(
        self, settings: PeerSettings, clock: Clock, rng: random.Random
    ) -> None:
        """Start with no host chosen."""
        self.chosen: frozenset[str] = frozenset()
        self._fan_out = settings.fan_out
        self._rotate_s = ROTATION_SILENCES * settings.silence_ms / 1_000
        self._clock = clock
        self._random = rng
        self._rotated_s = clock.monotonic()

    def choose(self, hosts: Collection[str], dead: Collection[str]) -> None:
        """Choose among `hosts`; where they are many, not the `dead` ones."""
        if len(hosts) <= self._fan_out:
            self.chosen = frozenset(hosts)
            return
        usable = sorted(set(hosts) - set(dead))
        kept = self._keep(usable)
        rest = [host for host in usable if host not in kept]
        missing = min(self._chosen_limit() - len(kept), len(rest))
        self.chosen = frozenset(kept + self._random.sample(rest, missing))

    def _chosen_limit(self) -> int:
        return max(MIN_CHOSEN, int(self._fan_out * CHOSEN_SHARE))

    def _keep(self, usable: list[str]) -> list[str]:
        kept = [host for host in usable if host in self.chosen]
        limit = self._chosen_limit()
        now_s = self._clock.monotonic()
        if now_s - self._rotated_s >= self._rotate_s:
            self._rotated_s = now_s
            limit -= 1
        return self._random.sample(kept, min(len(kept), limit))
