"""The command `upstreams`: show the engines and plain services."""

from __future__ import annotations

from collections.abc import Sequence

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._views import show_view

COLUMNS = ["name", "pool", "state", "is_evacuated"]
USAGE = """Show the engines and plain services, as one or several hosts do.

Usage:
  balsamlift upstreams --at=IP:PORT... [--json]
  balsamlift upstreams (-h | --help)

Options:
  --at=IP:PORT  The operators' address of a host; may be repeated. Rows in
                which hosts differ are shown apart, with who shows which.
  --json        Print JSON: {"rows": [...], "unanswered": {ADDRESS: WHY}}.
  -h --help     Show this text.

Example:
  balsamlift upstreams --at=127.0.11.1:7101

Exit codes: 0 all asked have answered, 1 some or all have not (what came is
shown), 2 wrong usage.
"""


def run(argv: Sequence[str]) -> ExitCode:
    """Run `balsamlift upstreams` and return its exit code."""
    arguments = Arguments(USAGE, argv)
    return show_view(arguments, "/v1/upstreams", COLUMNS)
