"""Run one minimal host for `peer_cost.py` until SIGTERM.

Usage:
  peer_host.py NUMBER PLATFORM FAN_OUT HEARTBEAT_MS CHANGES_PER_S
  peer_host.py --help
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
from typing import Any

from docopt import docopt
from loguru import logger

from balsamlift._http import HttpClient
from balsamlift._tasks import end_task
from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import OperatorsServer
from balsamlift.peers import Peers, Upstreams
from balsamlift.settings import (
    PeerSettings,
    PlatformSettings,
    PoolSettings,
    Settings,
)
from balsamlift.timeline import Timeline


class PresetsStandIn:
    """Report that the configuration is caught up."""

    name = "presets"
    offset = 1_000
    caught_up = True

    async def start(self, kernel: Kernel) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


async def run(arguments: dict[str, Any]) -> None:
    """Run one host until SIGTERM."""
    number = int(arguments["NUMBER"])
    settings = build_settings(
        number,
        arguments["PLATFORM"],
        int(arguments["FAN_OUT"]),
        int(arguments["HEARTBEAT_MS"]),
    )
    clock = SystemClock()
    rng = random.Random(number)
    incarnation = f"{rng.getrandbits(64):016x}"
    timeline = Timeline(settings.host, clock, 20_000)
    operators = OperatorsServer(settings.operators_address)
    http = HttpClient(timeline.stamp, timeline.observe)
    upstreams = Upstreams(settings, clock, http)
    peers = Peers(settings, incarnation, operators.address, clock, rng)
    kernel = Kernel()
    presets = PresetsStandIn()
    for service in (operators, timeline, Metrics(), upstreams, peers, presets):
        kernel.register(service)
    await kernel.start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    ready = {
        "operators_address": operators.address,
        "peers_address": peers.address,
    }
    print(json.dumps(ready), flush=True)
    changes_per_s = int(arguments["CHANGES_PER_S"])
    task = asyncio.create_task(
        change_counts(peers, upstreams, rng, changes_per_s)
    )
    await stopped.wait()
    await end_task(task)
    await kernel.stop()
    http.close()


def build_settings(
    number: int, platform_address: str, fan_out: int, heartbeat_ms: int
) -> Settings:
    """Return the settings of one host, with a silence of six heartbeats."""
    return Settings(
        host=f"host-{number}",
        failure_domain=f"domain-{number % 3}",
        callers_address="127.0.0.1:0",
        operators_address="127.0.0.1:0",
        peers_address="127.0.0.1:0",
        platform=PlatformSettings(
            log_address=platform_address, hosts_address=platform_address
        ),
        pools={"drafting": PoolSettings(kind="engine")},
        peers=PeerSettings(
            heartbeat_ms=heartbeat_ms,
            silence_ms=6 * heartbeat_ms,
            fan_out=fan_out,
        ),
        seed=number + 1,
    )


async def change_counts(
    peers: Peers, upstreams: Upstreams, rng: random.Random, changes_per_s: int
) -> None:
    """Change in-flight counts at the given rate."""
    while changes_per_s:
        known = upstreams.all()
        for _ in range(max(1, changes_per_s // 10)):
            peers.set_in_flight(rng.choice(known).name, rng.randrange(5_000))
        await asyncio.sleep(0.1)


def main() -> None:
    """Run the host described on the command line."""
    logger.remove()
    asyncio.run(run(docopt(__doc__ or "")))


if __name__ == "__main__":
    main()
