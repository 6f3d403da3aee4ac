"""In-flight counts of all hosts, gathered at one of them.

The gathering host answers with what it knows of the platform's records too,
so that the others need not read them.

Up to the fan-out, each host hears the counts of all others. Beyond it, a sum
scaled up from the partners says little of an engine with room for few
generations. So all hosts tell one of them, which answers with the sums.
It holds nothing that lasts: another takes its place as soon as it is gone.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Collection, Mapping

import attrs
import pynng
from loguru import logger

from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.exceptions import PeerMessageError
from balsamlift.metrics import Metrics
from balsamlift.peers._gatherer import MOST_BYTES, Gatherer
from balsamlift.peers._host_ranks import rank_hosts
from balsamlift.peers._messages import (
    CountsSums,
    CountsUpdate,
    decode_sums,
    encode_counts,
)
from balsamlift.peers._shared_records import Position, SharedRecords

log = logger.bind(part="peers")

# Counts are told with each generation that begins or ends; this often at
# least, so that a host that has just become the one to tell knows all.
REFRESH_S = 1.0
# Sums older than this are not used: the partners' are newer.
FRESH_S = 1.5
# Newer ones hold what was placed just before; with older ones, hosts choose
# what all others choose too.
RECENT_S = 0.2
# A generation waits no longer for better counts.
ANSWER_MS = 80
# One that did not answer is passed over for this long.
AVOID_S = 1.0
# Hosts asked in a row when one does not answer: what this host goes by must
# not grow old over one that has just died.
MOST_ASKED = 3


@attrs.frozen
class GatheringHost:
    """Hold where a live host listens for counts."""

    host: str
    address: str


class Gathering:
    """Tell the gathering host this one's counts, and know the others'."""

    def __init__(
        self,
        own_host: str,
        clock: Clock,
        own: Callable[[], dict[str, int]],
        incarnation: str,
        address: str,
        records: SharedRecords | None = None,
    ) -> None:
        """Gather at `address` too, should it be this host's turn."""
        self._records = records or SharedRecords(clock)
        self.host = own_host
        self._clock = clock
        self._own = own
        self._incarnation = incarnation
        self._seqs = itertools.count(1)
        self._gatherer = Gatherer(address, clock, self._update, self._records)
        self.address = self._gatherer.address
        self._hosts: Callable[[], Collection[GatheringHost]] = tuple
        self._avoided_s: dict[str, float] = {}
        self._sums: Mapping[str, int] = {}
        self._summed_s: float | None = None
        self._told_host = ""
        self._dialled = ""
        self._req: pynng.Req0 | None = None
        self._wake = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []
        self._task: asyncio.Task[None] | None = None
        self._metrics = Metrics()

    def start(
        self, hosts: Callable[[], Collection[GatheringHost]], metrics: Metrics
    ) -> None:
        """Begin; `hosts` returns the other live ones, none while few."""
        self._hosts = hosts
        self._metrics = metrics
        self._gatherer.start()
        self._task = asyncio.create_task(self._keep_telling())

    async def stop(self) -> None:
        """Close all connections."""
        await self._gatherer.stop()
        await end_task(self._task)
        self._hang_up()

    @property
    def is_fresh(self) -> bool:
        """Tell whether the sums can be used."""
        if self._summed_s is None:
            return False
        return self._clock.monotonic() - self._summed_s <= FRESH_S

    @property
    def is_recent(self) -> bool:
        """Tell whether the sums hold all but what is placed just now."""
        if self._summed_s is None:
            return False
        return self._clock.monotonic() - self._summed_s <= RECENT_S

    def others(self, upstream: str) -> int:
        """Return the sum over all other hosts."""
        return self._sums.get(upstream, 0)

    def tell(self) -> None:
        """Tell this host's counts at once."""
        self._wake.set()

    async def refresh(self) -> None:
        """Wait for sums that were asked for from now on, or for a moment."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._wake.set()
        await asyncio.wait([waiter], timeout=2 * ANSWER_MS / 1_000)

    def _update(
        self, *, wants_sums: bool = False, position: Position | None = None
    ) -> CountsUpdate:
        return CountsUpdate(
            self.host,
            self._incarnation,
            next(self._seqs),
            self._own(),
            wants_sums=wants_sums,
            position=position,
        )

    async def _keep_telling(self) -> None:
        while True:
            try:
                async with asyncio.timeout(REFRESH_S):
                    await self._wake.wait()
            except TimeoutError:
                pass  # nothing to tell: a refresh is due
            self._wake.clear()
            waiters, self._waiters = self._waiters, []
            await self._exchange(wants_sums=bool(waiters))
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def _exchange(self, *, wants_sums: bool) -> None:
        """Tell the gathering host, and take its sums in if wanted."""
        for _ in range(MOST_ASKED):
            found = self._find()
            if found is None:
                self._summed_s = None
                return
            if found.host != self._told_host:
                self._told_host = found.host
                log.bind(host_told=found.host).info("counts gathered there")
            asked_s = self._clock.monotonic()
            sums = await self._tell_host(found, wants_sums)
            if sums is not None:
                self._take_sums(sums, asked_s, wants_sums)
                await self._ask_others(found)
                return
            self._avoid(found)

    def _avoid(self, found: GatheringHost) -> None:
        self._avoided_s[found.host] = self._clock.monotonic() + AVOID_S

    async def _ask_others(self, told: GatheringHost) -> None:
        """Ask the next hosts for records that the one told cannot read.

        The store may turn that one away and serve others, which read as soon
        as they are asked.
        """
        for found in self._ranked()[:MOST_ASKED]:
            if self._records.is_fresh:
                return
            if found.host in (told.host, self.host):
                continue
            asked_s = self._clock.monotonic()
            sums = await self._tell_host(found, wants_sums=False)
            if sums is None:
                self._avoid(found)
            else:
                self._records.apply_answer(sums.records, asked_s)

    async def _tell_host(
        self, found: GatheringHost, wants_sums: bool
    ) -> CountsSums | None:
        if found.host == self.host:
            return self._gatherer.take(self._update(wants_sums=wants_sums))
        position = self._records.position()
        update = self._update(wants_sums=wants_sums, position=position)
        return await self._ask(found, update)

    def _take_sums(
        self, sums: CountsSums, asked_s: float, wants_sums: bool
    ) -> None:
        self._records.apply_answer(sums.records, asked_s)
        if wants_sums:
            self._sums = sums.counts
            self._summed_s = self._clock.monotonic()

    def _find(self) -> GatheringHost | None:
        """Return the host that gathers, as far as this one knows."""
        return next(iter(self._ranked()), None)

    def _ranked(self) -> list[GatheringHost]:
        """Return the hosts that may gather, the one to tell first."""
        known = {each.host: each for each in self._hosts()}
        if not known:
            return []
        known[self.host] = GatheringHost(self.host, self.address)
        now_s = self._clock.monotonic()
        return [
            known[host]
            for host in rank_hosts(known)
            if self._avoided_s.get(host, 0.0) <= now_s
        ]

    async def _ask(
        self, found: GatheringHost, update: CountsUpdate
    ) -> CountsSums | None:
        try:
            if self._dialled != found.address:
                self._dial(found.address)
            assert self._req is not None
            with self._req.new_context() as context:
                await context.asend(encode_counts(update))
                answer = await context.arecv()
            self._metrics.count("peers.sums_received")
            return decode_sums(answer)
        except (pynng.NNGException, PeerMessageError) as error:
            self._metrics.count("peers.sums_missed")
            log.bind(host_asked=found.host).info("no sums: {}", error)
            self._hang_up()
            return None

    def _dial(self, address: str) -> None:
        self._hang_up()
        self._req = pynng.Req0(
            recv_max_size=MOST_BYTES,
            recv_timeout=ANSWER_MS,
            send_timeout=ANSWER_MS,
        )
        self._req.dial(f"tcp://{address}", block=False)
        self._dialled = address

    def _hang_up(self) -> None:
        if self._req is not None:
            self._req.close()
        self._req = None
        self._dialled = ""
