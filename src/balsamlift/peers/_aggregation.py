"""In-flight counts of all hosts, aggregated at one of them.

The aggregating host also answers with what it knows of the platform's
records, so that the others need not read them.

Up to the fan-out, each host receives the counts of all others. Beyond it, a
sum scaled up from the partners is too imprecise for an engine with memory for
few generations. So all hosts send their counts to one of them, which answers
with the sums. It keeps no durable state: another host replaces it as soon as
it is gone.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Collection, Mapping

import attrs
import pynng
from loguru import logger

from balsamlift._tasks import end_task, start_task
from balsamlift.clients import ClientMemory
from balsamlift.clock import Clock
from balsamlift.exceptions import PeerMessageError
from balsamlift.metrics import Metrics
from balsamlift.peers._aggregator import CountsAggregator
from balsamlift.peers._counts import under_prefix
from balsamlift.peers._host_ranks import rank_hosts
from balsamlift.peers._messages import (
    CountsSums,
    CountsUpdate,
    PermitAnswer,
    PermitRequest,
    decode_sums,
    encode_counts,
)
from balsamlift.peers._request_socket import RequestSocket
from balsamlift.peers._shared_records import Position, SharedRecords

log = logger.bind(part="peers")

# Counts are sent with each generation that begins or ends, and at least this
# often, so that a host that has just become the aggregator receives them all.
REFRESH_INTERVAL_S = 1.0
# Sums older than this are not used: the partners' counts are newer.
MAX_FRESH_AGE_S = 1.5
# Sums newer than this include the latest placements. With older ones, all
# hosts choose the same upstreams.
MAX_RECENT_AGE_S = 0.2
# A generation waits no longer for better counts.
ANSWER_TIMEOUT_MS = 80
# A host that did not answer is skipped for this long.
AVOID_TIME_S = 1.0
# Hosts asked in a row when one does not answer: the sums of this host must not
# become stale because the aggregator has just died.
MAX_HOSTS_ASKED = 3


@attrs.frozen
class AggregatorHost:
    """Hold the address at which a live host listens for counts."""

    host: str
    address: str


class CountsAggregation:
    """Send this host's counts to the aggregator and keep its sums."""

    def __init__(
        self,
        own_host: str,
        clock: Clock,
        own: Callable[[], dict[str, int]],
        incarnation: str,
        address: str,
        records: SharedRecords | None = None,
        memory: ClientMemory | None = None,
    ) -> None:
        """Listen at `address`, to aggregate when this host ranks first.

        `memory` is shared with other listeners; the default is its own.
        """
        self._records = records or SharedRecords(clock)
        self.host = own_host
        self._clock = clock
        self._own = own
        self._incarnation = incarnation
        self._seqs = itertools.count(1)
        self._aggregator = CountsAggregator(
            address, clock, self._build_update, self._records, memory
        )
        self.address = self._aggregator.address
        self._hosts: Callable[[], Collection[AggregatorHost]] = tuple
        self._avoided_s: dict[str, float] = {}
        self._sums: Mapping[str, int] = {}
        self._sums_received_s: float | None = None
        self._last_aggregator = ""
        self._socket = RequestSocket(ANSWER_TIMEOUT_MS)
        self._wake = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []
        self._task: asyncio.Task[None] | None = None
        self._metrics = Metrics()

    def start(
        self, hosts: Callable[[], Collection[AggregatorHost]], metrics: Metrics
    ) -> None:
        """Start; `hosts` returns the other live hosts, none while few."""
        self._hosts = hosts
        self._metrics = metrics
        self._aggregator.start()
        self._task = start_task(
            "counts to the aggregator", self._keep_sending, self._clock
        )

    def answer_permits(
        self, grant: Callable[[PermitRequest], PermitAnswer]
    ) -> None:
        """Answer requests for permits at the same address."""
        self._aggregator.answer_permits(grant)

    async def stop(self) -> None:
        """Close all connections."""
        await self._aggregator.stop()
        await end_task(self._task)
        self._socket.close()

    @property
    def is_fresh(self) -> bool:
        """Return whether the sums are new enough to be used."""
        if self._sums_received_s is None:
            return False
        return (
            self._clock.monotonic() - self._sums_received_s <= MAX_FRESH_AGE_S
        )

    @property
    def is_recent(self) -> bool:
        """Return whether the sums lack only the very latest placements."""
        if self._sums_received_s is None:
            return False
        return (
            self._clock.monotonic() - self._sums_received_s <= MAX_RECENT_AGE_S
        )

    def others(self, upstream: str) -> int:
        """Return the sum over all other hosts."""
        return self._sums.get(upstream, 0)

    def others_under(self, prefix: str) -> dict[str, int]:
        """Return the sums over all other hosts under a prefix."""
        return under_prefix(self._sums, prefix)

    def send(self) -> None:
        """Send this host's counts at once."""
        self._wake.set()

    async def refresh(self) -> None:
        """Wait, for a limited time, for sums that are requested from now."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._wake.set()
        await asyncio.wait([waiter], timeout=2 * ANSWER_TIMEOUT_MS / 1_000)

    def _build_update(
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

    async def _keep_sending(self) -> None:
        while True:
            try:
                async with asyncio.timeout(REFRESH_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass  # no change to send: a refresh is due
            self._wake.clear()
            waiters, self._waiters = self._waiters, []
            await self._exchange(wants_sums=bool(waiters))
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def _exchange(self, *, wants_sums: bool) -> None:
        """Send counts to the aggregator and store its sums if wanted."""
        for _ in range(MAX_HOSTS_ASKED):
            aggregator = self._find_aggregator()
            if aggregator is None:
                self._sums_received_s = None
                return
            if aggregator.host != self._last_aggregator:
                self._last_aggregator = aggregator.host
                log.bind(host_told=aggregator.host).info(
                    "counts aggregator changed"
                )
            asked_s = self._clock.monotonic()
            sums = await self._exchange_with(aggregator, wants_sums)
            if sums is not None:
                self._store_sums(sums, asked_s, wants_sums)
                await self._request_missing_records(aggregator)
                return
            self._avoid(aggregator)

    def _avoid(self, target: AggregatorHost) -> None:
        self._avoided_s[target.host] = self._clock.monotonic() + AVOID_TIME_S

    async def _request_missing_records(
        self, aggregator: AggregatorHost
    ) -> None:
        """Ask the next hosts for records that the aggregator cannot read.

        The store may refuse that one and serve others, which read as soon as
        they are asked.
        """
        for candidate in self._ranked()[:MAX_HOSTS_ASKED]:
            if self._records.is_fresh:
                return
            if candidate.host in (aggregator.host, self.host):
                continue
            asked_s = self._clock.monotonic()
            sums = await self._exchange_with(candidate, wants_sums=False)
            if sums is None:
                self._avoid(candidate)
            else:
                self._records.apply_answer(sums.records, asked_s)

    async def _exchange_with(
        self, target: AggregatorHost, wants_sums: bool
    ) -> CountsSums | None:
        if target.host == self.host:
            return self._aggregator.handle_update(
                self._build_update(wants_sums=wants_sums)
            )
        position = self._records.position()
        update = self._build_update(wants_sums=wants_sums, position=position)
        return await self._ask(target, update)

    def _store_sums(
        self, sums: CountsSums, asked_s: float, wants_sums: bool
    ) -> None:
        self._records.apply_answer(sums.records, asked_s)
        if wants_sums:
            self._sums = sums.counts
            self._sums_received_s = self._clock.monotonic()

    def _find_aggregator(self) -> AggregatorHost | None:
        """Return the aggregator as computed by this host."""
        return next(iter(self._ranked()), None)

    def _ranked(self) -> list[AggregatorHost]:
        """Return the hosts that may aggregate, the preferred one first."""
        known = {each.host: each for each in self._hosts()}
        if not known:
            return []
        known[self.host] = AggregatorHost(self.host, self.address)
        now_s = self._clock.monotonic()
        return [
            known[host]
            for host in rank_hosts(known)
            if self._avoided_s.get(host, 0.0) <= now_s
        ]

    async def _ask(
        self, target: AggregatorHost, update: CountsUpdate
    ) -> CountsSums | None:
        try:
            answer = await self._socket.ask(
                target.address, encode_counts(update)
            )
            self._metrics.count("peers.sums_received")
            return decode_sums(answer)
        except (pynng.NNGException, PeerMessageError) as error:
            self._metrics.count("peers.sums_missed")
            log.bind(host_asked=target.host).info(
                "no sums received: {}", error
            )
            return None
