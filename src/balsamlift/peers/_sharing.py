"""What hosts pass on to those that cannot read the platform themselves."""

from __future__ import annotations

from collections.abc import Callable

from balsamlift.clock import Clock
from balsamlift.peers._messages import SharedPlatformState
from balsamlift.peers._peer_statuses import PeerStatus
from balsamlift.peers._shared_records import is_too_large
from balsamlift.peers._upstreams import Upstreams

# A host that reads the platform itself has a new configuration within some
# 10 ms; one that lags for longer is told, and again if that was lost.
BEHIND_S = 0.4
# The same for one that is large: its reader has to be done before others send
# it too, over the same link.
BEHIND_LARGE_S = 2.0
AGAIN_S = 1.0


class Sharing:
    """Pass configuration and list on to peers that cannot read them."""

    def __init__(self, clock: Clock) -> None:
        """Share nothing until `connect`."""
        self._clock = clock
        self._read: Callable[[], bytes] = bytes
        self._take: Callable[[bytes], None] | None = None
        self._behind_s: dict[str, float] = {}

    def connect(
        self, read: Callable[[], bytes], take: Callable[[bytes], None]
    ) -> None:
        """Send what `read` returns and hand what comes to `take`."""
        self._read = read
        self._take = take

    def compose(
        self,
        host: str,
        heard: PeerStatus | None,
        offset: int,
        upstreams: Upstreams,
    ) -> SharedPlatformState | None:
        """Return what a peer, or this host, lacks; None: nothing.

        `offset` is of the configuration here, `heard` what the peer told.
        """
        configuration = self._due(host, heard, offset)
        wants_list = upstreams.is_cut_off
        listed = []
        if heard is not None and heard.wants_list:
            listed = upstreams.to_share()
        if not (configuration or wants_list or listed):
            return None
        return SharedPlatformState(wants_list, configuration, listed)

    def take(
        self, shared: SharedPlatformState | None, upstreams: Upstreams
    ) -> None:
        """Take in what a peer passed on, if anything."""
        if shared is None:
            return
        if shared.configuration and self._take is not None:
            self._take(shared.configuration)
        upstreams.take_from_peer(shared.listed)

    def _due(self, host: str, heard: PeerStatus | None, offset: int) -> bytes:
        """Return the configuration if that peer is to be told, else none."""
        if heard is None or heard.offset >= offset:
            self._behind_s.pop(host, None)
            return b""
        now_s = self._clock.monotonic()
        since_s = self._behind_s.setdefault(host, now_s)
        configuration = self._read()
        is_large = is_too_large(configuration)
        wait_s = BEHIND_LARGE_S if is_large else BEHIND_S
        if now_s - since_s < wait_s:
            return b""
        # Wait before it is sent again: it is on its way.
        self._behind_s[host] = now_s + AGAIN_S - wait_s
        return configuration
