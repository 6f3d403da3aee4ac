"""The set of links: to the chosen partners, and to those who chose us."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers._link import Draft, Link
from balsamlift.peers._partners import Partners
from balsamlift.settings import PeerSettings

# Where hosts do not all hear one another, load is gathered at one of them,
# and what is urgent is sent at once: heartbeats need only come often enough
# for a silence of six of them to hold three.
MANY_HOSTS_STRETCH = 2.0


class Links:
    """Open and close links as partners change."""

    def __init__(
        self,
        settings: PeerSettings,
        clock: Clock,
        rng: random.Random,
        compose: Callable[[Link], Draft],
        on_silence: Callable[[str], None],
    ) -> None:
        """Begin with no link; see `Link` for the two functions."""
        self._partners = Partners(settings, clock, rng)
        self._settings = settings
        self._clock = clock
        self._random = rng
        self._compose = compose
        self._on_silence = on_silence
        self._links: dict[str, Link] = {}
        self._stretch = 1.0
        self._metrics = Metrics()

    def start(self, metrics: Metrics) -> None:
        """Count traffic there."""
        self._metrics = metrics

    async def stop(self) -> None:
        """Close every link."""
        while self._links:
            _, link = self._links.popitem()
            await link.stop()

    @property
    def chosen(self) -> frozenset[str]:
        """Return the chosen partners."""
        return self._partners.chosen

    @property
    def stretch(self) -> float:
        """Return how many times as far apart heartbeats come as set."""
        return self._stretch

    def find(self, host: str) -> Link | None:
        """Return the link to a host."""
        return self._links.get(host)

    def wake(self) -> None:
        """Send on every link without waiting for the next heartbeat."""
        for link in self._links.values():
            link.wake()

    def told_counts(self, default: int) -> int:
        """Return up to which change every link has told the counts."""
        told = [link.told.counts or 0 for link in self._links.values()]
        return min(told, default=default)

    async def refresh(
        self,
        addresses: Mapping[str, str],
        dead: Collection[str],
        askers: set[str],
    ) -> list[str]:
        """Link to the chosen of these hosts, and to the `askers`.

        Returns the hosts whose links it closed.
        """
        has_many = len(addresses) > self._settings.fan_out
        self._stretch = MANY_HOSTS_STRETCH if has_many else 1.0
        self._partners.choose(addresses, dead)
        wanted = (self.chosen | askers) & addresses.keys()
        closed = [
            host
            for host, link in self._links.items()
            if host not in wanted or link.address != addresses[host]
        ]
        for host in closed:
            await self._links.pop(host).stop()
        for host in sorted(wanted):
            self.open(host, addresses[host])
        return closed

    def open(self, host: str, address: str) -> None:
        """Open a link, unless there is one."""
        if host in self._links:
            return
        link = Link(
            host,
            address,
            self._settings,
            self._clock,
            self._random,
            self._metrics,
            self._compose,
            self._on_silence,
            lambda: self._stretch,
        )
        self._links[host] = link
        link.start()
