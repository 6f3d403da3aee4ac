"""Exchange the folded state between hosts while the log is unreadable."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol, cast

import msgspec
from loguru import logger

from balsamlift._http import CallError, HttpClient
from balsamlift._streaming import StallLimits
from balsamlift.exceptions import ServiceMissingError
from balsamlift.kernel import Kernel
from balsamlift.presets._state import FoldState

log = logger.bind(part="presets")

MAX_PEERS_ASKED = 2
SILENCE_MS = 1_000
OK = 200
NO_CONTENT = 204


class _Peer(Protocol):
    @property
    def host(self) -> str: ...

    @property
    def operators_address(self) -> str: ...

    @property
    def offset(self) -> int: ...


class _Peers(Protocol):
    def live(self) -> Sequence[_Peer]: ...


class PeerStateFetcher:
    """Fetch the folded state of the log from peers."""

    def __init__(
        self, kernel: Kernel, http: HttpClient, rng: random.Random
    ) -> None:
        """Keep the kernel, in which each fetch looks up the peers.

        The service of peers may be missing; then there are none.
        """
        self._kernel = kernel
        self._http = http
        self._rng = rng

    async def fetch(self, offset: int) -> tuple[bool, FoldState | None]:
        """Ask a few peers for a state beyond `offset`.

        Returns whether any peer answered, and the most recent state if one
        was sent.
        """
        answered = False
        furthest: FoldState | None = None
        for peer in self._select_peers(offset):
            try:
                state = await self._fetch_from(peer, offset)
            except (CallError, msgspec.MsgspecError, ValueError) as error:
                log.info(
                    "Could not fetch the state of peer {}: {}.",
                    peer.host,
                    error,
                )
                continue
            answered = True
            if state is not None and state.offset > offset:
                furthest = state
                offset = state.offset
        return answered, furthest

    def _select_peers(self, offset: int) -> list[_Peer]:
        """Return a few random peers, preferring those beyond `offset`."""
        peers = list(self._live_peers())
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: peer.offset <= offset)
        return peers[:MAX_PEERS_ASKED]

    def _live_peers(self) -> Sequence[_Peer]:
        try:
            peers = cast(_Peers, self._kernel.find("peers", object))
        except ServiceMissingError:
            return []
        return peers.live()

    async def _fetch_from(self, peer: _Peer, offset: int) -> FoldState | None:
        url = f"http://{peer.operators_address}/v1/peer/fold?from={offset}"
        answer = await self._http.read(
            url,
            StallLimits(first_byte_ms=SILENCE_MS, silence_ms=SILENCE_MS),
            connect_ms=SILENCE_MS,
            fresh=True,
        )
        if answer.status == NO_CONTENT:
            return None
        if answer.status != OK:
            raise CallError(url, f"answered {answer.status}", sent=True)
        return decode_state(answer.body)


def encode_state(state: FoldState) -> bytes:
    """Return a state encoded as MessagePack."""
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes) -> FoldState:
    """Return the state that a peer sent.

    Raises `msgspec.MsgspecError` or `ValueError` for malformed data.
    """
    return msgspec.msgpack.decode(data, type=FoldState)
