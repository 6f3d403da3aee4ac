"""Run a platform, hosts and operators in one process, to test presets."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs

from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.operators import OperatorsServer
from balsamlift.presets import (
    ClaimBounds,
    KindPreset,
    LogClient,
    Operator,
    Preset,
    Presets,
    WorkspacePreset,
)
from balsamlift.testing._platform import Platform
from balsamlift.testing._settings import PlatformSettings
from balsamlift.timeline import Timeline

DEADLINE_S = 20.0
SILENCE_MS = 400


def make_preset(name: str) -> Preset:
    """Return a small valid preset."""
    return Preset(
        name=name,
        kinds={"report": KindPreset(pool="drafting")},
        workspaces={"*": WorkspacePreset()},
    )


@attrs.define
class Peer:
    """Provide what the presets service reads of a peer."""

    host: str
    operators_address: str
    presets: Presets

    @property
    def offset(self) -> int:
        """Return the next offset that the peer folds."""
        return self.presets.offset


class Peers:
    """Replace the service `peers` by a fixed list."""

    name = "peers"

    def __init__(self) -> None:
        self.known: list[Peer] = []

    def live(self) -> list[Peer]:
        """Return the peers that `Host.set_live_peers` has set."""
        return self.known

    async def start(self, kernel: Kernel) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


class Host:
    """Run the services of one host that presets need."""

    def __init__(self, name: str, log_address: str, **options: Any) -> None:
        self.name = name
        self.kernel = Kernel()
        self.operators = OperatorsServer("127.0.0.1:0")
        self.timeline = Timeline(name, SystemClock(), 1_000)
        self.http = HttpClient()
        clock = SystemClock()
        self.log = LogClient(
            log_address, SILENCE_MS, clock, self.http, random.Random(1)
        )
        options.setdefault("rng", random.Random(name))
        self.presets = Presets(f"{name}~1", clock, self.http, **options)
        self.peers = Peers()

    async def start(self) -> None:
        """Start all services."""
        for service in (
            self.operators,
            self.timeline,
            self.log,
            self.peers,
            self.presets,
        ):
            self.kernel.register(service)
        await self.kernel.start()

    async def stop(self) -> None:
        """Stop all services."""
        await self.kernel.stop()
        self.http.close()

    def set_live_peers(self, *others: "Host") -> None:
        """Make these hosts the live peers of this one."""
        self.peers.known = [
            Peer(host.name, host.operators.address, host.presets)
            for host in others
        ]

    def generation(self) -> int:
        """Return the generation in force; 0: none."""
        in_force = self.presets.in_force()
        return in_force.generation if in_force else 0


class Deployment:
    """Hold a platform and the hosts started on it."""

    def __init__(self, **settings: Any) -> None:
        self.platform = Platform(PlatformSettings(**settings), SystemClock())
        self.address = self.platform.ready()["address"]
        self.hosts: list[Host] = []

    async def host(self, name: str, **options: Any) -> Host:
        """Start a host; `log_address` may replace that of the platform."""
        host = Host(name, options.pop("log_address", self.address), **options)
        self.hosts.append(host)
        await host.start()
        return host

    def operator(self, wait_ms: int = 3_000) -> Operator:
        """Return an operator of the platform's log."""
        return Operator(self.address, silence_ms=SILENCE_MS, wait_ms=wait_ms)

    def set_faults(self, **faults: Any) -> None:
        """Set some faults of the platform; others stay as they are."""
        self.platform.control.update(faults)


@asynccontextmanager
async def run_deployment(**settings: Any) -> AsyncIterator[Deployment]:
    """Run a platform and stop it, and the hosts on it, at the end."""
    deployment = Deployment(**settings)
    await deployment.platform.start()
    try:
        yield deployment
    finally:
        for host in deployment.hosts:
            await host.stop()
        await deployment.platform.stop()


async def eventually(predicate: Callable[[], bool]) -> None:
    """Wait until `predicate` holds; raise `TimeoutError` if it never does."""
    async with asyncio.timeout(DEADLINE_S):
        while not predicate():
            await asyncio.sleep(0.01)


BOUNDS = ClaimBounds(max_age_ms=60_000, max_ahead_ms=200, max_keys=1_000)
