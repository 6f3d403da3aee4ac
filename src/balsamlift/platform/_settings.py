"""Settings file of a process, as the platform writes it."""

from __future__ import annotations

import math
import os
import resource
import tomllib
from pathlib import Path
from typing import Any

import attrs

from balsamlift._address import join_address
from balsamlift.clients import ClientLimits
from balsamlift.exceptions import SettingsError
from balsamlift.peers import FreshnessLimits
from balsamlift.platform._decode import STATEMENT_DECODERS
from balsamlift.platform._names import HEADERS
from balsamlift.platform._prompt_parts import decode_prompt_parts
from balsamlift.relay import ColdLimits, RelaySettings, RetryLimits
from balsamlift.settings import (
    PeerSettings,
    PlatformSettings,
    PoolSettings,
    Settings,
)

SETTINGS_FILE_VARIABLE = "BALSAMLIFT_NODE_FILE"

# The port under `metrics` in the deploy file, which cannot name a port that
# varies between days.
METRICS_PORT = 9464

# Of a machine whose settings do not tell.
DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS = 128.0, 4_096
BYTES_PER_MB = 1_000_000
# Of the process without clients, or half of the memory if that is more.
OWN_MEMORY_BYTES = 60_000_000
# Of the rest; not all of a block that is freed is returned.
CLIENT_FRACTION = 0.65
# A single request of the largest size and its answer have room in it.
MIN_CLIENT_BYTES = 16_000_000
FILE_DESCRIPTORS = 200  # the platform reserves them for files
# Each client may need another to an upstream; the rest is for other hosts.
CLIENT_SOCKETS_FRACTION = 0.4
MIN_CLIENT_CONNECTIONS = 16

# Load reports are up to this old when other hosts receive them.
HEARTBEAT_MS = 250
SILENCE_MS = 1_500  # six heartbeats
# With at most this many peers, each host exchanges messages with all of them.
FAN_OUT = 12
# Calls to the store are billed: only a few hosts read the list of upstreams,
# and they report departures to the others.
LIST_PAUSE_MS = 200
LIST_READERS = 5
# The other hosts read the list themselves at intervals of this fraction of the
# time for which a leaving upstream still works.
FOLLOW_FRACTION = 0.75
LISTED_POOL = "listed"

# Part of the time until a change has to be in force that is reserved for
# detecting a missing answer (1 s), a pause of 0.2 s, a new connection and the
# read itself, which takes a busy host 0.2 s.
SILENCE_MARGIN_MS = 1_500
MIN_READ_WAIT_MS = 1_000


