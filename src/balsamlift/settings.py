"""Settings that a daemon reads when it starts."""

from __future__ import annotations

from pathlib import Path

import attrs

from balsamlift._validators import (
    DAY_MS,
    address,
    address_or_empty,
    between,
    identifier,
    longer_than,
    one_of,
    plain_keys,
    remote_address,
)
from balsamlift.exceptions import FieldError

POOL_KINDS = ("engine", "service")
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")

MAX_POOLS = 1_000

_MINUTE_MS = 60_000
_HOUR_MS = 60 * _MINUTE_MS
_GIBIBYTE = 1 << 30
_MAX_SEED = (1 << 63) - 1


@attrs.frozen(kw_only=True)
class PoolSettings:
    """Describe the upstreams of one pool and what they support."""

    kind: str = attrs.field(validator=one_of(*POOL_KINDS))
    checks_fence: bool = False
    deterministic: bool = False
    tells_by_key: bool = False


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Hold the addresses of the platform's services and how to read them."""

    log_address: str = attrs.field(validator=remote_address)
    hosts_address: str = attrs.field(validator=remote_address)
    # Retention of records in the log; checkpoints are renewed well before.
    log_retention_ms: int = attrs.field(
        default=600_000, validator=between(1_000, 30 * DAY_MS)
    )
    log_silence_ms: int = attrs.field(
        default=2_000, validator=between(10, _MINUTE_MS)
    )
    hosts_poll_ms: int = attrs.field(
        default=1_000, validator=between(10, _MINUTE_MS)
    )
    # Number of hosts that read the hosts list for all. The other hosts use
    # what these send, and read the list themselves every `hosts_follow_ms`.
    hosts_readers: int = attrs.field(default=9, validator=between(1, 10_000))
    hosts_follow_ms: int = attrs.field(
        default=1_000, validator=between(10, _MINUTE_MS)
    )
    # After an outage of the hosts list, within which a host has to know all
    # changes.
    contact_ms: int = attrs.field(
        default=3_000, validator=between(10, _MINUTE_MS)
    )


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Limit the traffic between hosts."""

    heartbeat_ms: int = attrs.field(
        default=1_000, validator=between(10, _MINUTE_MS)
    )
    silence_ms: int = attrs.field(
        default=4_000,
        validator=[between(20, _MINUTE_MS), longer_than("heartbeat_ms")],
    )
    # Peers that are sent a message per round; the default covers all peers of
    # today's deployments.
    fan_out: int = attrs.field(default=8, validator=between(1, 1_000))


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limit the memory, keys and streams of one host."""

    body_bytes: int = attrs.field(
        default=1_048_576, validator=between(1_024, _GIBIBYTE)
    )
    keys: int = attrs.field(default=200_000, validator=between(1, 100_000_000))
    key_lifetime_ms: int = attrs.field(
        default=600_000, validator=between(100, DAY_MS)
    )
    answers_bytes: int = attrs.field(
        default=48_000_000, validator=between(1_024, 64 * _GIBIBYTE)
    )
    answer_keep_ms: int = attrs.field(
        default=60_000, validator=between(100, DAY_MS)
    )
    streams: int = attrs.field(default=2_000, validator=between(1, 1_000_000))
    timeline_events: int = attrs.field(
        default=20_000, validator=between(1, 10_000_000)
    )
    # What clients of all addresses may make this host hold.
    client_memory_bytes: int = attrs.field(
        default=134_217_728, validator=between(1_048_576, 64 * _GIBIBYTE)
    )
    client_connections: int = attrs.field(
        default=4_000, validator=between(1, 1_000_000)
    )


@attrs.frozen(kw_only=True)
class StreamSettings:
    """Limit how long streams may be silent."""

    heartbeat_ms: int = attrs.field(
        default=1_000, validator=between(10, _MINUTE_MS)
    )
    upstream_silence_ms: int = attrs.field(
        default=3_000, validator=between(20, 10 * _MINUTE_MS)
    )
    connect_ms: int = attrs.field(
        default=1_000, validator=between(10, _MINUTE_MS)
    )
    # Cancel a generation after its caller has been gone for this long.
    abandon_ms: int = attrs.field(
        default=15_000, validator=between(10, _HOUR_MS)
    )


