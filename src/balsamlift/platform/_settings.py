"""Settings of a process as the platform writes them."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import attrs

from balsamlift._address import join_address
from balsamlift.exceptions import SettingsError
from balsamlift.peers import FreshnessLimits
from balsamlift.platform._names import HEADERS
from balsamlift.relay import ColdLimits, RelaySettings, RetryLimits
from balsamlift.settings import (
    PeerSettings,
    PlatformSettings,
    PoolSettings,
    Settings,
)

FILE_VARIABLE = "BALSAMLIFT_NODE_FILE"

# The port under `metrics` in the deploy file, which cannot name one of a day.
METRICS_PORT = 9464

# News of load age by this much before others see them.
HEARTBEAT_MS = 250
SILENCE_MS = 1_500  # six heartbeats
# Each host hears from all others up to this many.
FAN_OUT = 12
# Calls to the store are priced: few hosts read the list, and tell the others
# what leaves.
LIST_PAUSE_MS = 200
LIST_READERS = 5
FOLLOW_PART = 0.75  # of the time in which an upstream that leaves still works
LISTED_POOL = "listed"

# Of the time until a change has to be in force, kept for noticing that an
# answer is missing (1 s), a pause of 0.2 s, a fresh connection and the read
# itself, of which a busy host takes 0.2 s.
SILENCE_MARGIN_MS = 1_500
LEAST_READ_WAIT_MS = 1_000


# A read of the list waits this long at the store where all hosts read. A
# connection that has gone silent is noticed one second later.
LIST_WAIT_MS = 1_000
# Among many hosts, most are told what a few read. A host reads by itself this
# long before a change has to be in force: time for its read, also from a slow
# store whose history is gone.
OWN_READ_MS = 550
# What a host is told is older than what the asked one knows by up to this: it
# asks each second, and two hosts in a row may not answer.
TOLD_LATE_MS = 1_200
# With shorter reads than this, hosts that read for others call too often.
LEAST_SHARED_WAIT_MS = 750


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Hold what the platform tells one process."""

    host: str
    failure_domain: str
    region: str
    ip: str
    first_port: int  # of those free for traffic between hosts
    callers_address: str
    readiness_address: str
    directory_address: str
    store_address: str
    grace_s: float  # from SIGTERM to SIGKILL
    most_keep_s: float  # that a caller may keep a list of addresses
    drain_ms: float  # that an upstream still works after it said it leaves
    apply_ms: float  # in which a new configuration has to be in force
    contact_ms: float  # out of touch so long ago, a host need not follow
    retries: RetryLimits
    cold_limits: ColdLimits | None  # None: no bound is in force
    regions: dict[str, str]  # by failure domain

    @property
    def read_wait_ms(self) -> int:
        """Return how long a read for a configuration may wait.

        A read that is sent just before the store falls silent, or its
        connection does, is lost. That has to be noticed, and the
        configuration read, when the host counts as in touch again: changes
        of meanwhile have to be in force then.
        """
        wait_ms = int(self.contact_ms - SILENCE_MARGIN_MS)
        return max(wait_ms, LEAST_READ_WAIT_MS)

    @property
    def _most_age_ms(self) -> int:
        """Return how old what a host was told may be."""
        return int(min(self.apply_ms, self.drain_ms)) - OWN_READ_MS

    @property
    def _shared_wait_ms(self) -> int:
        """Return how long reads for others may wait: less is told late."""
        return self._most_age_ms - TOLD_LATE_MS

    @property
    def can_share_reading(self) -> bool:
        """Tell whether bounds leave time to be told instead of to read."""
        return self._shared_wait_ms >= LEAST_SHARED_WAIT_MS

    @property
    def configuration_pace(self) -> FreshnessLimits:
        """Return how the configuration is followed."""
        wait_ms = self.read_wait_ms
        if self.can_share_reading:
            wait_ms = min(wait_ms, self._shared_wait_ms)
        return FreshnessLimits(
            wait_ms=wait_ms, max_age_s=self._most_age_ms / 1_000
        )

    @property
    def list_pace(self) -> FreshnessLimits:
        """Return how the list of upstreams is followed."""
        wait_ms = LIST_WAIT_MS
        if self.can_share_reading:
            # Between two reads there is a pause, up to a fifth longer.
            wait_ms = self._shared_wait_ms - int(LIST_PAUSE_MS * 1.25)
            wait_ms = min(self.read_wait_ms, wait_ms)
        return FreshnessLimits(
            wait_ms=wait_ms, max_age_s=self._most_age_ms / 1_000
        )

    def product_settings(self) -> Settings:
        """Return the product's own settings."""
        return Settings(
            host=self.host,
            failure_domain=self.failure_domain,
            region=self.region,
            callers_address=self.callers_address,
            operators_address=join_address(self.ip, METRICS_PORT),
            peers_address=join_address(self.ip, self.first_port),
            counts_address=join_address(self.ip, self.first_port + 1),
            platform=PlatformSettings(
                log_address=self.store_address,
                hosts_address=self.store_address,
                hosts_poll_ms=LIST_PAUSE_MS,
                hosts_readers=LIST_READERS,
                hosts_follow_ms=int(self.drain_ms * FOLLOW_PART),
            ),
            # The list tells the kind of each upstream; settings name a pool.
            pools={LISTED_POOL: PoolSettings(kind="service")},
            peers=PeerSettings(
                heartbeat_ms=HEARTBEAT_MS,
                silence_ms=SILENCE_MS,
                fan_out=FAN_OUT,
            ),
            log_json=True,
        )

    def relay_settings(self) -> RelaySettings:
        """Return the settings of the relay."""
        return RelaySettings(
            failure_domain=self.failure_domain,
            retries=self.retries,
            cold_limits=self.cold_limits,
            regions=self.regions,
            names=HEADERS,
        )


