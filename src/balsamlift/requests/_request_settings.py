"""The settings of one request, derived from the preset in force."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from balsamlift.exceptions import RefusedError
from balsamlift.placement import PlacementRequest
from balsamlift.presets import (
    KindPreset,
    Preset,
    PresetInForce,
    WorkspacePreset,
)
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._errors import (
    KindUnknownError,
    TokenWrongError,
    WorkspaceUnknownError,
)
from balsamlift.requests._messages import RequestBody

ANY_WORKSPACE = "*"
CHARACTERS_PER_TOKEN = 4  # rough estimate, if the caller gives no count
NO_PRESET_RETRY_MS = 1_000


@attrs.frozen(kw_only=True)
class RequestSettings:
    """Hold the settings of a request, fixed from its admission to its end."""

    in_force: PresetInForce
    kind: KindPreset
    model: str  # that the pool should run; "" if the preset names none
    weight: float  # of the workspace
    idempotent: bool
    on_services: bool


def resolve_settings(
    dependencies: Dependencies, body: RequestBody
) -> RequestSettings:
    """Return the settings of a request from the preset in force.

    Raises `KindUnknownError` and `WorkspaceUnknownError`, and `RefusedError`
    while no preset is in force.
    """
    in_force = dependencies.presets.in_force()
    if in_force is None:
        raise RefusedError("no_preset", NO_PRESET_RETRY_MS)
    kind = in_force.preset.kinds.get(body.kind)
    if kind is None:
        raise KindUnknownError(f"no kind {body.kind!r}")
    pool = dependencies.settings.pools.get(kind.pool)
    if pool is None:
        raise KindUnknownError(f"kind {body.kind!r} has no pool here")
    pool_preset = in_force.preset.pools.get(kind.pool)
    return RequestSettings(
        in_force=in_force,
        kind=kind,
        model=pool_preset.model if pool_preset else "",
        weight=_find_workspace(in_force.preset, body.workspace).weight,
        # A caller may declare an idempotent kind non-idempotent, but not
        # the reverse.
        idempotent=kind.idempotent and body.idempotent is not False,
        on_services=pool.kind == "service",
    )


def authorize(dependencies: Dependencies, workspace: str, token: str) -> None:
    """Check that the token belongs to the workspace.

    Raises `WorkspaceUnknownError` and `TokenWrongError`. Checks nothing
    while no preset is in force, as no request is served then.
    """
    in_force = dependencies.presets.in_force()
    if in_force is None:
        return
    preset = _find_workspace(in_force.preset, workspace)
    if not preset.token_sha256:
        return
    digest = hashlib.sha256(token.encode()).hexdigest()
    if not hmac.compare_digest(digest, preset.token_sha256):
        raise TokenWrongError("the token is not this workspace's")


def to_placement_request(
    body: RequestBody, request_settings: RequestSettings
) -> PlacementRequest:
    """Return the `PlacementRequest` for a request and its settings."""
    kind = request_settings.kind
    estimated_tokens = max(1, len(body.prompt) // CHARACTERS_PER_TOKEN)
    placement_request = PlacementRequest(
        key=body.key,
        workspace=body.workspace,
        kind=body.kind,
        pool=kind.pool,
        weight=request_settings.weight,
        priority=kind.priority,
        prompt_tokens=body.prompt_tokens or estimated_tokens,
        prefix=body.prefix,
        max_tokens=_capped(body.max_tokens, kind.max_tokens),
        quantile=kind.quantile,
        deadline_ms=_capped(body.deadline_ms, kind.deadline_ms),
    )
    if request_settings.on_services:
        # A service call uses no engine memory; it counts as one token.
        return attrs.evolve(placement_request, prompt_tokens=0, max_tokens=1)
    return placement_request


def _capped(requested: int | None, limit: int) -> int:
    return min(requested or limit, limit)


def _find_workspace(preset: Preset, name: str) -> WorkspacePreset:
    workspaces = preset.workspaces
    found = workspaces.get(name) or workspaces.get(ANY_WORKSPACE)
    if found is None:
        raise WorkspaceUnknownError(f"no workspace {name!r}")
    return found
