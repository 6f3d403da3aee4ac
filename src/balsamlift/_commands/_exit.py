"""Exit codes of all commands; scripts rely on them."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Enumerate the ways in which a command can end."""

    DONE = 0
    FAILED = 1  # failed, refused, or only some hosts answered
    USAGE = 2  # wrong arguments, settings or preset
    UNKNOWN = 3  # it may or may not have taken effect
    SUPERSEDED = 4  # another operator came first