# How long the store holds a read of the list open for changes if every host
# reads it. A silent connection is detected one second later.
LIST_WAIT_MS = 1_000
# With many hosts, a few read the store and pass the records on. Another host
# reads the store itself this long before a change has to be in force: enough
# for its read, also from a slow store that has dropped its history.
DIRECT_READ_MS = 550
# Records reach a host up to this long after the host that read them: it asks
# once a second, and two hosts in a row may not answer.
MAX_SHARING_DELAY_MS = 1_200
# With shorter reads, hosts that read for others call the store too often.
MIN_SHARED_WAIT_MS = 750


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Hold the settings that the platform gives one process."""

    host: str
    failure_domain: str
    region: str
    ip: str
    first_port: int  # of the ports for traffic between hosts
    callers_address: str
    readiness_address: str
    directory_address: str
    store_address: str
    grace_s: float  # from SIGTERM to SIGKILL
    max_address_ttl_s: float  # for which a caller may cache addresses
    drain_ms: float  # for which an upstream still works once it is leaving
    apply_ms: float  # within which a new configuration has to be in force
    # How long a host may be out of contact with the store before it is exempt
    # from `apply_ms`.
    contact_ms: float
    retries: RetryLimits
    cold_limits: ColdLimits | None  # None: no limit
    regions: dict[str, str]  # by failure domain
    is_first_start: bool  # of the whole system
    memory_mb: float = DEFAULT_MEMORY_MB  # of the machine
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def read_wait_ms(self) -> int:
        """Return how long a read of the configuration may wait.

        A read sent just before the store or its connection goes silent is
        lost. The loss has to be detected and the configuration read again
        before the host counts as in contact again, because changes made
        meanwhile have to be in force then.
        """
        wait_ms = int(self.contact_ms - SILENCE_MARGIN_MS)
        return max(wait_ms, MIN_READ_WAIT_MS)

    @property
    def _max_age_ms(self) -> int:
        """Return the maximum age of records received from other hosts."""
        return int(min(self.apply_ms, self.drain_ms)) - DIRECT_READ_MS

    @property
    def _shared_wait_ms(self) -> int:
        """Return how long reads for others may wait.

        Less than the maximum age, because sharing delays the records.
        """
        return self._max_age_ms - MAX_SHARING_DELAY_MS

    @property
    def can_share_reading(self) -> bool:
        """Return whether the limits leave time to share records."""
        return self._shared_wait_ms >= MIN_SHARED_WAIT_MS

    @property
    def configuration_pace(self) -> FreshnessLimits:
        """Return the limits for following the configuration."""
        wait_ms = self.read_wait_ms
        if self.can_share_reading:
            wait_ms = min(wait_ms, self._shared_wait_ms)
        return FreshnessLimits(
            wait_ms=wait_ms, max_age_s=self._max_age_ms / 1_000
        )

    @property
    def list_pace(self) -> FreshnessLimits:
        """Return the limits for following the list of upstreams."""
        wait_ms = LIST_WAIT_MS
        if self.can_share_reading:
            # With jitter, the pause between two reads is up to a fifth longer.
            wait_ms = self._shared_wait_ms - int(LIST_PAUSE_MS * 1.25)
            wait_ms = min(self.read_wait_ms, wait_ms)
        return FreshnessLimits(
            wait_ms=wait_ms, max_age_s=self._max_age_ms / 1_000
        )

    @property
    def forwarding_address(self) -> str:
        """Return where other hosts forward requests to."""
        return join_address(self.ip, self.first_port + 2)

    def core_settings(self) -> Settings:
        """Return these settings as the `Settings` of the core services."""
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
                hosts_follow_ms=int(self.drain_ms * FOLLOW_FRACTION),
                contact_ms=int(self.contact_ms),
            ),
            # The list gives the kind of each upstream; the settings have to
            # contain a pool.
            pools={LISTED_POOL: PoolSettings(kind="service")},
            peers=PeerSettings(
                heartbeat_ms=HEARTBEAT_MS,
                silence_ms=SILENCE_MS,
                fan_out=FAN_OUT,
            ),
            log_json=True,
        )

    def client_limits(self) -> ClientLimits:
        """Return what clients may make this process hold."""
        memory_bytes = int(self.memory_mb * BYTES_PER_MB)
        own_bytes = max(OWN_MEMORY_BYTES, memory_bytes // 2)
        free_bytes = int((memory_bytes - own_bytes) * CLIENT_FRACTION)
        sockets = self.descriptors - FILE_DESCRIPTORS
        return ClientLimits(
            memory_bytes=max(free_bytes, MIN_CLIENT_BYTES),
            connections=max(
                int(sockets * CLIENT_SOCKETS_FRACTION), MIN_CLIENT_CONNECTIONS
            ),
        )

    def relay_settings(self) -> RelaySettings:
        """Return the settings of the relay."""
        return RelaySettings(
            failure_domain=self.failure_domain,
            retries=self.retries,
            cold_limits=self.cold_limits,
            regions=self.regions,
            names=HEADERS,
            decoders=STATEMENT_DECODERS,
            decode_prompt_parts=decode_prompt_parts,
            drain_s=self.drain_ms / 1_000,
        )


def load_node_settings(file: str | None = None) -> NodeSettings:
    """Return the settings in a file; raise `SettingsError` if invalid.

    `file` defaults to the path in the environment variable
    `SETTINGS_FILE_VARIABLE`.
    """
    name = file or os.environ.get(SETTINGS_FILE_VARIABLE, "")
    if not name:
        raise SettingsError(
            "the environment",
            SETTINGS_FILE_VARIABLE,
            "the path of a settings file",
        )
    try:
        fields = tomllib.loads(Path(name).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(name, "(whole)", f"TOML ({error})") from error
    return decode_node_settings(fields, name)


def decode_node_settings(fields: dict[str, Any], file: str) -> NodeSettings:
    """Return the settings in a table; raise `SettingsError` if invalid.

    Unknown fields are ignored, as new versions of the platform add fields.
    """
    reader = _FieldReader(fields, file)
    return NodeSettings(
        host=reader.text("NodeName"),
        failure_domain=reader.text("Zone"),
        region=reader.text("Region"),
        ip=reader.text("Ip"),
        first_port=reader.first_port(),
        callers_address=reader.text("Listen", "Frontend"),
        readiness_address=reader.text("Listen", "Readiness"),
        directory_address=reader.text("Listen", "Directory"),
        store_address=reader.text("Platform", "Address"),
        grace_s=reader.number("Bounds", "GraceS"),
        max_address_ttl_s=reader.number("Bounds", "ttl_max_s"),
        drain_ms=reader.number("Bounds", "DrainMs"),
        apply_ms=reader.number("Bounds", "ConfigApplyMs"),
        contact_ms=reader.number("Bounds", "ContactMs"),
        retries=RetryLimits(
            ratio=reader.number("Bounds", "RetryBudgetRatio"),
            extra=int(reader.number("Bounds", "BudgetExtraRetries")),
            window_s=reader.number("Bounds", "BudgetWindowS"),
        ),
        cold_limits=reader.cold_limits(),
        regions=reader.regions(),
        is_first_start=reader.is_set("Bootstrap"),
        memory_mb=reader.positive(DEFAULT_MEMORY_MB, "Limits", "MemoryMb"),
        descriptors=_usable_descriptors(
            reader.positive(math.inf, "Limits", "FileDescriptors")
        ),
    )


def _usable_descriptors(machine: float) -> int:
    """Return how many descriptors this process may have on its machine."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    process = math.inf if limit == resource.RLIM_INFINITY else limit
    usable = min(machine, process)
    return DEFAULT_DESCRIPTORS if math.isinf(usable) else int(usable)