def load_node_settings(file: str | None = None) -> NodeSettings:
    """Return the settings in a file; raise `SettingsError`.

    Without a file, the one that the platform's variable names.
    """
    name = file or os.environ.get(FILE_VARIABLE, "")
    if not name:
        raise SettingsError(
            "the environment", FILE_VARIABLE, "the path of a settings file"
        )
    try:
        fields = tomllib.loads(Path(name).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(name, "(whole)", f"TOML ({error})") from error
    return decode_node_settings(fields, name)


def decode_node_settings(fields: dict[str, Any], file: str) -> NodeSettings:
    """Return the settings in a table; raise `SettingsError`.

    The platform adds fields as it grows: unknown ones are left out.
    """
    read = _Reader(fields, file)
    return NodeSettings(
        host=read.text("NodeName"),
        failure_domain=read.text("Zone"),
        region=read.text("Region"),
        ip=read.text("Ip"),
        first_port=read.first_port(),
        callers_address=read.text("Listen", "Frontend"),
        readiness_address=read.text("Listen", "Readiness"),
        directory_address=read.text("Listen", "Directory"),
        store_address=read.text("Platform", "Address"),
        grace_s=read.number("Bounds", "GraceS"),
        most_keep_s=read.number("Bounds", "ttl_max_s"),
        drain_ms=read.number("Bounds", "DrainMs"),
        apply_ms=read.number("Bounds", "ConfigApplyMs"),
        contact_ms=read.number("Bounds", "ContactMs"),
        retries=RetryLimits(
            ratio=read.number("Bounds", "RetryBudgetRatio"),
            extra=int(read.number("Bounds", "BudgetExtraRetries")),
            window_s=read.number("Bounds", "BudgetWindowS"),
        ),
        cold_limits=read.cold_limits(),
        regions=read.regions(),
    )


class _Reader:
    """Read fields of nested tables, and name the one that is wrong."""

    def __init__(self, fields: dict[str, Any], file: str) -> None:
        self._fields = fields
        self._file = file

    def _find(self, path: tuple[str, ...]) -> Any:
        value: Any = self._fields
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def text(self, *path: str) -> str:
        value = self._find(path)
        if not isinstance(value, str) or not value:
            raise SettingsError(self._file, ".".join(path), "a text")
        return value

    def number(self, *path: str) -> float:
        value = self._find(path)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(self._file, ".".join(path), "a number")
        return float(value)

    def first_port(self) -> int:
        value = self._find(("InternalPorts",))
        if not isinstance(value, list) or not value:
            raise SettingsError(self._file, "InternalPorts", "two ports")
        return int(value[0])

    def cold_limits(self) -> ColdLimits | None:
        """Return the bound on cold upstreams, where one is in force."""
        if self._find(("Bounds", "ColdOverage")) is None:
            return None
        return ColdLimits(
            factor=self.number("Bounds", "ColdOverage"),
            extra_per_s=self.number("Bounds", "ColdSlack"),
        )

    def regions(self) -> dict[str, str]:
        """Return the region of each failure domain, this host's at least."""
        value = self._find(("Zones",))
        zones = value if isinstance(value, dict) else {}
        own = {self.text("Zone"): self.text("Region")}
        return own | {str(zone): str(region) for zone, region in zones.items()}
