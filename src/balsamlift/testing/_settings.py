"""Settings of the stand-ins."""

from __future__ import annotations

import attrs

from balsamlift._validators import address as ip_and_port
from balsamlift._validators import between
from balsamlift.testing._engine_types import EngineParameters

LOOPBACK_IP = "127.0.0.1"
ANY_PORT = f"{LOOPBACK_IP}:0"
DEFAULT_KIND = "default"


@attrs.frozen(kw_only=True)
class LengthSettings:
    """Give a log-normal distribution of output lengths, in tokens."""

    median: float = attrs.field(default=200.0, validator=between(1, 1e6))
    sigma: float = attrs.field(default=0.8, validator=between(0, 5))


def _default_lengths() -> dict[str, LengthSettings]:
    return {DEFAULT_KIND: LengthSettings()}


@attrs.frozen(kw_only=True)
class EngineSettings:
    """Configure one engine; an empty platform address means none."""

    name: str = "engine-1"
    address: str = attrs.field(default=ANY_PORT, validator=ip_and_port)
    pool: str = "drafting"
    failure_domain: str = "domain-1"
    platform_address: str = ""
    model: str = "model-a"
    version: str = "1"
    adapters: list[str] = attrs.field(factory=list)
    role: str = "mixed"
    seed: int = 1
    checks_fence: bool = True
    tells_by_key: bool = True
    deterministic: bool = False
    load_lag_ms: int = 500
    cache_lag_ms: int = 500
    cache_gap_ratio: float = attrs.field(default=0.05, validator=between(0, 1))
    model_load_ms: int = 500  # after the weights have been fetched
    parameters: EngineParameters = attrs.field(factory=EngineParameters)
    lengths: dict[str, LengthSettings] = attrs.field(factory=_default_lengths)
    tokens_per_frame: int = attrs.field(
        default=1, validator=between(1, 10_000)
    )
    flush_ms: int = 50  # an incomplete frame is sent after this time
    retention_ms: int = 60_000


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """Configure one plain service."""

    name: str = "service-1"
    address: str = attrs.field(default=ANY_PORT, validator=ip_and_port)
    pool: str = "tracker"
    failure_domain: str = "domain-1"
    platform_address: str = ""
    tells_by_key: bool = True
    deduplicates: bool = False
    max_running: int = 1_000
    work_ms: int = 2


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Configure the platform: log, list of hosts and weight store."""

    name: str = "platform"
    address: str = attrs.field(default=ANY_PORT, validator=ip_and_port)
    log_retention_ms: int = 600_000
    log_retention_records: int = 100_000
    log_appends_per_s: float = 300.0  # the platform allows several hundred
    hosts_lag_ms: int = 1_000
    weight_loads_per_s: float = 1.0


@attrs.frozen(kw_only=True)
class LinkSettings:
    """Configure one link, which relays from an address to a target."""

    name: str = "link-1"
    address: str = attrs.field(default=ANY_PORT, validator=ip_and_port)
    target_address: str = attrs.field(validator=ip_and_port)
    control_address: str = attrs.field(default=ANY_PORT, validator=ip_and_port)
