"""Upstreams and entry hosts, built from entries of the list of hosts."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from balsamlift.peers._hosts_list import UPSTREAM_ROLE, ListEntry
from balsamlift.peers._observed_states import STATES, UpstreamState
from balsamlift.settings import PoolSettings


@attrs.frozen(kw_only=True)
class Upstream:
    """Describe one incarnation of an upstream as it is known now.

    `name` identifies the incarnation. `id` is the name in the list, which is
    the same for all incarnations of the upstream.
    """

    name: str
    pool: str
    kind: str  # "engine" or "service"
    address: str
    failure_domain: str
    checks_fence: bool = False
    deterministic: bool = False
    tells_by_key: bool = False
    state: UpstreamState = "live"
    id: str = attrs.field(
        default=attrs.Factory(lambda self: self.name, takes_self=True)
    )
    started_ms: int = 0  # wall time; 0: not reported
    slots: int = 0  # requests that it runs at the same time; 0: not told
    is_evacuated: bool = False  # its failure domain gets no new work
    # Monotonic time until which it tolerates only few requests.
    cold_until_s: float = attrs.field(default=0.0, eq=False)


@attrs.frozen(kw_only=True)
class EntryHost:
    """Describe one entry host as the platform lists it."""

    host: str
    address: str  # for callers
    operators_address: str
    peers_address: str
    failure_domain: str
    state: str = "live"


def build_upstream(
    entry: ListEntry, pools: Mapping[str, PoolSettings]
) -> Upstream | None:
    """Return the upstream of an entry, or None for other roles and pools.

    An entry with a kind needs no pool in the settings.
    """
    pool = pools.get(entry.pool)
    if pool is None and entry.kind:
        pool = PoolSettings(kind=entry.kind)
    if entry.role != UPSTREAM_ROLE or pool is None:
        return None
    return Upstream(
        name=incarnation_name(entry),
        id=entry.name,
        started_ms=entry.started_ms,
        slots=entry.slots,
        pool=entry.pool,
        kind=pool.kind,
        address=entry.address,
        failure_domain=entry.failure_domain,
        checks_fence=pool.checks_fence,
        deterministic=pool.deterministic,
        tells_by_key=pool.tells_by_key,
        state=_state(entry.state),
    )


def build_entry_host(entry: ListEntry) -> EntryHost:
    """Return the entry host that an entry describes."""
    return EntryHost(
        host=entry.name,
        address=entry.address,
        operators_address=entry.operators_address,
        peers_address=entry.peers_address,
        failure_domain=entry.failure_domain,
        state=entry.state,
    )


def incarnation_name(entry: ListEntry) -> str:
    """Return a name that is unique to this incarnation of the upstream."""
    if not entry.started_ms:
        return entry.name
    return f"{entry.name}@{entry.started_ms}"


def _state(text: str) -> UpstreamState:
    """Return the state; treat states unknown to this version as leaving."""
    return next((state for state in STATES if state == text), "leaving")
