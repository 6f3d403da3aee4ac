"""What one daemon is told at its start."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class PoolSettings:
    """Describe the upstreams of one pool, as the operators know them."""

    kind: str  # "engine" or "service"
    checks_fence: bool = False
    deterministic: bool = False
    tells_by_key: bool = False


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Say where the platform's services listen."""

    log_address: str
    hosts_address: str
    log_silence_ms: int = 2_000
    hosts_poll_ms: int = 1_000


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Bound the traffic between hosts."""

    heartbeat_ms: int = 250
    silence_ms: int = 1_500
    fan_out: int = 16  # peers addressed per round; all at today's size


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Bound what one host holds."""

    body_bytes: int = 1_048_576
    keys: int = 200_000
    key_lifetime_ms: int = 600_000
    answers_bytes: int = 48_000_000
    answer_keep_ms: int = 60_000
    streams: int = 2_000
    timeline_events: int = 20_000


@attrs.frozen(kw_only=True)
class StreamSettings:
    """Bound the silence on streams."""

    heartbeat_ms: int = 1_000
    upstream_silence_ms: int = 3_000
    connect_ms: int = 1_000
    abandon_ms: int = 15_000  # callers gone this long: cancel


@attrs.frozen(kw_only=True)
class Settings:
    """Hold all settings of one daemon."""

    host: str
    failure_domain: str
    callers_address: str  # "IP:port"; port 0 lets the system choose
    operators_address: str  # for operators and peers, HTTP
    peers_address: str  # pynng
    region: str = "region-1"
    platform: PlatformSettings
    pools: dict[str, PoolSettings]
    address_keep_ms: int = 5_000
    shutdown_ms: int = 120_000
    peers: PeerSettings = attrs.field(factory=PeerSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    streams: StreamSettings = attrs.field(factory=StreamSettings)
    log_level: str = "INFO"
    log_json: bool = False
    seed: int = 0  # 0: from the system's entropy
