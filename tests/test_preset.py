from __future__ import annotations

import copy
from typing import Any

import msgspec
import pytest

from balsamlift._loading import structure
from balsamlift.exceptions import SettingsError
from balsamlift.presets import KindPreset, Preset, WorkspacePreset
from balsamlift.presets._check import check_pools, check_preset
from balsamlift.settings import PoolSettings

VALID: dict[str, Any] = {
    "name": "ordinary",
    "kinds": {
        "report": {"pool": "drafting"},
        "lookup": {"pool": "tracker", "idempotent": False},
    },
    "workspaces": {"*": {}, "museum-north": {"weight": 2}},
    "pools": {"drafting": {"model": "scribe", "version": "3"}},
}
POOLS = {
    "drafting": PoolSettings(kind="engine"),
    "tracker": PoolSettings(kind="service"),
}


def modified_preset(path: str, value: Any) -> dict[str, Any]:
    """Return the valid preset with one field replaced; ... removes it."""
    whole = copy.deepcopy(VALID)
    *parents, last = path.split(".")
    parent = whole
    for step in parents:
        parent = parent.setdefault(step, {})
    if value is ...:
        del parent[last]
    else:
        parent[last] = value
    return whole


def test_check_preset_accepts_data_and_presets() -> None:
    preset = check_preset(VALID)
    assert preset.workspaces["museum-north"].weight == 2.0
    assert preset.policy.name == "balsamlift"
    assert check_preset(preset) is preset


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("name", ""),
        ("name", "two words"),
        ("kinds", {}),
        ("kinds.report.pool", ...),
        ("kinds.report.pool", ""),
        ("kinds.report.quantile", 0),
        ("kinds.report.quantile", 1),
        ("kinds.report.priority", -1),
        ("kinds.report.max_tokens", 0),
        ("kinds.report.deadline_s", 5),
        ("kinds.report.idempotent", "no"),
        ("workspaces", {}),
        ("workspaces.*.weight", 0),
        ("workspaces.*.weight", float("inf")),
        ("workspaces.*.token_sha256", "secret"),
        ("pools.drafting.model", ...),
        ("pools.drafting.adapters", ["a", "a"]),
        ("pools.draftng", {"model": "scribe", "version": "3"}),
        ("policy.name", "random"),
        ("policy.gap_weight", -1),
        ("policy.gap_weight", "1"),
    ],
)
def test_check_preset_reports_the_invalid_field(path: str, value: Any) -> None:
    with pytest.raises(SettingsError) as caught:
        check_preset(modified_preset(path, value), "peak.json5")
    assert caught.value.path == path
    assert caught.value.file == "peak.json5"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("kinds.report.quantile", 1),
        ("workspaces.*.weight", 0),
        ("policy.name", "random"),
    ],
)
def test_msgspec_decoding_checks_the_same_ranges(
    path: str, value: Any
) -> None:
    text = msgspec.json.encode(modified_preset(path, value))
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(text, type=Preset)


def test_preset_round_trips_through_json() -> None:
    preset = check_preset(VALID)
    text = msgspec.json.encode(preset)
    assert msgspec.json.decode(text, type=Preset) == preset
    assert structure(msgspec.json.decode(text), Preset) == preset


def test_check_pools_accepts_pools_of_the_settings() -> None:
    check_pools(check_preset(VALID), POOLS)


@pytest.mark.parametrize(
    ("preset", "pools", "path"),
    [
        (VALID, {"tracker": POOLS["tracker"]}, "kinds.report.pool"),
        (modified_preset("pools", {}), POOLS, "pools.drafting"),
        (
            modified_preset(
                "pools.tracker", {"model": "scribe", "version": "3"}
            ),
            POOLS,
            "pools.tracker",
        ),
    ],
)
def test_check_pools_reports_the_invalid_field(
    preset: dict[str, Any], pools: dict[str, PoolSettings], path: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        check_pools(check_preset(preset), pools)
    assert caught.value.path == path


def test_direct_construction_checks_ranges() -> None:
    with pytest.raises(ValueError, match="quantile"):
        KindPreset(pool="drafting", quantile=2.0)
    with pytest.raises(ValueError, match="weight"):
        WorkspacePreset(weight=-1.0)
