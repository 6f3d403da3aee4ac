"""The command `queues`: show who waits for engine memory."""

from __future__ import annotations

from collections.abc import Sequence

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._views import show_view

COLUMNS = [
    "pool",
    "priority",
    "workspace",
    "weight",
    "waiting_requests",
    "waiting_tokens",
    "longest_wait_ms",
    "waiting_tokens_elsewhere",
    "held_tokens",
]
USAGE = """Show who waits for engine memory at a host, and who holds it.

A row for each pool (with its regions, where a route or a workspace names
some), priority and workspace: the requests and tokens that wait at the host
that shows it and the longest wait so far, the tokens that wait at other
hosts, and the weight of the workspace. The tokens held are those of all hosts
while requests wait, else those of this host. `counts` says how the other
hosts' part is known; `old` and `scaled` are estimates.

Usage:
  balsamlift queues --at=IP:PORT... [--json]
  balsamlift queues (-h | --help)

Options:
  --at=IP:PORT  The operators' address of a host; may be repeated. Rows in
                which hosts differ are shown apart, with who shows which.
  --json        Print JSON: {"rows": [...], "unanswered": {ADDRESS: WHY}}.
  -h --help     Show this text.

Example:
  balsamlift queues --at=127.0.11.1:7101

Exit codes: 0 all asked have answered, 1 some or all have not (what came is
shown), 2 wrong usage.
"""


def run(argv: Sequence[str]) -> ExitCode:
    """Run `balsamlift queues` and return its exit code."""
    arguments = Arguments(USAGE, argv)
    return show_view(arguments, "/v1/queues", COLUMNS)
