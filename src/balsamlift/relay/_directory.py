"""Tell callers which hosts to use, and the platform whether this one is."""

from __future__ import annotations

import random
from collections.abc import Sequence

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
        self, failure_domain: str, keep_ms: int, rng: random.Random
    ) -> None:
        """Let callers keep an answer for `keep_ms`."""
        self._failure_domain = failure_domain
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

    def find(self, failure_domain: str) -> AddressAnswer:
        """Return the hosts for a caller there; none if nobody is ready."""
        near: list[str] = []
        far: list[str] = []
        if self.is_ready:
            own = self._peers.own.callers_address
            is_near = self._failure_domain == failure_domain
            (near if is_near else far).append(own)
        for peer in self._peers.live():
            # A peer that was not heard from yet may still be starting.
            if peer.leaving or not peer.caught_up:
                continue
            is_near = peer.failure_domain == failure_domain
            (near if is_near else far).append(peer.callers_address)
        addresses = choose_addresses(near, far, self._random)
        return AddressAnswer(addresses, self._keep_ms)
