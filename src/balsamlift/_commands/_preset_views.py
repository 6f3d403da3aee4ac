"""Show the presets that hosts know: list, show and history."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import msgspec

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_json
from balsamlift._commands._reading import (
    Readings,
    exit_code,
    read_everywhere,
)
from balsamlift._commands._views import merge_views, print_views
from balsamlift.exceptions import PresetMissingError
from balsamlift.presets import Preset
from balsamlift.presets._routes import PresetsView

_CHANGE_COLUMNS = ["generation", "name", "version", "offset", "at_ms"]


@attrs.frozen
class ListedPreset:
    """Show one published preset without its content."""

    name: str
    version: int
    offset: int
    in_force: bool  # whether this name is; an older version may be
    generation: int | None  # where it is in force


@attrs.frozen
class ShownPreset:
    """Show one preset with its content, and which hosts show it."""

    preset: Preset
    seen_by: list[str]


def show_list(arguments: Arguments) -> ExitCode:
    """Print the presets known, and which one is in force."""
    readings = _read(arguments)
    rows = _merge({a: _listed(v) for a, v in readings.answers.items()})
    return print_views(arguments, readings, rows, ["name", "version"])


def show_history(arguments: Arguments) -> ExitCode:
    """Print the switches, newest last."""
    readings = _read(arguments)
    rows = _merge({a: v.history for a, v in readings.answers.items()})
    rows.sort(key=lambda row: (row["offset"], row["generation"]))
    return print_views(arguments, readings, rows, _CHANGE_COLUMNS)


def show_preset(arguments: Arguments) -> ExitCode:
    """Print one preset whole, by default the one in force."""
    readings = _read(arguments)
    shown = _shown(readings.answers, arguments.text("NAME"))
    if not shown:
        raise PresetMissingError(arguments.text("NAME"))
    if arguments.flag("--json"):
        print_json({"presets": shown, "unanswered": readings.unanswered})
        return exit_code(readings)
    for one in shown:
        print(f"// as shown by {', '.join(one.seen_by)}")
        encoded = msgspec.json.encode(one.preset)
        print(msgspec.json.format(encoded).decode())
    return exit_code(readings)


def _read(arguments: Arguments) -> Readings[PresetsView]:
    return asyncio.run(
        read_everywhere(
            arguments.addresses("--at"),
            "/v1/presets",
            PresetsView,
            alone=True,
        )
    )


def _merge(views: dict[str, list[Any]]) -> list[dict[str, Any]]:
    return merge_views(
        {
            address: [attrs.asdict(row) for row in rows]
            for address, rows in views.items()
        }
    )


def _listed(view: PresetsView) -> list[ListedPreset]:
    return [
        ListedPreset(
            name=one.name,
            version=one.version,
            offset=one.offset,
            in_force=one.name == view.in_force,
            generation=view.generation if one.name == view.in_force else None,
        )
        for one in view.presets
    ]


def _shown(views: dict[str, PresetsView], name: str) -> list[ShownPreset]:
    """Return each distinct content of the preset once."""
    shown: list[ShownPreset] = []
    for address, view in views.items():
        preset = _find(view, name)
        if preset is None:
            continue
        same = next((one for one in shown if one.preset == preset), None)
        if same is None:
            shown.append(ShownPreset(preset, [address]))
        else:
            same.seen_by.append(address)
    return shown


def _find(view: PresetsView, name: str) -> Preset | None:
    if not name:
        return view.preset
    found = (one.preset for one in view.presets if one.name == name)
    return next(found, None)
