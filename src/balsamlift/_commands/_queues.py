"""The command `queues`: show who waits for engine memory."""

from __future__ import annotations

from balsamlift._commands._views import make_view_command

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
DESCRIPTION = """Show who waits for engine memory at a host, and who holds it.

A row for each pool (with its regions, where a route or a workspace names
some), priority and workspace: the requests and tokens that wait at the host
that shows it and the longest wait so far, the tokens that wait at other hosts,
and the weight of the workspace. The priority is ten times that of the
workspace, or of the route if it has none, plus that of the route. The tokens
held are those of all hosts while requests wait, else those of this host.
`counts` says how the other hosts' part is known; `old` and `scaled` are
estimates."""

run = make_view_command("queues", DESCRIPTION, COLUMNS)
