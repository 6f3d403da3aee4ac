"""Records of the platform, decoded into the product's own types."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from balsamlift._address import AddressError, split_address
from balsamlift.exceptions import PlatformError
from balsamlift.peers import ENTRY_ROLE, UPSTREAM_ROLE, ListEntry, Record
from balsamlift.platform._names import CONFIGURATION_KEY, EVACUATION_PREFIX
from balsamlift.relay import (
    DEFAULT_CALLER_LIMITS,
    CallerLimits,
    Configuration,
    EngineTraits,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Workspace,
)


class RecordError(PlatformError):
    """Tell that a record is not what its key says."""


class _Share(msgspec.Struct):
    Service: str
    Weight: int


class _Route(msgspec.Struct):
    Name: str
    Hostname: str
    PathPrefix: str
    RouteType: str
    TimeoutMs: int
    TargetLatencyMs: int  # to the first event on a stream
    Priority: int = 0
    Service: str = ""  # or else TrafficSplit
    TrafficSplit: list[_Share] = []
    MaxAttempts: int = 1
    Public: bool = False
    AllowedRegions: list[str] = []  # none: any


class _Engine(msgspec.Struct):
    KvCapacityTokens: int
    KvTokenBytes: int = 0  # of memory, for one token
    LinkMbps: float = 0.0
    Moves: bool = False
    Backups: bool = False


class _Service(msgspec.Struct):
    Name: str
    MaxConnections: int = 0
    ColdPerS: float | None = None  # requests that one tolerates while cold
    Engine: _Engine | None = None


class _Limits(msgspec.Struct):
    MaxBodyBytes: int
    MaxHeaderBytes: int = DEFAULT_CALLER_LIMITS.head_bytes  # of the whole head
    HeaderTimeoutMs: int = DEFAULT_CALLER_LIMITS.head_timeout_ms
    IdleTimeoutMs: int = DEFAULT_CALLER_LIMITS.idle_timeout_ms


class _Tenant(msgspec.Struct):
    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None
    AllowedRegions: list[str] = []  # none: any


class _Manifest(msgspec.Struct):
    Version: int
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits
    Tenants: list[_Tenant] = []


class _Upstream(msgspec.Struct):
    """Hold an entry of the list.

    Each upstream writes all of these fields: an entry that lacks one is by
    another writer.
    """

    Service: str
    Address: str
    Zone: str
    Version: str  # of its software
    Slots: int
    LifecycleState: str
    Sequence: int  # of its own counts, from its start on
    ColdRemainingMs: float  # for how long it is slow after its start
    born: int = 0  # wall time of its start; not all tell it


class HostRecord(msgspec.Struct, frozen=True):
    """Hold what a host of ours tells the others through the store."""

    callers_address: str
    operators_address: str
    peers_address: str
    failure_domain: str
    written_s: float  # wall time, to leave out hosts long gone


_KINDS: dict[str, RouteKind] = {
    "idempotent": "idempotent",
    "non_idempotent": "non_idempotent",
    "streaming": "stream",
}
_STATES = {"ready": "live", "draining": "leaving"}
# An entry takes some 300 bytes; one of megabytes is not worth decoding.
MOST_ENTRY_BYTES = 65_536
MOST_ID_CHARACTERS = 200
EVACUATION_VALUE = b"{}"  # any value: `decode_evacuations` ignores it


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration in a record; raise `RecordError`."""
    try:
        manifest = msgspec.json.decode(data, type=_Manifest)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(f"no configuration: {error}") from error
    return Configuration(
        version=manifest.Version,
        routes=tuple(_route(route) for route in manifest.Routes),
        services=tuple(_service(service) for service in manifest.Services),
        workspaces=tuple(
            Workspace(
                name=tenant.Name,
                keys=tuple(tenant.ApiKeys),
                priority=tenant.Priority,
                regions=frozenset(tenant.AllowedRegions),
            )
            for tenant in manifest.Tenants
        ),
        limits=CallerLimits(
            body_bytes=manifest.Limits.MaxBodyBytes,
            head_bytes=manifest.Limits.MaxHeaderBytes,
            head_timeout_ms=manifest.Limits.HeaderTimeoutMs,
            idle_timeout_ms=manifest.Limits.IdleTimeoutMs,
        ),
    )


