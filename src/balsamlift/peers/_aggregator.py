"""The server side of the exchange of counts and records."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial

import pynng
from loguru import logger

from balsamlift._address import join_address, split_address
from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.exceptions import PeerMessageError, PeersAddressError
from balsamlift.peers._counts import PeerCounts
from balsamlift.peers._messages import (
    CountsSums,
    CountsUpdate,
    PermitAnswer,
    PermitRequest,
    decode_permit_request,
    decode_update,
    encode_counts,
    encode_permit,
    is_permit_request,
)
from balsamlift.peers._shared_records import SharedRecords

log = logger.bind(part="peers")

# The counts of a host that has sent no update for this long are dropped.
HOST_TIMEOUT_S = 3.0
WORKERS = 4  # wait for messages concurrently; each answers immediately
MAX_MESSAGE_BYTES = 1 << 20  # of an update or an answer


class CountsAggregator:
    """Sum up the counts of all hosts and answer each with the others' sums."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        own: Callable[[], CountsUpdate],
        records: SharedRecords,
    ) -> None:
        """Listen on "IP:port"; raises `PeersAddressError`."""
        self._records = records
        self._rep = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
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
        self._updated_s: dict[str, float] = {}
        self._contexts: list[pynng.Context] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._is_open = True
        self._grant: Callable[[PermitRequest], PermitAnswer] | None = None

    def answer_permits(
        self, grant: Callable[[PermitRequest], PermitAnswer]
    ) -> None:
        """Answer requests for permits with the result of `grant`."""
        self._grant = grant

    def start(self) -> None:
        """Start answering updates."""
        self._contexts = [self._rep.new_context() for _ in range(WORKERS)]
        self._tasks = [
            start_task(
                "counts from hosts",
                partial(self._serve, context),
                self._clock,
            )
            for context in self._contexts
        ]

    async def stop(self) -> None:
        """Close the address and stop answering."""
        self._is_open = False  # a closed context cannot be read
        for context in self._contexts:
            context.close()  # not possible once its socket is closed
        self._rep.close()
        for task in self._tasks:
            await end_task(task)

    def handle_update(self, update: CountsUpdate) -> CountsSums:
        """Apply an update of a host; return the sums over all others."""
        now_s = self._clock.monotonic()
        if self._is_newer(update):
            self._counts.update(update.host, update.counts, full=True)
            self._updated_s[update.host] = now_s
        for host, updated_s in list(self._updated_s.items()):
            if now_s - updated_s > HOST_TIMEOUT_S:
                self._counts.drop(host)
                del self._updated_s[host]
                del self._latest[host]
        answer = self._records.answer(update.position)
        if not update.wants_sums:
            return CountsSums({}, answer)
        return CountsSums(self._counts.sums_without(update.host), answer)

    def _is_newer(self, update: CountsUpdate) -> bool:
        before = self._latest.get(update.host)
        if before is not None:
            incarnation, seq = before
            if incarnation == update.incarnation and update.seq <= seq:
                return False
        self._latest[update.host] = (update.incarnation, update.seq)
        return True

    async def _serve(self, context: pynng.Context) -> None:
        while self._is_open:
            try:
                await context.asend(self._answer(await context.arecv()))
            except pynng.Closed:
                return
            except (pynng.NNGException, PeerMessageError) as error:
                # Without an answer, the sender uses its partners' counts.
                log.warning("could not answer a counts update: {}", error)

    def _answer(self, request: bytes) -> bytes:
        if self._grant is not None and is_permit_request(request):
            permit = decode_permit_request(request)
            return encode_permit(self._grant(permit))
        update = decode_update(request)
        self.handle_update(self._own())
        return encode_counts(self.handle_update(update))
