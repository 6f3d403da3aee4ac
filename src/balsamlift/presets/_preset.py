"""A preset: all that operators set for one kind of day."""

from __future__ import annotations

import attrs

from balsamlift.placement import Policy


@attrs.frozen(kw_only=True)
class KindPreset:
    """Set how requests of one kind are served."""

    pool: str
    idempotent: bool = True
    priority: int = 1  # 0 is served first
    max_tokens: int = 4_096
    deadline_ms: int = 120_000
    quantile: float = 0.9  # of the learned lengths, for admission


@attrs.frozen(kw_only=True)
class WorkspacePreset:
    """Set what one workspace may use."""

    weight: float = 1.0
    token_sha256: str = ""  # of the bearer token; empty: none is asked for


@attrs.frozen(kw_only=True)
class PoolPreset:
    """Set what the engines of one pool shall have loaded."""

    model: str
    version: str
    adapters: list[str] = attrs.field(factory=list)
    role: str = "mixed"


@attrs.frozen(kw_only=True)
class Preset:
    """Hold one whole preset."""

    name: str
    kinds: dict[str, KindPreset]
    workspaces: dict[str, WorkspacePreset]  # "*": any other workspace
    pools: dict[str, PoolPreset] = attrs.field(factory=dict)
    policy: Policy = attrs.field(factory=Policy)
