"""The in-flight counts of all hosts together, per upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

from balsamlift._address import join_address, split_address
from balsamlift.clients import ClientMemory
from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers._aggregation import AggregatorHost, CountsAggregation
from balsamlift.peers._counts import OwnCounts, PeerCounts
from balsamlift.peers._members import Members
from balsamlift.peers._messages import PermitAnswer, PermitRequest
from balsamlift.peers._shared_records import SharedRecords
from balsamlift.settings import Settings

# How the counts of others were obtained: received from all of them, summed up
# by one of them just now or some time ago, or extrapolated from a few.
CountsBasis = Literal["heard", "gathered", "old", "scaled"]


class Load:
    """Obtain counts in the way that the number of hosts allows.

    Up to the fan-out, every host receives the counts of all others. Beyond it,
    one host aggregates them; without its answer, the sum of the counts that
    were received is scaled up.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        ip: str,
        clock: Clock,
        records: SharedRecords,
        memory: ClientMemory,
    ) -> None:
        """Aggregate at the address in the settings, or any port of `ip`.

        `memory` is shared with other listeners.
        """
        self.own = OwnCounts()
        self.peer_counts = PeerCounts()
        self._fan_out = settings.peers.fan_out
        self._aggregation = CountsAggregation(
            settings.host,
            clock,
            self.own.full,
            incarnation,
            settings.counts_address or join_address(ip, 0),
            records,
            memory,
        )
        self.address = self._aggregation.address

    def start(
        self, members: Members, wake: Callable[[], None], metrics: Metrics
    ) -> None:
        """Start the exchange; `wake` sends on every link at once."""
        self._members = members
        self._wake = wake
        self._aggregation.start(self._aggregator_hosts, metrics)

    def answer_permits(
        self, grant: Callable[[PermitRequest], PermitAnswer]
    ) -> None:
        """Answer requests for permits at the address for counts."""
        self._aggregation.answer_permits(grant)

    async def stop(self) -> None:
        """Close all connections."""
        await self._aggregation.stop()

    @property
    def is_full_mesh(self) -> bool:
        """Return whether the other hosts are no more than the fan-out."""
        return self._members.live_others <= self._fan_out

    @property
    def basis(self) -> CountsBasis:
        """Return how the sums were obtained."""
        if self.is_full_mesh:
            return "heard"
        if self._aggregation.is_recent:
            return "gathered"
        return "old" if self._aggregation.is_fresh else "scaled"

    def others(self, upstream: str) -> int:
        """Return the sum of the other hosts' counts for an upstream."""
        if not self.is_full_mesh and self._aggregation.is_fresh:
            return self._aggregation.others(upstream)
        total = self.peer_counts.total(upstream)
        known_hosts = self.peer_counts.host_count()
        if self.is_full_mesh or not known_hosts:
            return total
        return round(total * self._members.live_others / known_hosts)

    def others_under(self, prefix: str) -> dict[str, int]:
        """Return the sums of the other hosts' counts under a prefix.

        They are not scaled up where they come from a few peers.
        """
        if not self.is_full_mesh and self._aggregation.is_fresh:
            return self._aggregation.others_under(prefix)
        return self.peer_counts.totals_under(prefix)

    def send(self) -> None:
        """Send this host's counts to the other hosts at once."""
        if self.is_full_mesh:
            self._wake()
        else:
            self._aggregation.send()

    async def refresh(self) -> None:
        """Fetch current sums where not all hosts send to each other."""
        if not self.is_full_mesh:
            await self._aggregation.refresh()

    def _aggregator_hosts(self) -> list[AggregatorHost]:
        """Return the hosts that may aggregate; none while hosts are few."""
        if self.is_full_mesh:
            return []
        return [
            AggregatorHost(member.host, member.counts_address)
            for member in self._members.others()
            if member.state == "live" and member.counts_address
        ]


def ip_of(address: str) -> str:
    """Return the IP address of "IP:port"."""
    return split_address(address)[0]
