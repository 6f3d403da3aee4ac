"""Tell callers which hosts to use, and the platform whether this one is."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping, Sequence

import attrs

from balsamlift.kernel import Kernel
from balsamlift.peers import Peers
from balsamlift.relay._routing import Routing

# Callers take no more from one answer.
MOST_ADDRESSES = 64
# With fewer hosts than this in their own failure domain, callers are given
# those of the others too: one that dies must leave them another.
FEWEST_NEAR = 2


@attrs.frozen
class AddressAnswer:
    """Hold hosts for a caller, and for how long to keep them."""

    addresses: list[str]
    keep_ms: int


@attrs.frozen
class Caller:
    """Hold where a caller is, and the host name that it will call."""

    failure_domain: str
    region: str = ""  # empty: not told
    host_name: str = ""


@attrs.define
class NamedHosts:
    """Hold the hosts that take requests, by where a caller finds them."""

    near: list[str] = attrs.field(factory=list)  # in its failure domain
    far: list[str] = attrs.field(factory=list)  # in its region
    abroad: list[str] = attrs.field(factory=list)
    # Abroad, in regions where all that it may call may run.
    at_home: list[str] = attrs.field(factory=list)

    def besides_near(self) -> list[str]:
        """Return other hosts to name; those abroad only if need be."""
        if len(self.near) + len(self.far) >= FEWEST_NEAR:
            return self.far
        if self.near or self.far or self.at_home:
            return [*self.far, *self.at_home]
        return self.abroad


def choose_addresses(
    near: Sequence[str], far: Sequence[str], rng: random.Random
) -> list[str]:
    """Return hosts for one caller, its own failure domain first.

    Of more than fit each answer names others, so that all get their share.
    """
    usable = near if len(near) >= FEWEST_NEAR else [*near, *far]
    if len(usable) <= MOST_ADDRESSES:
        return list(usable)
    kept = list(near) if usable is not near else []
    rest = [address for address in usable if address not in kept]
    return kept + rng.sample(rest, MOST_ADDRESSES - len(kept))


class Directory:
    """Know which hosts take requests."""

    name = "directory"

    def __init__(
        self,
        failure_domain: str,
        keep_ms: int,
        rng: random.Random,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        """Let callers keep an answer for `keep_ms`.

        `regions` holds the region of each failure domain.
        """
        self._failure_domain = failure_domain
        self._regions = regions or {}
        self._random = rng
        self._keep_ms = keep_ms

    async def start(self, kernel: Kernel) -> None:
        """Find the other services."""
        self._peers = kernel.find("peers", Peers)
        self._routing = kernel.find("routing", Routing)

    async def stop(self) -> None:
        """Have nothing to end."""

    @property
    def is_ready(self) -> bool:
        """Tell whether this host takes requests."""
        return self._routing.is_configured and not self._peers.leaving

    def find(self, caller: Caller) -> AddressAnswer:
        """Return the hosts for a caller; none if nobody is ready."""
        named = self._sort(caller)
        addresses = choose_addresses(
            named.near, named.besides_near(), self._random
        )
        return AddressAnswer(addresses, self._keep_ms)

    def _sort(self, caller: Caller) -> NamedHosts:
        """Return the hosts that take requests, by where the caller is."""
        callers_region = self._regions.get(
            caller.failure_domain, caller.region
        )
        homes = self._routing.regions_of(caller.host_name)
        named = NamedHosts()
        for address, domain in self._ready():
            region = self._regions.get(domain, "")
            if domain == caller.failure_domain:
                named.near.append(address)
            elif region == callers_region or not callers_region:
                named.far.append(address)
            else:
                named.abroad.append(address)
                if homes is None or region in homes:
                    named.at_home.append(address)
        return named

    def _ready(self) -> Iterator[tuple[str, str]]:
        """Yield address and failure domain of each host that is ready."""
        if self.is_ready:
            yield self._peers.own.callers_address, self._failure_domain
        for peer in self._peers.live():
            # A peer that was not heard from yet may still be starting.
            if not peer.leaving and peer.caught_up:
                yield peer.callers_address, peer.failure_domain
