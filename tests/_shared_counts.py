"""In-flight counts of several hosts, shared with a delay, for tests."""

from __future__ import annotations

import asyncio
from collections import Counter

from balsamlift.peers import CountsBasis, HostRank
from balsamlift.peers._host_ranks import find_rank

SEND_DELAY_S = 0.004  # until the counts of one host reach the others


class Counts:
    """The counts of all hosts, as last sent by each of them."""

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
    """The counts that one host sends and receives, in place of `Peers`."""

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

    def counts_under(self, prefix: str) -> dict[str, int]:
        return {k: n for k, n in self._others.items() if k.startswith(prefix)}

    def set_in_flight(self, upstream: str, n: int) -> None:
        self._own[upstream] = n

    def own_keys(self) -> dict[str, int]:
        return {key: n for key, n in self._own.items() if n}

    def send_counts(self) -> None:
        sent = dict(self._own)
        asyncio.get_running_loop().call_later(
            SEND_DELAY_S, self._counts.by_host.__setitem__, self._host, sent
        )

    async def refresh_counts(self) -> None:
        await asyncio.sleep(SEND_DELAY_S)
        self._others = self._counts.sums(self._host)

    def rank_for(self, subject: str) -> HostRank:
        hosts = [str(host) for host in range(self._counts.hosts)]
        hosts.remove(str(self._host))
        return find_rank(str(self._host), hosts, subject)


class SingleHost:
    """A single host, which has all calls in flight."""

    def in_flight(self, upstream: str) -> int:
        return 0

    def set_in_flight(self, upstream: str, n: int) -> None:
        pass

    def send_counts(self) -> None:
        pass

    counts_basis: CountsBasis = "heard"

    def rank_for(self, subject: str) -> HostRank:
        return HostRank(0, 1)
