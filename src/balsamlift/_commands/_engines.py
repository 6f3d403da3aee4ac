"""The command `engines`: show the memory and pace of engines."""

from __future__ import annotations

from balsamlift._commands._views import make_view_command

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
DESCRIPTION = """Show how full and how fast engines are, as hosts know.

Tokens are those reserved through all hosts (`counts`: how these are known;
`old` and `scaled` are estimates). An engine that a host suspects or has
ejected gets work only if no other has memory. `gap_ms` is the mean time
between events of a stream, as measured by all hosts, and `slowness` its ratio
to that of a typical engine of the pool; `gap_age_ms` is the age of this
host's own measure."""

run = make_view_command("engines", DESCRIPTION, COLUMNS)