def decode_evacuations(values: Mapping[str, bytes]) -> list[str]:
    """Return the failure domains that the operators' records evacuate.

    A record is there for as long as the evacuation lasts, whatever it holds.
    """
    return sorted(
        key.removeprefix(EVACUATION_PREFIX)
        for key in values
        if key.startswith(EVACUATION_PREFIX)
    )


def encode_operator_records(
    configuration: bytes, evacuated: Iterable[str], end: int
) -> list[Record]:
    """Return the operators' records that decode to this state.

    All have the offset just before `end`, so that any later record of the
    same key replaces them.
    """
    keys = [EVACUATION_PREFIX + domain for domain in evacuated]
    return [
        Record(CONFIGURATION_KEY, configuration, end - 1),
        *(Record(key, EVACUATION_VALUE, end - 1) for key in keys),
    ]


def decode_upstream(key: str, data: bytes) -> ListEntry:
    """Return the entry of an upstream; raise `RecordError`.

    Others may write to the list too: what is not in every respect the entry
    of an upstream names none.
    """
    if len(data) > MOST_ENTRY_BYTES:
        raise RecordError(f"no upstream: an entry of {len(data)} bytes")
    try:
        upstream = msgspec.json.decode(data, type=_Upstream)
        split_address(upstream.Address)
    except (msgspec.MsgspecError, RecursionError, AddressError) as error:
        raise RecordError(f"no upstream: {error}") from error
    if not _is_id(key):
        raise RecordError("no upstream: not the name of one")
    if upstream.LifecycleState not in _STATES or upstream.born < 0:
        raise RecordError("no upstream: a state or start that is none")
    return ListEntry(
        name=key,
        role=UPSTREAM_ROLE,
        pool=upstream.Service,
        address=upstream.Address,
        failure_domain=upstream.Zone,
        state=_STATES[upstream.LifecycleState],
        kind="service",
        started_ms=upstream.born,
        cold_ms=max(upstream.ColdRemainingMs, 0.0),
        written=upstream.Sequence,
    )


def _is_id(key: str) -> bool:
    """Tell whether a key can name an upstream in a header."""
    is_visible = key.isascii() and key.isprintable() and " " not in key
    return is_visible and 0 < len(key) <= MOST_ID_CHARACTERS


def decode_host(data: bytes) -> HostRecord:
    """Return what a host of ours wrote; raise `RecordError`."""
    try:
        return msgspec.json.decode(data, type=HostRecord)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(f"no host: {error}") from error


def host_entry(key: str, record: HostRecord) -> ListEntry:
    """Return the list's entry for a host of ours."""
    return ListEntry(
        name=key,
        role=ENTRY_ROLE,
        address=record.callers_address,
        operators_address=record.operators_address,
        peers_address=record.peers_address,
        failure_domain=record.failure_domain,
    )


def _route(route: _Route) -> Route:
    shares = route.TrafficSplit or [_Share(route.Service, 1)]
    return Route(
        name=route.Name,
        host=route.Hostname,
        path_prefix=route.PathPrefix,
        # An unknown kind is taken as the strictest.
        kind=_KINDS.get(route.RouteType, "non_idempotent"),
        services=tuple(
            ServiceShare(service=share.Service, weight=share.Weight)
            for share in shares
        ),
        timeout_ms=route.TimeoutMs,
        target_ms=route.TargetLatencyMs,
        priority=route.Priority,
        most_attempts=route.MaxAttempts,
        is_public=route.Public,
        regions=frozenset(route.AllowedRegions),
    )


def _service(service: _Service) -> Service:
    engine = service.Engine
    return Service(
        name=service.Name,
        max_connections=service.MaxConnections,
        cold_requests_per_s=service.ColdPerS,
        engine=None
        if engine is None
        else EngineTraits(
            memory_tokens=engine.KvCapacityTokens,
            token_bytes=engine.KvTokenBytes,
            link_mbps=engine.LinkMbps,
            can_move=engine.Moves,
            can_back_up=engine.Backups,
        ),
    )
