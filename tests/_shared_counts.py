"""What all hosts hold, as each of them knows it a moment later."""

from __future__ import annotations

import asyncio
from collections import Counter

from balsamlift.peers import CountsBasis, HostRank
from balsamlift.peers._host_ranks import find_rank

TOLD_S = 0.004  # until the other hosts know what one holds


class Counts:
    """What all hosts hold, as each of them knows it a moment later."""

    def __init__(self, hosts: int = 1) -> None:
        self.hosts = hosts
        self.by_host: dict[int, dict[str, int]] = {}

    def sums(self, own: int) -> Counter[str]:
        others: Counter[str] = Counter()
        for host, counts in self.by_host.items():
            if host != own:
                others.update(counts)
        return others


class HostCounts:
    """The counts as one host tells and hears them."""

    def __init__(self, counts: Counts, host: int) -> None:
        self._counts = counts
        self._host = host
        self._own: dict[str, int] = {}
        self._others: Counter[str] = Counter()
        self.basis: CountsBasis = "gathered"

    @property
    def counts_basis(self) -> CountsBasis:
        return self.basis

    def in_flight(self, upstream: str) -> int:
        return self._others[upstream]

    def set_in_flight(self, upstream: str, n: int) -> None:
        self._own[upstream] = n

    def tell_counts(self) -> None:
        told = dict(self._own)
        asyncio.get_running_loop().call_later(
            TOLD_S, self._counts.by_host.__setitem__, self._host, told
        )

    async def refresh_counts(self) -> None:
        await asyncio.sleep(TOLD_S)
        self._others = self._counts.sums(self._host)

    def place_for(self, subject: str) -> HostRank:
        hosts = [str(host) for host in range(self._counts.hosts)]
        hosts.remove(str(self._host))
        return find_rank(str(self._host), hosts, subject)