class _FieldReader:
    """Read fields of nested tables; errors give the path of the field."""

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
            raise SettingsError(
                self._file, ".".join(path), "a non-empty string"
            )
        return value

    def number(self, *path: str) -> float:
        value = self._find(path)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(self._file, ".".join(path), "a number")
        return float(value)

    def positive(self, default: float, *path: str) -> float:
        """Return a number above 0, or the default if it is missing."""
        value = self._find(path)
        if isinstance(value, bool) or not isinstance(value, int | float):
            return default
        return float(value) if value > 0 else default

    def is_set(self, *path: str) -> bool:
        return self._find(path) is True

    def first_port(self) -> int:
        value = self._find(("InternalPorts",))
        if not isinstance(value, list) or not value:
            raise SettingsError(
                self._file, "InternalPorts", "a list of two ports"
            )
        return int(value[0])

    def cold_limits(self) -> ColdLimits | None:
        """Return the limits for cold upstreams, or None if not configured."""
        if self._find(("Bounds", "ColdOverage")) is None:
            return None
        return ColdLimits(
            factor=self.number("Bounds", "ColdOverage"),
            extra_per_s=self.number("Bounds", "ColdSlack"),
        )

    def regions(self) -> dict[str, str]:
        """Return the regions by failure domain, including this host's."""
        value = self._find(("Zones",))
        zones = value if isinstance(value, dict) else {}
        own = {self.text("Zone"): self.text("Region")}
        return own | {str(zone): str(region) for zone, region in zones.items()}
