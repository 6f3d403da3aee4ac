"""The links to the chosen partners and to the peers that chose this host."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers._link import Draft, Link
from balsamlift.peers._partners import Partners
from balsamlift.settings import PeerSettings

# Where not all hosts send to each other, one of them aggregates the counts,
# and urgent changes are sent at once. So heartbeats need only be frequent
# enough that three fit into the silence limit, which lasts six at the interval
# of the settings.
MANY_HOSTS_INTERVAL_FACTOR = 2.0


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
        """Start with no link; see `Link` for the two functions."""
        self._partners = Partners(settings, clock, rng)
        self._settings = settings
        self._clock = clock
        self._random = rng
        self._compose = compose
        self._on_silence = on_silence
        self._links: dict[str, Link] = {}
        self._interval_factor = 1.0
        self._metrics = Metrics()

    def start(self, metrics: Metrics) -> None:
        """Count the traffic of all links in `metrics`."""
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
    def interval_factor(self) -> float:
        """Return the factor on the heartbeat interval of the settings."""
        return self._interval_factor

    def find(self, host: str) -> Link | None:
        """Return the link to a host."""
        return self._links.get(host)

    def wake(self) -> None:
        """Send on every link without waiting for the next heartbeat."""
        for link in self._links.values():
            link.wake()

    def sent_counts_change(self, default: int) -> int:
        """Return the change up to which every link has sent the counts."""
        changes = [
            link.sent_changes.counts or 0 for link in self._links.values()
        ]
        return min(changes, default=default)

    async def refresh(
        self,
        addresses: Mapping[str, str],
        dead: Collection[str],
        inbound_partners: set[str],
    ) -> list[str]:
        """Link to the chosen of these hosts and to the `inbound_partners`.

        Return the hosts whose links were closed.
        """
        has_many = len(addresses) > self._settings.fan_out
        self._interval_factor = MANY_HOSTS_INTERVAL_FACTOR if has_many else 1.0
        self._partners.choose(addresses, dead)
        wanted = (self.chosen | inbound_partners) & addresses.keys()
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
        """Open a link to a host unless there is one."""
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
            lambda: self._interval_factor,
        )
        self._links[host] = link
        link.start()
