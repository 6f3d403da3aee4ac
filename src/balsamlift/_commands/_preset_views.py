"""The commands `preset list`, `preset show` and `preset history`."""

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
    read_from_hosts,
    report_unanswered,
)
from balsamlift._commands._views import merge_views, print_views
from balsamlift.exceptions import PresetMissingError
from balsamlift.presets import Preset
from balsamlift.presets._routes import PresetsView

_CHANGE_COLUMNS = ["generation", "name", "version", "offset", "at_ms"]


@attrs.frozen
class ListedPreset:
    """Hold a row of `preset list`: a published preset without its content."""

    name: str
    version: int
    offset: int
    in_force: bool  # by name; the version in force may be an older one
    generation: int | None  # None unless in force


@attrs.frozen
class ShownPreset:
    """Hold a preset with its content and the hosts that returned it."""

    preset: Preset
    seen_by: list[str]


def show_list(arguments: Arguments) -> ExitCode:
    """Print the known presets and which one is in force."""
    readings = _read(arguments)
    rows = _merge({a: _list_presets(v) for a, v in readings.answers.items()})
    return print_views(arguments, readings, rows, ["name", "version"])


def show_history(arguments: Arguments) -> ExitCode:
    """Print the switches, newest last."""
    readings = _read(arguments)
    rows = _merge({a: v.history for a, v in readings.answers.items()})
    rows.sort(key=lambda row: (row["offset"], row["generation"]))
    return print_views(arguments, readings, rows, _CHANGE_COLUMNS)


def show_preset(arguments: Arguments) -> ExitCode:
    """Print one preset with its content, by default the one in force."""
    readings = _read(arguments)
    shown = _distinct_contents(readings.answers, arguments.text("NAME"))
    if not shown:
        raise PresetMissingError(arguments.text("NAME"))
    if arguments.flag("--json"):
        print_json({"presets": shown, "unanswered": readings.unanswered})
        return report_unanswered(readings)
    for one in shown:
        print(f"// as shown by {', '.join(one.seen_by)}")
        encoded = msgspec.json.encode(one.preset)
        print(msgspec.json.format(encoded).decode())
    return report_unanswered(readings)


def _read(arguments: Arguments) -> Readings[PresetsView]:
    return asyncio.run(
        read_from_hosts(
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


def _list_presets(view: PresetsView) -> list[ListedPreset]:
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


def _distinct_contents(
    views: dict[str, PresetsView], name: str
) -> list[ShownPreset]:
    """Return each distinct content of the preset once, with its hosts."""
    shown: list[ShownPreset] = []
    for address, view in views.items():
        preset = _find(view, name)
        if preset is None:
            continue
        known = next((one for one in shown if one.preset == preset), None)
        if known is None:
            shown.append(ShownPreset(preset, [address]))
        else:
            known.seen_by.append(address)
    return shown


def _find(view: PresetsView, name: str) -> Preset | None:
    if not name:
        return view.preset
    found = (one.preset for one in view.presets if one.name == name)
    return next(found, None)
