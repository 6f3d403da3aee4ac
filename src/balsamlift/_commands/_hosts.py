"""The command `hosts`: show the entry hosts."""

from __future__ import annotations

from balsamlift._commands._views import make_view_command

COLUMNS = ["host", "state", "evacuated"]
DESCRIPTION = "Show the entry hosts, as one or several of them see each other."

run = make_view_command("hosts", DESCRIPTION, COLUMNS)
