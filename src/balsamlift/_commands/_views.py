"""Merge and print the tables that one or several hosts serve."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

import msgspec

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_json, print_table
from balsamlift._commands._reading import (
    Readings,
    read_rows,
    report_unanswered,
)

T = TypeVar("T")

SEEN_BY = "seen_by"
_USAGE = """{description}

Usage:
  balsamlift {name} --at=IP:PORT... [--json]
  balsamlift {name} (-h | --help)

Options:
  --at=IP:PORT  The operators' address of a host; may be repeated. Rows in
                which hosts differ are shown apart, with who shows which.
  --json        Print JSON: {{"rows": [...], "unanswered": {{ADDRESS: WHY}}}}.
  -h --help     Show this text.

Example:
  balsamlift {name} --at=127.0.11.1:7101

Exit codes: 0 all asked have answered, 1 some or all have not (what came is
shown), 2 wrong usage.
"""


def make_view_command(
    name: str, description: str, columns: list[str]
) -> Callable[[Sequence[str]], ExitCode]:
    """Return a command that shows the table of that name."""
    usage = _USAGE.format(name=name, description=description)

    def run(argv: Sequence[str]) -> ExitCode:
        return show_view(Arguments(usage, argv), f"/v1/{name}", columns)

    return run


def show_view(arguments: Arguments, path: str, columns: list[str]) -> ExitCode:
    """Print the merged tables that the hosts serve at `path`."""
    readings = asyncio.run(read_rows(arguments.addresses("--at"), path))
    rows = merge_views(readings.answers)
    return print_views(arguments, readings, rows, columns)


def print_views(
    arguments: Arguments,
    readings: Readings[T],
    rows: list[dict[str, Any]],
    columns: list[str],
) -> ExitCode:
    """Print merged rows; with several hosts, also which of them show a row."""
    if arguments.flag("--json"):
        print_json({"rows": rows, "unanswered": readings.unanswered})
    elif len(arguments.addresses("--at")) > 1:
        print_table(rows, [*columns, SEEN_BY])
    else:
        print_table([_without_seen_by(row) for row in rows], columns)
    return report_unanswered(readings)


def merge_views(
    views: Mapping[str, list[dict[str, Any]]],
) -> list[dict[str, Any]]:
    """Return each distinct row once, with the addresses that show it.

    Hosts may differ for a while; rows that differ are kept separate.
    """
    merged: dict[bytes, dict[str, Any]] = {}
    for address, rows in views.items():
        for row in rows:
            content = msgspec.json.encode(row, order="sorted")
            merged_row = merged.setdefault(content, {**row, SEEN_BY: []})
            merged_row[SEEN_BY].append(address)
    return list(merged.values())


def _without_seen_by(row: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in row.items() if name != SEEN_BY}
