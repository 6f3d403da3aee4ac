"""Tell callers which hosts to use, and the platform whether this one is."""

from __future__ import annotations

import attrs

from balsamlift.kernel import Kernel
from balsamlift.peers import Peers
from balsamlift.relay._routing import Routing

MOST_ADDRESSES = 64
# With fewer hosts than this in their own failure domain, callers are given
# those of the others too: one that dies must leave them another.
FEWEST_NEAR = 2


@attrs.frozen
class AddressAnswer:
    """Hold hosts for a caller, and for how long to keep them."""

    addresses: list[str]
    keep_ms: int


class Directory:
    """Know which hosts take requests."""

    name = "directory"

    def __init__(self, failure_domain: str, keep_ms: int) -> None:
        """Let callers keep an answer for `keep_ms`."""
        self._failure_domain = failure_domain
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
        addresses = near if len(near) >= FEWEST_NEAR else near + far
        return AddressAnswer(addresses[:MOST_ADDRESSES], self._keep_ms)
