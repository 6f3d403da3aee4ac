"""The order in which a host that shuts down stops its servers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.relay.shutdown._shutdown import Shutdown

log = logger.bind(part="shutdown")

IDLE_CHECK_INTERVAL_S = 0.02


class CallersServer(Protocol):
    """A server of callers, or of other hosts."""

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is being read, handled or sent."""

    def drain(self) -> None:
        """Close each connection after its next response."""

    async def close(self, within_s: float) -> None:
        """Stop listening, send what is left and close all connections."""


@attrs.frozen(kw_only=True)
class DrainLimits:
    """How long a host serves on, in seconds."""

    listed_s: float  # for which callers may still use its address
    estimates_s: float  # for which calls start by how long others took
    responses_s: float  # until the last responses are due
    send_s: float  # for sending these


async def shut_down(
    shutdown: Shutdown,
    servers: Sequence[CallersServer],
    limits: DrainLimits,
    clock: Clock,
) -> None:
    """Serve what ends in time, then give everything else its response."""
    shutdown.begin(limits.responses_s, limits.estimates_s)
    for server in servers:
        server.drain()
    await clock.sleep(min(limits.listed_s, max(shutdown.left_s, 0.0)))
    while shutdown.left_s > 0 and not _are_idle(servers):
        await clock.sleep(IDLE_CHECK_INTERVAL_S)
    if not _are_idle(servers):
        log.warning("requests still running at the end of the grace period")
    shutdown.close()
    closing = [server.close(limits.send_s) for server in servers]
    await asyncio.gather(*closing)


def _are_idle(servers: Sequence[CallersServer]) -> bool:
    return all(server.is_idle for server in servers)
