"""Validate a preset as a whole, beyond the checks of single fields."""

from __future__ import annotations

from collections.abc import Mapping

from balsamlift._loading import structure
from balsamlift.exceptions import SettingsError
from balsamlift.presets._preset import Preset
from balsamlift.settings import PoolSettings


def check_preset(obj: object, file: str = "") -> Preset:
    """Return a validated preset from plain data or from a `Preset`.

    The result depends on `obj` alone, so that every reader of the log
    accepts or rejects the same records. Raises `SettingsError`.
    """
    preset = obj if isinstance(obj, Preset) else structure(obj, Preset, file)
    used = {kind.pool for kind in preset.kinds.values()}
    for pool in preset.pools:
        if pool not in used:
            raise SettingsError(
                file or preset.name,
                f"pools.{pool}",
                "a pool that a kind uses; kinds use: "
                + ", ".join(sorted(used)),
            )
    return preset


def check_pools(
    preset: Preset, pools: Mapping[str, PoolSettings], file: str = ""
) -> None:
    """Check a preset against the pools defined in the settings.

    Only operators call this, before they publish: the settings of hosts may
    differ for a while, so readers of the log must not depend on them.
    Raises `SettingsError`.
    """
    name = file or preset.name
    for kind, served in preset.kinds.items():
        settings = pools.get(served.pool)
        if settings is None:
            known = ", ".join(sorted(pools))
            raise SettingsError(
                name,
                f"kinds.{kind}.pool",
                f"a pool defined in the settings: {known}",
            )
        if settings.kind == "engine" and served.pool not in preset.pools:
            raise SettingsError(
                name,
                f"pools.{served.pool}",
                "a model and a version, as its upstreams are engines",
            )
    for pool in preset.pools:
        if pools[pool].kind != "engine":
            raise SettingsError(
                name, f"pools.{pool}", "a pool of engines, not of services"
            )
