"""The exit codes that scripts rely on."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Tell how a command ended."""

    DONE = 0
    FAILED = 1  # the system failed, refused or answered in part
    USAGE = 2  # wrong arguments, settings or preset
    UNKNOWN = 3  # it may or may not have taken effect
    SUPERSEDED = 4  # another operator came first
