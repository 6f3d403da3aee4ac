"""Show a table of hosts or upstreams as one or several hosts see it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_json, print_table
from balsamlift._commands._reading import (
    Readings,
    exit_code,
    read_rows,
)

T = TypeVar("T")

SEEN_BY = "seen_by"


def show_view(arguments: Arguments, path: str, columns: list[str]) -> ExitCode:
    """Print the table at `path` of every host asked."""
    readings = asyncio.run(read_rows(arguments.addresses("--at"), path))
    rows = merge_views(readings.answers)
    return print_views(arguments, readings, rows, columns)


def print_views(
    arguments: Arguments,
    readings: Readings[T],
    rows: list[dict[str, Any]],
    columns: list[str],
) -> ExitCode:
    """Print merged rows; who shows them only where several were asked."""
    if arguments.flag("--json"):
        print_json({"rows": rows, "unanswered": readings.unanswered})
    elif len(arguments.addresses("--at")) > 1:
        print_table(rows, [*columns, SEEN_BY])
    else:
        print_table([_without_witnesses(row) for row in rows], columns)
    return exit_code(readings)


def merge_views(
    views: Mapping[str, list[dict[str, Any]]],
) -> list[dict[str, Any]]:
    """Return each distinct row once, with the addresses that show it.

    Hosts may differ for a moment: rows that differ stay apart.
    """
    merged: dict[bytes, dict[str, Any]] = {}
    for address, rows in views.items():
        for row in rows:
            content = msgspec.json.encode(row, order="sorted")
            seen = merged.setdefault(content, {**row, SEEN_BY: []})
            seen[SEEN_BY].append(address)
    return list(merged.values())


def _without_witnesses(row: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in row.items() if name != SEEN_BY}
