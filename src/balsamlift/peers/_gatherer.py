"""The answering half of the exchange of counts and records."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pynng
from loguru import logger

from balsamlift._address import join_address, split_address
from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.exceptions import PeerMessageError, PeersAddressError
from balsamlift.peers._counts import PeerCounts
from balsamlift.peers._messages import (
    CountsSums,
    CountsUpdate,
    decode_update,
    encode_counts,
)
from balsamlift.peers._shared_records import SharedRecords

log = logger.bind(part="peers")

# A host that was not heard for this long is taken as gone, with its counts.
KEEP_S = 3.0
ANSWERERS = 4  # that wait for messages at once; each answers immediately
MOST_BYTES = 1 << 20  # of a question or an answer


class Gatherer:
    """Add up what the hosts tell, and tell each what the others have."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        own: Callable[[], CountsUpdate],
        records: SharedRecords,
    ) -> None:
        """Listen on "IP:port"; raises `PeersAddressError`."""
        self._records = records
        self._rep = pynng.Rep0(recv_max_size=MOST_BYTES)
        ip, port = split_address(address)
        try:
            listener = self._rep.listen(f"tcp://{join_address(ip, port)}")
        except pynng.NNGException as error:
            self._rep.close()
            raise PeersAddressError(address, str(error)) from error
        bound_port = socket.ntohs(listener.local_address.port)
        self.address = join_address(ip, bound_port)
        self._clock = clock
        self._own = own
        self._counts = PeerCounts()
        self._latest: dict[str, tuple[str, int]] = {}
        self._told_s: dict[str, float] = {}
        self._contexts: list[pynng.Context] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._is_open = True

    def start(self) -> None:
        """Begin to answer."""
        self._contexts = [self._rep.new_context() for _ in range(ANSWERERS)]
        self._tasks = [
            asyncio.create_task(self._keep_answering(context))
            for context in self._contexts
        ]

    async def stop(self) -> None:
        """Close the address."""
        self._is_open = False  # a closed context cannot be asked
        for context in self._contexts:
            context.close()  # first: one cannot be closed after its socket
        self._rep.close()
        for task in self._tasks:
            await end_task(task)

    def take(self, update: CountsUpdate) -> CountsSums:
        """Take in what a host tells; return what all others have."""
        now_s = self._clock.monotonic()
        if self._is_news(update):
            self._counts.take(update.host, update.counts, full=True)
            self._told_s[update.host] = now_s
        for host, told_s in list(self._told_s.items()):
            if now_s - told_s > KEEP_S:
                self._counts.drop(host)
                del self._told_s[host]
                del self._latest[host]
        answer = self._records.answer(update.position)
        if not update.wants_sums:
            return CountsSums({}, answer)
        return CountsSums(self._counts.sums_without(update.host), answer)

    def _is_news(self, update: CountsUpdate) -> bool:
        before = self._latest.get(update.host)
        if before is not None:
            incarnation, seq = before
            if incarnation == update.incarnation and update.seq <= seq:
                return False
        self._latest[update.host] = (update.incarnation, update.seq)
        return True

    async def _keep_answering(self, context: pynng.Context) -> None:
        while self._is_open:
            try:
                update = decode_update(await context.arecv())
                self.take(self._own())
                await context.asend(encode_counts(self.take(update)))
            except pynng.Closed:
                return
            except (pynng.NNGException, PeerMessageError) as error:
                # Without an answer, the sender goes by its partners.
                log.warning("counts not taken in: {}", error)
