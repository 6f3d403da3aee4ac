"""The configuration that operators publish as one named preset."""

from __future__ import annotations

import attrs

from balsamlift._validators import (
    DAY_MS,
    above,
    between,
    inside,
    plain_keys,
    plain_name,
    sha256_or_empty,
)
from balsamlift.exceptions import FieldError
from balsamlift.placement import Policy

ANY_WORKSPACE = "*"
LOWEST_PRIORITY = 9
MAX_KINDS = 1_000
MAX_WORKSPACES = 100_000
MAX_POOLS = 1_000
MAX_ADAPTERS = 64
MAX_TOKENS = 1_000_000
MAX_WEIGHT = 1_000_000


@attrs.frozen(kw_only=True)
class KindPreset:
    """Set how requests of one kind are served."""

    pool: str = attrs.field(validator=plain_name)
    idempotent: bool = True
    # 0 is the highest priority.
    priority: int = attrs.field(
        default=1, validator=between(0, LOWEST_PRIORITY)
    )
    max_tokens: int = attrs.field(
        default=4_096, validator=between(1, MAX_TOKENS)
    )
    deadline_ms: int = attrs.field(
        default=120_000, validator=between(10, DAY_MS)
    )
    # Quantile of the learned output lengths that admission uses.
    quantile: float = attrs.field(default=0.9, validator=inside(0, 1))


@attrs.frozen(kw_only=True)
class WorkspacePreset:
    """Set the share and the access token of one workspace."""

    weight: float = attrs.field(
        default=1.0,
        validator=[above(0), between(0, MAX_WEIGHT)],
    )
    # Hash of the bearer token; if empty, no token is required.
    token_sha256: str = attrs.field(default="", validator=sha256_or_empty)


def _check_adapters(
    _: PoolPreset, field: attrs.Attribute[list[str]], value: list[str]
) -> None:
    if len(value) > MAX_ADAPTERS:
        raise FieldError(field.name, f"at most {MAX_ADAPTERS} adapters")
    if len(set(value)) < len(value):
        raise FieldError(field.name, "each adapter at most once")
    for adapter in value:
        plain_name(None, field, adapter)


@attrs.frozen(kw_only=True)
class PoolPreset:
    """Set which model and adapters the engines of one pool load."""

    model: str = attrs.field(validator=plain_name)
    version: str = attrs.field(validator=plain_name)
    adapters: list[str] = attrs.field(factory=list, validator=_check_adapters)
    role: str = attrs.field(default="mixed", validator=plain_name)


def _check_pools(
    _: Preset,
    field: attrs.Attribute[dict[str, PoolPreset]],
    value: dict[str, PoolPreset],
) -> None:
    if value:  # empty in a deployment without engine pools
        plain_keys(MAX_POOLS)(None, field, value)


@attrs.frozen(kw_only=True)
class Preset:
    """Hold a complete preset."""

    name: str = attrs.field(validator=plain_name)
    kinds: dict[str, KindPreset] = attrs.field(validator=plain_keys(MAX_KINDS))
    # ANY_WORKSPACE applies to workspaces that are not listed.
    workspaces: dict[str, WorkspacePreset] = attrs.field(
        validator=plain_keys(MAX_WORKSPACES, ANY_WORKSPACE)
    )
    pools: dict[str, PoolPreset] = attrs.field(
        factory=dict, validator=_check_pools
    )
    policy: Policy = attrs.field(factory=Policy)
