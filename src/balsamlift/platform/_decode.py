"""Decode the platform's records into types of the other packages."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

from balsamlift._address import AddressError, split_remote_address
from balsamlift._json import decode_json
from balsamlift._numbers import parse_decimal
from balsamlift.exceptions import PlatformError
from balsamlift.peers import (
    ENTRY_ROLE,
    UPSTREAM_ROLE,
    Integer,
    ListEntry,
    Number,
    Record,
)
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
    StatementDecoders,
    Workspace,
)

MAX_RETRY_AFTER_S = 86_400.0  # a longer time is honoured for so long
MAX_WEIGHT = 1_000.0  # of a workspace


class RecordError(PlatformError):
    """Indicate that a record is invalid for its key."""


_Weight = Annotated[float, msgspec.Meta(gt=0, le=MAX_WEIGHT)]
# It becomes a header. Others beside Latin-1 fail with their workspace alone.
_HeaderText = Annotated[str, msgspec.Meta(pattern=r"\A[^\x00-\x1f\x7f]*\Z")]


class _Share(msgspec.Struct):
    Service: str
    Weight: Integer


class _Route(msgspec.Struct):
    Name: str
    Hostname: str
    PathPrefix: str
    RouteType: str
    TimeoutMs: Integer
    TargetLatencyMs: Integer  # to the first event on a stream
    Priority: Integer = 0
    Service: str = ""  # unused if TrafficSplit is set
    TrafficSplit: list[_Share] = []
    MaxAttempts: Integer = 1
    Public: bool = False
    AllowedRegions: list[str] = []  # none: any
    TargetGapMs: Integer = 0  # between events of a stream; 0: any
    StreamResume: bool = False


class _Engine(msgspec.Struct):
    """Represent the properties of a service's engines."""

    KvCapacityTokens: Integer
    KvTokenBytes: Integer = 0  # memory for one token
    LinkMbps: Number = 0.0
    Moves: bool = False
    Backups: bool = False


class _Service(msgspec.Struct):
    Name: str
    MaxConnections: Integer = 0
    ColdPerS: Number | None = None  # requests that a cold upstream tolerates
    Engine: _Engine | None = None


class _Limits(msgspec.Struct):
    MaxBodyBytes: Integer
    # Of the request line and all headers.
    MaxHeaderBytes: Integer = DEFAULT_CALLER_LIMITS.head_bytes
    HeaderTimeoutMs: Integer = DEFAULT_CALLER_LIMITS.head_timeout_ms
    IdleTimeoutMs: Integer = DEFAULT_CALLER_LIMITS.idle_timeout_ms


class _Tenant(msgspec.Struct):
    """Represent a workspace and the keys of its callers."""

    Name: _HeaderText
    ApiKeys: list[str] = []
    Priority: Integer | None = None
    AllowedRegions: list[str] = []  # none: any
    Weight: _Weight = 1.0  # of its share while requests wait


class _Manifest(msgspec.Struct):
    """Represent the configuration record that operators write."""

    Version: Integer
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits
    Tenants: list[_Tenant] = []


class _Upstream(msgspec.Struct):
    """Represent an upstream's entry in the list.

    Each upstream writes all fields without a default: an entry that lacks one
    comes from another writer.
    """

    Service: str
    Address: str
    Zone: str
    Version: str  # of the software
    Slots: Integer
    LifecycleState: str
    Sequence: Integer  # counted by the upstream since its start
    ColdRemainingMs: Number  # for which it is still slow after its start
    born: Integer = 0  # wall time of its start; not written by all upstreams


class _Lifecycle(msgspec.Struct):
    """Represent an entry of which nothing else is valid."""

    LifecycleState: str = ""


class HostRecord(msgspec.Struct, frozen=True):
    """Represent a host's entry, by which other hosts find it."""

    callers_address: str
    operators_address: str
    peers_address: str
    failure_domain: str
    written_s: float  # wall time; outdated entries are ignored


