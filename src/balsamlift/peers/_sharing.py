"""Pass the platform's data on to hosts that cannot read it themselves."""

from __future__ import annotations

from collections.abc import Callable

from balsamlift.clock import Clock
from balsamlift.peers._messages import SharedPlatformState
from balsamlift.peers._peer_statuses import PeerStatus
from balsamlift.peers._shared_records import is_too_large_to_send
from balsamlift.peers._upstreams import Upstreams

# A host that can read the platform has a new configuration within about 10 ms.
# One that lags for longer is sent the configuration, repeatedly if messages
# are lost.
SEND_AFTER_S = 0.4
# The same for a large configuration: a host that reads it must finish before
# others send it over the same link.
SEND_LARGE_AFTER_S = 2.0
RESEND_AFTER_S = 1.0


class Sharing:
    """Pass configuration and list on to peers that cannot read them.

    These are parts of the messages that hosts exchange anyway.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a configuration to share; see `connect`."""
        self._clock = clock
        self._read_configuration: Callable[[], bytes] = bytes
        self._apply: Callable[[bytes], None] | None = None
        self._lagging_since_s: dict[str, float] = {}

    def connect(
        self, read: Callable[[], bytes], apply: Callable[[bytes], None]
    ) -> None:
        """Send what `read` returns and pass received bytes to `apply`."""
        self._read_configuration = read
        self._apply = apply

    def compose(
        self,
        host: str,
        peer_status: PeerStatus | None,
        offset: int,
        upstreams: Upstreams,
    ) -> SharedPlatformState | None:
        """Return the data or requests for a message to `host`, or None.

        `offset` is that of the configuration of this host, `peer_status` the
        last status that the peer sent, if any.
        """
        configuration = self._overdue_configuration(host, peer_status, offset)
        wants_list = upstreams.is_list_unavailable
        listed = []
        if peer_status is not None and peer_status.wants_list:
            listed = upstreams.entries_to_share()
        if not (configuration or wants_list or listed):
            return None
        return SharedPlatformState(wants_list, configuration, listed)

    def apply(
        self, shared: SharedPlatformState | None, upstreams: Upstreams
    ) -> None:
        """Apply what a peer passed on, if anything."""
        if shared is None:
            return
        if shared.configuration and self._apply is not None:
            self._apply(shared.configuration)
        upstreams.apply_peer_list(shared.listed)

    def _overdue_configuration(
        self, host: str, peer_status: PeerStatus | None, offset: int
    ) -> bytes:
        """Return the configuration if the peer lags for too long, else b""."""
        if peer_status is None or peer_status.offset >= offset:
            self._lagging_since_s.pop(host, None)
            return b""
        now_s = self._clock.monotonic()
        since_s = self._lagging_since_s.setdefault(host, now_s)
        configuration = self._read_configuration()
        is_large = is_too_large_to_send(configuration)
        wait_s = SEND_LARGE_AFTER_S if is_large else SEND_AFTER_S
        if now_s - since_s < wait_s:
            return b""
        # Wait before it is sent again, as it may still be in transit.
        self._lagging_since_s[host] = now_s + RESEND_AFTER_S - wait_s
        return configuration