@attrs.frozen(kw_only=True)
class OrderSettings:
    """Configure the lease, the orders to engines and the model loads."""

    term_ms: int = attrs.field(
        default=10_000, validator=between(100, _HOUR_MS)
    )
    # The holder renews its lease when less than this is left.
    renew_ms: int = attrs.field(default=4_000, validator=between(50, _HOUR_MS))
    # Interval between checks of the lease.
    look_ms: int = attrs.field(default=200, validator=between(1, _MINUTE_MS))
    # Attempts to take an expired lease are spread over this time per live
    # host.
    spread_ms: int = attrs.field(default=100, validator=between(1, _MINUTE_MS))
    # Timeout of an order.
    send_ms: int = attrs.field(default=2_000, validator=between(10, _HOUR_MS))
    # An order is sent only with `send_ms` and this much of the lease left.
    margin_ms: int = attrs.field(default=500, validator=between(10, _HOUR_MS))
    # Interval between sweeps over the engines of a pool.
    sweep_ms: int = attrs.field(default=1_000, validator=between(1, _HOUR_MS))
    # Pause between reading the states of two engines.
    read_ms: int = attrs.field(default=100, validator=between(1, _MINUTE_MS))
    # Interval between reads of the state of an engine that loads.
    poll_ms: int = attrs.field(default=200, validator=between(1, _MINUTE_MS))
    # An order without effect is sent again after this time.
    repeat_ms: int = attrs.field(default=3_000, validator=between(1, _HOUR_MS))
    # Timeout for an engine to reach the ordered state.
    load_ms: int = attrs.field(default=120_000, validator=between(1, DAY_MS))
    # Per pool; the engines of a pool never all load at the same time.
    loads_at_once: int = attrs.field(default=1, validator=between(1, 1_000))

    def __attrs_post_init__(self) -> None:
        """Check that a lease is renewed while orders may still be sent."""
        order_ms = self.send_ms + self.margin_ms
        if self.renew_ms <= order_ms:
            raise FieldError(
                "renew_ms",
                f"more than send_ms and margin_ms together ({order_ms}), "
                f"not {self.renew_ms}",
            )
        if self.term_ms <= self.renew_ms:
            raise FieldError(
                "term_ms",
                f"more than renew_ms ({self.renew_ms}), not {self.term_ms}",
            )


@attrs.frozen(kw_only=True)
class Settings:
    """Hold all settings of one daemon.

    Addresses are "IP:port"; port 0 lets the system choose a free one.
    """

    host: str = attrs.field(validator=identifier)
    failure_domain: str = attrs.field(validator=identifier)
    callers_address: str = attrs.field(validator=address)
    operators_address: str = attrs.field(validator=address)
    peers_address: str = attrs.field(validator=address)
    # Where the counts of all hosts are collected; by default any free port.
    counts_address: str = attrs.field(default="", validator=address_or_empty)
    region: str = attrs.field(default="region-1", validator=identifier)
    platform: PlatformSettings
    pools: dict[str, PoolSettings] = attrs.field(
        validator=plain_keys(MAX_POOLS)
    )
    address_keep_ms: int = attrs.field(
        default=5_000, validator=between(10, _HOUR_MS)
    )
    shutdown_ms: int = attrs.field(
        default=120_000, validator=between(10, DAY_MS)
    )
    peers: PeerSettings = attrs.field(factory=PeerSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    streams: StreamSettings = attrs.field(factory=StreamSettings)
    orders: OrderSettings = attrs.field(factory=OrderSettings)
    log_level: str = attrs.field(default="INFO", validator=one_of(*LOG_LEVELS))
    log_json: bool = False
    # 0 uses a random seed from the operating system.
    seed: int = attrs.field(default=0, validator=between(0, _MAX_SEED))


def load_settings(file: str | Path) -> Settings:
    """Return the settings in a file.

    Raises `SettingsError` for the first error.
    """
    # Imported here, so that a daemon that gets its settings in another form
    # does not import the parsers.
    from balsamlift._loading import load

    return load(file, Settings)
