"""Read the platform's list again and again, through its outages."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from balsamlift._back_off import BackOff
from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.exceptions import HostsUnavailableError
from balsamlift.metrics import Metrics
from balsamlift.peers._hosts_list import ListEntry
from balsamlift.settings import PlatformSettings
from balsamlift.timeline import Timeline

log = logger.bind(part="upstreams")

# Entries that lapsed while the list was down are back within two seconds of
# its return, where the upstream lives; the platform's operators promise so.
RETURN_S = 2.0
# Calls that are refused cost as much as others. Once the platform is back, a
# host has three seconds to know of all that happened.
AGAIN_MOST_MS = 800


class UpstreamList(Protocol):
    """Read the list of upstreams and entry hosts."""

    async def read(self) -> list[ListEntry] | None:
        """Return all entries, or None when nothing has changed.

        May wait for a change; raises `HostsUnavailableError`.
        """


class ListReader:
    """Hand each reading on, and know how far the list can be trusted."""

    def __init__(
        self,
        source: UpstreamList,
        settings: PlatformSettings,
        clock: Clock,
        rng: random.Random,
        take: Callable[[list[ListEntry] | None], None],
    ) -> None:
        """Call `take` after each reading; None: nothing has changed."""
        self._source = source
        self._settings = settings
        self._clock = clock
        self._random = rng
        self._take = take
        self._reads_for_others: Callable[[], bool] = lambda: True
        self._was_reader = True
        self._trusted_s = -RETURN_S
        self._task: asyncio.Task[None] | None = None
        self._back_off = BackOff(
            rng,
            settings.hosts_poll_ms,
            max(settings.hosts_poll_ms, AGAIN_MOST_MS),
        )
        self.is_down = False

    async def start(self, timeline: Timeline, metrics: Metrics) -> None:
        """Read the list once, then keep reading it."""
        self._timeline = timeline
        self._metrics = metrics
        await self._read()
        self._task = asyncio.create_task(self._keep_reading())

    async def stop(self) -> None:
        """End reading."""
        await end_task(self._task)

    def share(self, reads_for_others: Callable[[], bool]) -> None:
        """Read less often while others tell of changes."""
        self._reads_for_others = reads_for_others

    @property
    def can_remove(self) -> bool:
        """Tell whether what is no longer listed is gone.

        An upstream that could not renew its entry while the list was down
        lives on; dropping it at once would leave its pool empty.
        """
        return self._clock.monotonic() >= self._trusted_s

    def suspend_removals(self) -> None:
        """Keep entries that are missing from the list for `RETURN_S`.

        After an outage or a restore of the store, live upstreams write their
        entries again within this time.
        """
        self._trusted_s = self._clock.monotonic() + RETURN_S

    async def _keep_reading(self) -> None:
        while True:
            await self._clock.sleep(self._pause_s())
            await self._read()

    def _pause_s(self) -> float:
        if self.is_down:
            return self._back_off.failed()
        pause_ms = self._settings.hosts_poll_ms
        if not self._is_reader():
            pause_ms = self._settings.hosts_follow_ms
        return pause_ms / 1_000 * self._random.uniform(0.8, 1.2)

    def _is_reader(self) -> bool:
        """Tell whether this host reads for others; log when that changes."""
        reads = self._reads_for_others()
        if reads != self._was_reader:
            role = "reads the list for others" if reads else "is told the list"
            log.info("{}", role)
            self._was_reader = reads
        return reads

    async def _read(self) -> None:
        """Read the list; when it is down, the last one stays in force."""
        try:
            entries = await self._source.read()
        except HostsUnavailableError as error:
            self._note_down(error)
            return
        self._note_up()
        self._take(entries)

    def _note_down(self, error: HostsUnavailableError) -> None:
        self._metrics.count("hosts.down")
        if self.is_down:
            return
        self.is_down = True
        log.warning("list of hosts is down: {}", error)
        self._timeline.record("hosts_down", reason=error.message)

    def _note_up(self) -> None:
        self._back_off.succeeded()
        if not self.is_down:
            return
        self.is_down = False
        log.info("list of hosts is back")
        self._timeline.record("hosts_up")
        self.suspend_removals()
