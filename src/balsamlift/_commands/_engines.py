"""The command `engines`: show the memory and pace of engines."""

from __future__ import annotations

from collections.abc import Sequence

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._views import show_view

COLUMNS = [
    "name",
    "pool",
    "state",
    "memory_tokens",
    "reserved_tokens",
    "is_suspected",
    "is_ejected",
    "gap_ms",
    "slowness",
    "gap_age_ms",
]
USAGE = """Show how full and how fast engines are, as hosts know.

Tokens are those reserved through all hosts (`counts`: how these are known;
`old` and `scaled` are estimates). An engine that a host suspects or has
ejected gets work only if no other has memory. `gap_ms` is the mean time
between events of a stream, as measured by all hosts, and `slowness` its ratio
to that of a typical engine of the pool; `gap_age_ms` is the age of this
host's own measure.

Usage:
  balsamlift engines --at=IP:PORT... [--json]
  balsamlift engines (-h | --help)

Options:
  --at=IP:PORT  The operators' address of a host; may be repeated. Rows in
                which hosts differ are shown apart, with who shows which.
  --json        Print JSON: {"rows": [...], "unanswered": {ADDRESS: WHY}}.
  -h --help     Show this text.

Example:
  balsamlift engines --at=127.0.11.1:7101

Exit codes: 0 all asked have answered, 1 some or all have not (what came is
shown), 2 wrong usage.
"""


def run(argv: Sequence[str]) -> ExitCode:
    """Run `balsamlift engines` and return its exit code."""
    arguments = Arguments(USAGE, argv)
    return show_view(arguments, "/v1/engines", COLUMNS)
