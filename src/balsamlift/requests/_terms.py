"""The terms of one request, derived from the preset in force."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from balsamlift.exceptions import RefusedError
from balsamlift.placement import PlacementRequest
from balsamlift.presets import InForce, KindPreset, Preset, WorkspacePreset
from balsamlift.requests._errors import (
    KindUnknownError,
    TokenWrongError,
    WorkspaceUnknownError,
)
from balsamlift.requests._messages import RequestBody
from balsamlift.requests._parts import Parts

ANY_WORKSPACE = "*"
CHARACTERS_PER_TOKEN = 4  # rough estimate, if the caller gives no count
NO_PRESET_RETRY_MS = 1_000


@attrs.frozen(kw_only=True)
class Terms:
    """Hold the settings of a request, fixed from its admission to its end."""

    in_force: InForce
    kind: KindPreset
    model: str  # that the pool should run; "" if the preset names none
    weight: float  # of the workspace
    idempotent: bool
    on_services: bool


def find_terms(parts: Parts, body: RequestBody) -> Terms:
    """Return the terms that the preset in force sets for a request.

    Raises `KindUnknownError` and `WorkspaceUnknownError`, and `RefusedError`
    while no preset is in force.
    """
    in_force = parts.presets.in_force()
    if in_force is None:
        raise RefusedError("no_preset", NO_PRESET_RETRY_MS)
    kind = in_force.preset.kinds.get(body.kind)
    if kind is None:
        raise KindUnknownError(f"no kind {body.kind!r}")
    pool = parts.settings.pools.get(kind.pool)
    if pool is None:
        raise KindUnknownError(f"kind {body.kind!r} has no pool here")
    wanted = in_force.preset.pools.get(kind.pool)
    return Terms(
        in_force=in_force,
        kind=kind,
        model=wanted.model if wanted else "",
        weight=_find_workspace(in_force.preset, body.workspace).weight,
        # A caller may declare an idempotent kind non-idempotent, but not
        # the reverse.
        idempotent=kind.idempotent and body.idempotent is not False,
        on_services=pool.kind == "service",
    )


def authorize(parts: Parts, workspace: str, token: str) -> None:
    """Check that the token belongs to the workspace.

    Raises `WorkspaceUnknownError` and `TokenWrongError`. Checks nothing
    while no preset is in force, as no request is served then.
    """
    in_force = parts.presets.in_force()
    if in_force is None:
        return
    preset = _find_workspace(in_force.preset, workspace)
    if not preset.token_sha256:
        return
    digest = hashlib.sha256(token.encode()).hexdigest()
    if not hmac.compare_digest(digest, preset.token_sha256):
        raise TokenWrongError("the token is not this workspace's")


def to_ask(body: RequestBody, terms: Terms) -> PlacementRequest:
    """Return the request to placement."""
    kind = terms.kind
    guess = max(1, len(body.prompt) // CHARACTERS_PER_TOKEN)
    ask = PlacementRequest(
        key=body.key,
        workspace=body.workspace,
        kind=body.kind,
        pool=kind.pool,
        weight=terms.weight,
        priority=kind.priority,
        prompt_tokens=body.prompt_tokens or guess,
        prefix=body.prefix,
        max_tokens=_at_most(body.max_tokens, kind.max_tokens),
        quantile=kind.quantile,
        deadline_ms=_at_most(body.deadline_ms, kind.deadline_ms),
    )
    if terms.on_services:
        # A service call uses no engine memory; it counts as one token.
        return attrs.evolve(ask, prompt_tokens=0, max_tokens=1)
    return ask


def _at_most(wanted: int | None, bound: int) -> int:
    return min(wanted or bound, bound)


def _find_workspace(preset: Preset, name: str) -> WorkspacePreset:
    workspaces = preset.workspaces
    found = workspaces.get(name) or workspaces.get(ANY_WORKSPACE)
    if found is None:
        raise WorkspaceUnknownError(f"no workspace {name!r}")
    return found
