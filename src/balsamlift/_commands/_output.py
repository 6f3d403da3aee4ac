"""Print results for people, or as JSON for scripts."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

# A row of a table that a host returns, with any fields.
Row = Mapping[str, Any]


def print_json(value: object) -> None:
    """Print a value as a single line of JSON."""
    print(msgspec.json.encode(value).decode())


def print_note(text: str) -> None:
    """Print a message for people on standard error."""
    print(f"balsamlift: {text}", file=sys.stderr)


def print_table(rows: Sequence[Row], columns: Iterable[str] = ()) -> None:
    """Print rows as a table with aligned columns.

    The given columns come first, then all other fields of the rows.
    """
    if not rows:
        print("(none)")
        return
    header = list(dict.fromkeys([*columns, *(n for row in rows for n in row)]))
    lines = [[_cell(row.get(name)) for name in header] for row in rows]
    widths = [
        max(len(line[i]) for line in [header, *lines])
        for i in range(len(header))
    ]
    for line in [header, *lines]:
        cells = [
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ]
        print("  ".join(cells).rstrip())


def _cell(value: object) -> str:
    """Return the text of a cell, with control characters replaced.

    Control characters must not reach a terminal.
    """
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(_cell(item) for item in value) or "-"
    if isinstance(value, float):
        return f"{value:g}"
    text = value if isinstance(value, str) else msgspec.json.encode(value)
    decoded = text.decode() if isinstance(text, bytes) else text
    return "".join(c if c.isprintable() else "?" for c in decoded)
