"""The server side of the exchange of counts and records."""

from __future__ import annotations

from collections.abc import Callable

from balsamlift.clients import ClientMemory
from balsamlift.clock import Clock
from balsamlift.peers._counts import PeerCounts
from balsamlift.peers._message_server import MessageServer, Pattern
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

# The counts of a host that has sent no update for this long are dropped.
HOST_TIMEOUT_S = 3.0


class CountsAggregator:
    """Sum up the counts of all hosts and answer each with the others' sums."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        own: Callable[[], CountsUpdate],
        records: SharedRecords,
        memory: ClientMemory | None = None,
    ) -> None:
        """Bind "IP:port"; raises `PeersAddressError`.

        `memory` is shared with other listeners; the default is its own.
        """
        self._records = records
        self._server = MessageServer(address, Pattern.REQUEST, clock, memory)
        self.address = self._server.address
        self._clock = clock
        self._own = own
        self._counts = PeerCounts()
        self._latest: dict[str, tuple[str, int]] = {}
        self._updated_s: dict[str, float] = {}
        self._grant: Callable[[PermitRequest], PermitAnswer] | None = None

    def answer_permits(
        self, grant: Callable[[PermitRequest], PermitAnswer]
    ) -> None:
        """Answer requests for permits with the result of `grant`."""
        self._grant = grant

    def start(self) -> None:
        """Start answering updates."""
        self._server.start(self._answer)

    async def stop(self) -> None:
        """Close the address and all connections."""
        await self._server.stop()

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

    def _answer(self, request: bytes) -> bytes:
        if self._grant is not None and is_permit_request(request):
            permit = decode_permit_request(request)
            return encode_permit(self._grant(permit))
        update = decode_update(request)
        self.handle_update(self._own())
        return encode_counts(self.handle_update(update))