_ROUTE_KINDS: dict[str, RouteKind] = {
    "idempotent": "idempotent",
    "non_idempotent": "non_idempotent",
    "streaming": "stream",
}
_UPSTREAM_STATES = {"ready": "live", "draining": "leaving"}
# A valid entry takes about 300 bytes; one of megabytes is not decoded.
MAX_ENTRY_BYTES = 65_536
MAX_NAME_CHARACTERS = 200
EVACUATION_VALUE = b"{}"  # any value: `decode_evacuations` ignores it


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration in a record.

    Raises `RecordError` if the record is invalid.
    """
    try:
        manifest = decode_json(data, _Manifest)
    except msgspec.MsgspecError as error:
        raise RecordError(f"invalid configuration: {error}") from error
    return Configuration(
        version=manifest.Version,
        routes=tuple(_convert_route(route) for route in manifest.Routes),
        services=tuple(
            _convert_service(service) for service in manifest.Services
        ),
        workspaces=tuple(
            Workspace(
                name=tenant.Name,
                keys=tuple(tenant.ApiKeys),
                priority=tenant.Priority,
                regions=frozenset(tenant.AllowedRegions),
                weight=tenant.Weight,
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
    """Return the failure domains that operators have evacuated.

    An evacuation lasts for as long as its record exists; the value of the
    record is ignored.
    """
    return sorted(
        key.removeprefix(EVACUATION_PREFIX)
        for key in values
        if key.startswith(EVACUATION_PREFIX)
    )


def encode_operator_records(
    configuration: bytes, evacuated: Iterable[str], end: int
) -> list[Record]:
    """Encode a configuration and evacuations as the operators' records.

    All records get the offset just before `end`, so that any later record of
    the same key replaces them.
    """
    keys = [EVACUATION_PREFIX + domain for domain in evacuated]
    return [
        Record(CONFIGURATION_KEY, configuration, end - 1),
        *(Record(key, EVACUATION_VALUE, end - 1) for key in keys),
    ]


def decode_upstream(key: str, data: bytes) -> ListEntry:
    """Return the entry of an upstream; raise `RecordError` if invalid.

    The list may have other writers: an entry is rejected unless all of
    its known fields are valid.
    """
    _check_entry(key, data, "upstream")
    try:
        upstream = decode_json(data, _Upstream)
        split_remote_address(upstream.Address)
    except (msgspec.MsgspecError, AddressError) as error:
        raise RecordError(f"invalid upstream entry: {error}") from error
    if upstream.LifecycleState not in _UPSTREAM_STATES or upstream.born < 0:
        raise RecordError("invalid upstream entry: state or start time")
    return ListEntry(
        name=key,
        role=UPSTREAM_ROLE,
        pool=upstream.Service,
        address=upstream.Address,
        failure_domain=upstream.Zone,
        state=_UPSTREAM_STATES[upstream.LifecycleState],
        kind="service",
        started_ms=upstream.born,
        cold_ms=max(upstream.ColdRemainingMs, 0.0),
        written=upstream.Sequence,
        slots=max(upstream.Slots, 0),
    )


def may_be_ready(data: bytes) -> bool:
    """Return whether an invalid entry says no other state of an upstream."""
    if len(data) > MAX_ENTRY_BYTES:
        return True
    try:
        state = decode_json(data, _Lifecycle).LifecycleState
    except msgspec.MsgspecError:
        return True
    return not state or _UPSTREAM_STATES.get(state) == "live"


def decode_host(key: str, data: bytes) -> HostRecord:
    """Return the entry of a host; raise `RecordError` if invalid."""
    _check_entry(key, data, "host")
    try:
        record = decode_json(data, HostRecord)
        split_remote_address(record.callers_address)
        split_remote_address(record.operators_address)
        split_remote_address(record.peers_address)
    except (msgspec.MsgspecError, AddressError) as error:
        raise RecordError(f"invalid host entry: {error}") from error
    return record


def _check_entry(key: str, data: bytes, kind: str) -> None:
    """Raise `RecordError` for an invalid name or an entry too large."""
    if len(data) > MAX_ENTRY_BYTES:
        raise RecordError(f"{kind} entry too large: {len(data)} bytes")
    if not _is_valid_name(key):
        raise RecordError(f"invalid {kind} entry: key is not a valid name")


def _is_valid_name(key: str) -> bool:
    """Return whether a key is valid as a name in a header."""
    is_visible = key.isascii() and key.isprintable() and " " not in key
    return is_visible and 0 < len(key) <= MAX_NAME_CHARACTERS


def host_entry(key: str, record: HostRecord) -> ListEntry:
    """Return a host's record as an entry of the list of upstreams."""
    return ListEntry(
        name=key,
        role=ENTRY_ROLE,
        address=record.callers_address,
        operators_address=record.operators_address,
        peers_address=record.peers_address,
        failure_domain=record.failure_domain,
    )


def _convert_route(route: _Route) -> Route:
    shares = route.TrafficSplit or [_Share(route.Service, 1)]
    return Route(
        name=route.Name,
        host=route.Hostname,
        path_prefix=route.PathPrefix,
        # An unknown type is handled as the most restrictive one.
        kind=_ROUTE_KINDS.get(route.RouteType, "non_idempotent"),
        services=tuple(
            ServiceShare(service=share.Service, weight=max(share.Weight, 0))
            for share in shares
        ),
        timeout_ms=route.TimeoutMs,
        target_ms=route.TargetLatencyMs,
        priority=route.Priority,
        most_attempts=route.MaxAttempts,
        is_public=route.Public,
        regions=frozenset(route.AllowedRegions),
        max_gap_ms=max(route.TargetGapMs, 0),
        can_resume=route.StreamResume,
    )


def _convert_service(service: _Service) -> Service:
    engine = service.Engine
    return Service(
        name=service.Name,
        max_connections=service.MaxConnections,
        cold_requests_per_s=service.ColdPerS,
        engine=None
        if engine is None or engine.KvCapacityTokens <= 0
        else EngineTraits(
            memory_tokens=engine.KvCapacityTokens,
            token_bytes=engine.KvTokenBytes,
            link_mbps=engine.LinkMbps,
            can_move=engine.Moves,
            can_back_up=engine.Backups,
        ),
    )


def decode_rate_limit(text: str) -> float | None:
    """Return requests per second, or None if `text` is no decimal number."""
    return parse_decimal(text)


def is_known_notice(text: str) -> bool:
    """Return whether `text` is "1", perhaps repeated."""
    return {part.strip() for part in text.split(",")} == {"1"}


def decode_retry_after(text: str) -> float | None:
    """Return seconds, at most a day, or None if `text` is invalid."""
    seconds = parse_decimal(text)
    return None if seconds is None else min(seconds, MAX_RETRY_AFTER_S)


STATEMENT_DECODERS = StatementDecoders(
    rate_limit=decode_rate_limit,
    is_known_notice=is_known_notice,
    retry_after=decode_retry_after,
)
