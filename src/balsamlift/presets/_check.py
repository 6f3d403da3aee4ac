"""Check a preset as a whole."""

from __future__ import annotations

from collections.abc import Mapping

from balsamlift._loading import structure
from balsamlift.exceptions import SettingsError
from balsamlift.presets._preset import Preset
from balsamlift.settings import PoolSettings


def check_preset(obj: object, file: str = "") -> Preset:
    """Return the preset that plain data, or a `Preset`, describes.

    The answer depends on `obj` alone, so that every reader of the log
    judges a record alike. Raises `SettingsError`.
    """
    preset = obj if isinstance(obj, Preset) else structure(obj, Preset, file)
    used = {kind.pool for kind in preset.kinds.values()}
    for pool in preset.pools:
        if pool not in used:
            raise SettingsError(
                file or preset.name,
                f"pools.{pool}",
                "a pool that a kind uses; they use " + ", ".join(sorted(used)),
            )
    return preset


def check_pools(
    preset: Preset, pools: Mapping[str, PoolSettings], file: str = ""
) -> None:
    """Check a preset against the pools that the settings describe.

    Only for operators before they publish: hosts may differ in their
    settings for a while. Raises `SettingsError`.
    """
    name = file or preset.name
    for kind, served in preset.kinds.items():
        settings = pools.get(served.pool)
        if settings is None:
            known = ", ".join(sorted(pools))
            raise SettingsError(
                name, f"kinds.{kind}.pool", f"a pool of the settings: {known}"
            )
        if settings.kind == "engine" and served.pool not in preset.pools:
            raise SettingsError(
                name,
                f"pools.{served.pool}",
                "a model and a version, for its upstreams are engines",
            )
    for pool in preset.pools:
        if pools[pool].kind != "engine":
            raise SettingsError(
                name, f"pools.{pool}", "a pool of engines, not of services"
            )
