"""Stand-ins for the list of hosts and for the calls to engines."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs

from balsamlift.exceptions import HostsUnavailableError
from balsamlift.peers import ListEntry, Upstream
from balsamlift.relay import (
    CopyError,
    CopyRefusedError,
    EngineReport,
    MemoryCopy,
    RunningGeneration,
)
from balsamlift.testing._replica import ReplicaStandIn


class StandInList:
    """Stand-in for the platform's list of hosts."""

    is_complete = False

    def __init__(self, replicas: Sequence[ReplicaStandIn]) -> None:
        """List `replicas`."""
        self.replicas = list(replicas)
        self.hosts: list[ListEntry] = []
        # By the name of a replica, where this host finds it instead.
        self.addresses: dict[str, str] = {}
        self.is_down = False

    async def read(
        self, max_wait_ms: int | None = None
    ) -> list[ListEntry] | None:
        """Return an entry for each replica and each other host."""
        if self.is_down:
            raise HostsUnavailableError("list of hosts is unreachable")
        entries = [replica.entry() for replica in self.replicas]
        return self.hosts + [
            attrs.evolve(e, address=self.addresses.get(e.name, e.address))
            for e in entries
        ]


class StandInEngines:
    """Record requests for reports and copies, without copying anything."""

    def __init__(self) -> None:
        """Start with engines that accept every copy."""
        self.copies: list[tuple[str, str, str, bool]] = []
        self.accepts_copies = True
        self.running: dict[str, list[RunningGeneration]] = {}
        self.leaving: set[str] = set()
        self.started_ms: dict[str, int] = {}
        self.report_calls: list[str] = []
        self.stop_events: list[asyncio.Event] = []
        self.last_copy_s = 0.0  # from the stop until the copy is complete
        # Raised after the stop, instead of a copy.
        self.stop_error: CopyError | None = None

    async def report(self, upstream: Upstream) -> EngineReport:
        """Return the report that the test has set for the engine."""
        self.report_calls.append(upstream.name)
        return EngineReport(
            runs=self.running.get(upstream.name, []),
            is_leaving=upstream.name in self.leaving,
            started_ms=self.started_ms.get(upstream.id, 0),
        )

    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
        *,
        stop: bool,
    ) -> MemoryCopy:
        """Record the copy; with `stop`, set the events in `stop_events`."""
        self.copies.append((source.name, request_id, target.name, stop))
        if not self.accepts_copies:
            raise CopyRefusedError(source.name, "no room")
        if stop:
            for waiting in self.stop_events:
                waiting.set()
            await asyncio.sleep(self.last_copy_s)
            if self.stop_error is not None:
                raise self.stop_error
        return MemoryCopy(f"handle-{request_id}", source, target)
