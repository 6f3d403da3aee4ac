"""The command `serve`: run one entry host."""

from __future__ import annotations

from collections.abc import Sequence

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._loading import load
from balsamlift.exceptions import AddressUnavailableError, StartError
from balsamlift.settings import Settings

USAGE = """Run one host until it is told to stop.

Usage:
  balsamlift serve [--check] SETTINGS
  balsamlift serve (-h | --help)

Arguments:
  SETTINGS   A file of JSON with comments; docs/SETTINGS.md lists its fields.

Options:
  --check    Only check the file, do not serve.
  -h --help  Show this text.

Once the host listens it prints one JSON line on stdout that holds its
addresses; all else goes to the log on stderr. SIGTERM or SIGINT let it
finish what it has taken, within `shutdown_ms`, and exit.

Example:
  balsamlift serve examples/warisan-pulih/hosts/entry-1.json5

Exit codes: 0 stopped as told, 1 failed, 2 wrong usage or settings.
"""


def run(argv: Sequence[str]) -> ExitCode:
    """Run `balsamlift serve` and return its exit code."""
    arguments = Arguments(USAGE, argv)
    settings = load(arguments.text("SETTINGS"), Settings)
    if arguments.flag("--check"):
        print(f"{arguments.text('SETTINGS')}: settings are valid")
        return ExitCode.DONE
    try:
        _run_daemon(settings)
    except (OSError, AddressUnavailableError) as error:
        raise StartError(settings.host, str(error)) from error
    return ExitCode.DONE


def _run_daemon(settings: Settings) -> None:
    # Imported here, as checking a settings file does not need the daemon.
    from balsamlift import daemon

    daemon.run(settings)
