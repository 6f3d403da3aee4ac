"""Hosts that report changes of a table to each other, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Sequence
from typing import Any, Protocol

import attrs

from balsamlift.platform._settings import FAN_OUT

LINK_S = 0.003
BATCH_S = 0.01
HEARTBEAT_S = 0.5
CHOSEN_PEERS = 2  # per host, if there are more than FAN_OUT


class Table(Protocol):
    """Reports that a host holds, with the number of the latest change."""

    change: int

    def changed_since(self, change: int) -> list[Any]:
        """Return the reports after that change."""

    def add(self, reports: Any) -> None:
        """Apply the reports of another host."""


@attrs.define(eq=False)
class MeshHost:
    """One host: what it knows, and whether it runs and reaches others."""

    number: int
    table: Table
    is_frozen: bool = False
    side: int = 0  # of a network partition
    sent_change: dict[int, int] = attrs.field(factory=lambda: defaultdict(int))
    wake_event: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def name(self) -> str:
        return f"h{self.number}"


class HostMesh:
    """All hosts, each linked to all others or to a few chosen ones."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self._links: dict[int, set[int]] = defaultdict(set)
        self._tasks: set[asyncio.Task[None]] = set()

    def mesh_hosts(self) -> Sequence[MeshHost]:
        """Return all hosts by number."""
        raise NotImplementedError

    def link(self, number: int) -> None:
        """Link a host to the others."""
        others = [n for n in range(len(self.mesh_hosts())) if n != number]
        if len(others) >= FAN_OUT:
            others = self.rng.sample(others, CHOSEN_PEERS)
        for other in others:
            self._links[number].add(other)
            self._links[other].add(number)

    def begin_gossip(self, host: MeshHost) -> None:
        """Let a host send its reports."""
        self.spawn(self._gossip(host))

    def send_all_to(self, number: int) -> None:
        """Let the others send all that they hold to a restarted host."""
        for host in self.mesh_hosts():
            host.sent_change[number] = 0

    def reaches(self, host: MeshHost, other: MeshHost) -> bool:
        """Return whether a message of a host arrives at another."""
        return host.side == other.side and not other.is_frozen

    def spawn(self, work: object) -> None:
        """Run a coroutine until `stop`."""
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel all that runs."""
        for task in self._tasks:
            task.cancel()

    async def _gossip(self, host: MeshHost) -> None:
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await host.wake_event.wait()
                    await asyncio.sleep(BATCH_S)
            except TimeoutError:
                pass
            host.wake_event.clear()
            if host.is_frozen or self.mesh_hosts()[host.number] is not host:
                continue
            for peer in list(self._links[host.number]):
                reports = host.table.changed_since(host.sent_change[peer])
                host.sent_change[peer] = host.table.change
                if reports and self.reaches(host, self.mesh_hosts()[peer]):
                    self.spawn(self._deliver(peer, reports))

    async def _deliver(self, peer: int, reports: list[Any]) -> None:
        await asyncio.sleep(LINK_S)
        self.mesh_hosts()[peer].table.add(reports)
