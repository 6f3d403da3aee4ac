"""Choose the hosts that carry the requests of this one."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Mapping
from contextlib import contextmanager

from balsamlift.clock import Clock
from balsamlift.peers import Peer, Peers

# Hosts that one host forwards to: few, so that connections are used again,
# and others for other hosts, so that no host carries the requests of all.
PEERS_PER_HOST = 3
# Time for which a host that did not answer is passed over.
PASS_OVER_S = 2.0
# Older reports of a peer's configuration say nothing of the one it has now.
RECENT_S = 2.0


class PeerChoice:
    """Choose among the live hosts that reach the upstreams of a pool."""

    def __init__(
        self,
        peers: Peers,
        clock: Clock,
        regions: Mapping[str, str],
        failure_domain: str,
        preferred: Callable[[str], Collection[str]],
    ) -> None:
        """Prefer hosts of this region; `regions` is by failure domain.

        Those that `preferred` returns for a pool come first.
        """
        self._preferred = preferred
        self._peers = peers
        self._clock = clock
        self._regions = regions
        self._region = regions.get(failure_domain, "")
        self._passed_over_until_s: dict[str, float] = {}
        self._in_flight: Counter[str] = Counter()

    def choose(self, pool: str, tried: set[str]) -> Peer | None:
        """Return the host to forward a request to, or None."""
        found = [p for p in self._reaching(pool) if p.host not in tried]
        preferred = self._preferred(pool)
        chosen = sorted(
            found,
            key=lambda peer: (
                peer.host not in preferred,
                *self._preference(peer),
            ),
        )[:PEERS_PER_HOST]
        if not chosen:
            return None
        return min(chosen, key=lambda peer: self._in_flight[peer.host])

    def exists(self, pool: str) -> bool:
        """Return whether there is a host to forward to."""
        return next(self._reaching(pool), None) is not None

    @contextmanager
    def count_in_flight(self, peer: Peer) -> Iterator[None]:
        """Count a request as forwarded while the context is open."""
        self._in_flight[peer.host] += 1
        try:
            yield
        finally:
            self._in_flight[peer.host] -= 1

    def pass_over(self, peer: Peer) -> None:
        """Choose another host for a while."""
        until_s = self._clock.monotonic() + PASS_OVER_S
        self._passed_over_until_s[peer.host] = until_s

    def _reaching(self, pool: str) -> Iterator[Peer]:
        now_s = self._clock.monotonic()
        for peer in self._peers.live():
            if peer.leaving or not peer.forwarding_address:
                continue
            if pool in peer.unreached_pools:
                continue
            if now_s < self._passed_over_until_s.get(peer.host, 0.0):
                continue
            yield peer

    def _preference(self, peer: Peer) -> tuple[bool, bool, int]:
        """Return the sort key by which better hosts come first.

        A host with an older configuration may refuse what this one accepts.
        """
        is_far = self._regions.get(peer.failure_domain, "") != self._region
        rank = zlib.crc32(f"{self._peers.own.host}/{peer.host}".encode())
        return self._is_outdated(peer), is_far, rank

    def _is_outdated(self, peer: Peer) -> bool:
        heard_s = peer.last_heard_s
        if heard_s is None or self._clock.monotonic() > heard_s + RECENT_S:
            return False
        return not peer.caught_up or peer.offset < self._peers.offset
