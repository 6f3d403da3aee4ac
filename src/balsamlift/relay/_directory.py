"""Provide callers with host addresses and report this host's readiness."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping, Sequence

import attrs

from balsamlift.kernel import Kernel
from balsamlift.peers import Peers
from balsamlift.relay._routing import Routing

# Callers use no more addresses than this from one answer.
MAX_ADDRESSES = 64
# If a caller's failure domain has fewer hosts than this, it also gets hosts
# of others, so that another remains if one host dies.
MIN_NEAR_HOSTS = 2


@attrs.frozen
class AddressAnswer:
    """Host addresses for a caller, and how long it may cache them."""

    addresses: list[str]
    keep_ms: int


@attrs.frozen
class Caller:
    """The location of a caller, and the host name that it will call."""

    failure_domain: str
    region: str = ""  # empty: unknown
    host_name: str = ""


@attrs.define
class HostsByLocation:
    """Ready hosts, grouped by their location relative to a caller."""

    same_domain: list[str] = attrs.field(factory=list)  # in its failure domain
    same_region: list[str] = attrs.field(factory=list)  # in other domains
    other_regions: list[str] = attrs.field(factory=list)
    # Those in other regions where all calls to its host name may run.
    permitted: list[str] = attrs.field(factory=list)

    def fallback_hosts(self) -> list[str]:
        """Return fallback hosts; other regions only if necessary."""
        if len(self.same_domain) + len(self.same_region) >= MIN_NEAR_HOSTS:
            return self.same_region
        if self.same_domain or self.same_region or self.permitted:
            return [*self.same_region, *self.permitted]
        return self.other_regions


def choose_addresses(
    preferred: Sequence[str], fallback: Sequence[str], rng: random.Random
) -> list[str]:
    """Return hosts for one caller, from its own failure domain first.

    If there are too many for one answer, each answer has a random sample, so
    that all hosts are used equally.
    """
    usable = (
        preferred
        if len(preferred) >= MIN_NEAR_HOSTS
        else [*preferred, *fallback]
    )
    if len(usable) <= MAX_ADDRESSES:
        return list(usable)
    kept = list(preferred) if usable is not preferred else []
    rest = [address for address in usable if address not in kept]
    return kept + rng.sample(rest, MAX_ADDRESSES - len(kept))


class Directory:
    """Determine which hosts accept requests."""

    name = "directory"

    def __init__(
        self,
        failure_domain: str,
        keep_ms: int,
        rng: random.Random,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        """Let callers cache an answer for `keep_ms`.

        `regions` holds the region of each failure domain.
        """
        self._failure_domain = failure_domain
        self._regions = regions or {}
        self._random = rng
        self._keep_ms = keep_ms

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that this one depends on."""
        self._peers = kernel.find("peers", Peers)
        self._routing = kernel.find("routing", Routing)

    async def stop(self) -> None:
        """Do nothing; this service has no tasks to stop."""

    @property
    def is_ready(self) -> bool:
        """Return whether this host accepts requests."""
        return self._routing.is_configured and not self._peers.leaving

    def find(self, caller: Caller) -> AddressAnswer:
        """Return the hosts for a caller; none if no host is ready."""
        hosts = self._group_ready_hosts(caller)
        addresses = choose_addresses(
            hosts.same_domain, hosts.fallback_hosts(), self._random
        )
        return AddressAnswer(addresses, self._keep_ms)

    def _group_ready_hosts(self, caller: Caller) -> HostsByLocation:
        """Group the ready hosts by their location relative to `caller`."""
        callers_region = self._regions.get(
            caller.failure_domain, caller.region
        )
        permitted_regions = self._routing.regions_of(caller.host_name)
        hosts = HostsByLocation()
        for address, domain in self._ready_hosts():
            region = self._regions.get(domain, "")
            if domain == caller.failure_domain:
                hosts.same_domain.append(address)
            elif region == callers_region or not callers_region:
                hosts.same_region.append(address)
            else:
                hosts.other_regions.append(address)
                if permitted_regions is None or region in permitted_regions:
                    hosts.permitted.append(address)
        return hosts

    def _ready_hosts(self) -> Iterator[tuple[str, str]]:
        """Yield the address and failure domain of each ready host."""
        if self.is_ready:
            yield self._peers.own.callers_address, self._failure_domain
        for peer in self._peers.live():
            # A peer that has not been heard from yet may still be starting.
            if not peer.leaving and peer.caught_up:
                yield peer.callers_address, peer.failure_domain
