"""The command `upstreams`: show the engines and plain services."""

from __future__ import annotations

from balsamlift._commands._views import make_view_command

COLUMNS = ["name", "pool", "state", "is_evacuated"]
DESCRIPTION = (
    "Show the engines and plain services, as one or several hosts do."
)

run = make_view_command("upstreams", DESCRIPTION, COLUMNS)
