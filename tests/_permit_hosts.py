"""Hosts that share the rate limit of one upstream, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Literal, cast, get_args

import attrs
from _host_mesh import LINK_S, HostMesh, MeshHost
from _virtual_time import LoopClock

from balsamlift.peers import Permits, RateLimits
from balsamlift.peers._host_ranks import first_host
from balsamlift.peers._messages import PermitAnswer, PermitRequest
from balsamlift.peers._permits import (
    ANSWER_TIMEOUT_MS,
    STARTUP_S,
    GrantingHosts,
)

UPSTREAM = "e1"
WINDOW_S = 4.0
CONTACT_S = 3.0  # after a limit is named until it has to be kept
TOLD_S = 0.5  # the same for a host that passed on an answer with the limit
TOLERATED_FACTOR, TOLERATED_EXTRA = 1.5, 5
SILENCE_S = 1.5  # until a silent host counts as dead
WORK_S = 0.02  # of the upstream, for one request


# A first try or a retry, a call without another upstream, and a generation
# that resumes after a move or at its backup.
Kind = Literal["tries", "waits", "resumes"]
KINDS: tuple[Kind, ...] = get_args(Kind)
MAX_WAIT_S = 0.5


def tolerated(limit_per_s: float) -> float:
    """Return the most requests that may arrive within `WINDOW_S`."""
    return TOLERATED_FACTOR * limit_per_s * WINDOW_S + TOLERATED_EXTRA


@attrs.define(eq=False)
class Host(MeshHost):
    """One host: what it knows, and whether it runs and reaches others."""

    started_s: float = 0.0
    permits: Permits = attrs.field(init=False)
    told_s: float | None = None  # when it passed on the limit first
    exempt_until_s: float = 0.0

    @property
    def limits(self) -> RateLimits:
        return cast(RateLimits, self.table)


class Fleet(HostMesh):
    """All hosts and the upstream, under a constant load of requests."""

    def __init__(
        self, hosts: int, seed: int, limit_per_s: float | None
    ) -> None:
        super().__init__(seed)
        self.limit_per_s = limit_per_s
        self.named_s = 0.0
        self.arrivals: list[tuple[float, Host]] = []
        self.asked_other_hosts = 0
        self._silent_s: dict[int, float] = {}  # since when it is gone
        self.hosts = [self._make_host(n, -10.0) for n in range(hosts)]
        for number in range(hosts):
            self.link(number)

    # Hosts

    def mesh_hosts(self) -> Sequence[MeshHost]:
        return self.hosts

    def _make_host(self, number: int, started_s: float) -> Host:
        clock = LoopClock()
        host = Host(number, RateLimits(clock), started_s=started_s)
        host.permits = Permits(
            host.limits,
            lambda: self._granting_hosts(host),
            _Transport(self, host),
            clock,
        )
        host.permits._startup._ends_s = started_s + STARTUP_S
        host.limits._wake = host.wake_event.set
        self.begin_gossip(host)
        return host

    def add_host(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.hosts.append(self._make_host(len(self.hosts), now_s))
        self.link(len(self.hosts) - 1)

    def restart(self, number: int) -> None:
        """Kill a host and start it again at once; it knows nothing."""
        now_s = asyncio.get_running_loop().time()
        self.hosts[number] = self._make_host(number, now_s)
        self.hosts[number].exempt_until_s = now_s + CONTACT_S
        self.send_all_to(number)

    async def freeze(self, number: int, duration_s: float) -> None:
        host = self.hosts[number]
        loop = asyncio.get_running_loop()
        host.is_frozen = True
        self._silent_s[number] = loop.time()
        host.exempt_until_s = loop.time() + duration_s + CONTACT_S
        await asyncio.sleep(duration_s)
        host.is_frozen = False
        del self._silent_s[number]

    def partition(self, sides: int) -> None:
        """Cut the hosts into parts that do not reach each other."""
        now_s = asyncio.get_running_loop().time()
        for host in self.hosts:
            host.side = host.number % sides
            self._silent_s[host.number] = now_s

    def granting_host(self) -> int:
        """Return the number of the host that grants permits now."""
        host = self.hosts[0]
        addresses = self._granting_hosts(host).addresses
        return int(first_host(addresses, UPSTREAM)[1:])

    def _granting_hosts(self, host: Host) -> GrantingHosts:
        now_s = asyncio.get_running_loop().time()
        live = {host.name: str(host.number)}
        for other in self.hosts:
            if self._seems_live(host, other, now_s):
                live[other.name] = str(other.number)
        return GrantingHosts(host.name, live, len(self.hosts))

    def _seems_live(self, host: Host, other: Host, now_s: float) -> bool:
        if host.side == other.side and not other.is_frozen:
            return True
        silent_s = self._silent_s.get(other.number)
        return silent_s is None or now_s - silent_s < SILENCE_S

    # Requests

    async def run(self, length_s: float, requests_per_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + length_s
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(requests_per_s))
            kind = self.rng.choice(KINDS)
            self.spawn(self._request(self.rng.choice(self.hosts), kind))

    async def burst(self, requests: int) -> None:
        """Send requests at the same moment, spread over all hosts."""
        for number in range(requests):
            host = self.hosts[number % len(self.hosts)]
            self.spawn(self._request(host, self.rng.choice(KINDS)))
        await asyncio.sleep(1.0)

    async def _request(self, host: Host, kind: Kind) -> None:
        if host.is_frozen:
            return
        permit = await host.permits.acquire(
            UPSTREAM,
            max_wait_s=0.0 if kind == "tries" else MAX_WAIT_S,
            is_resumed=kind == "resumes",
        )
        if not permit.is_granted:
            await host.permits.reserve_return(UPSTREAM)
            return
        await asyncio.sleep(permit.wait_s)
        if host.is_frozen:
            return
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        await asyncio.sleep(LINK_S)
        self.arrivals.append((loop.time(), host))
        named = self.limit_per_s
        await asyncio.sleep(WORK_S + LINK_S)
        host.limits.record(UPSTREAM, named, sent_s)
        if named is not None and host.told_s is None:
            host.told_s = loop.time()

    def name_limit(self, limit_per_s: float | None) -> None:
        self.limit_per_s = limit_per_s
        self.named_s = asyncio.get_running_loop().time()
        for host in self.hosts:
            host.told_s = None

    # Results

    def arrivals_that_count(self) -> list[float]:
        """Return the times of arrivals that the rule counts."""
        return [
            at_s
            for at_s, host in self.arrivals
            if at_s >= self.named_s + CONTACT_S
            and host.told_s is not None
            and at_s >= host.told_s + TOLD_S
            and at_s >= host.exempt_until_s
        ]

    def most_in_a_window(self) -> int:
        times = self.arrivals_that_count()
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
                for start_s in times
            ),
            default=0,
        )

    def used_fraction(self, from_s: float) -> float:
        """Return the part of the limit that was used since `from_s`."""
        assert self.limit_per_s is not None
        now_s = asyncio.get_running_loop().time()
        arrived = sum(at_s >= from_s for at_s, _ in self.arrivals)
        return arrived / (self.limit_per_s * (now_s - from_s))


class _Transport:
    """Ask other hosts with the latency of a link."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    async def ask(
        self, address: str, request: PermitRequest
    ) -> PermitAnswer | None:
        self._fleet.asked_other_hosts += 1
        other = self._fleet.hosts[int(address)]
        if not self._fleet.reaches(self._host, other):
            await asyncio.sleep(ANSWER_TIMEOUT_MS / 1_000)
            return None
        await asyncio.sleep(LINK_S)
        answer = other.permits.grant(request)
        await asyncio.sleep(LINK_S)
        return answer

    def close(self) -> None:
        pass
