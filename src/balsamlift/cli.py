"""Entry point of the command line: dispatch subcommands, report errors."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from importlib import import_module

import msgspec
from docopt import DocoptExit

from balsamlift._address import AddressError
from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_note
from balsamlift.exceptions import (
    BalsamliftError,
    InterruptedUnknownError,
    SettingsError,
    UsageError,
)

USAGE = """Serve generations of unknown length on crowded engines.

Usage:
  balsamlift COMMAND [ARGUMENT...]
  balsamlift (-h | --help)

Commands:
  serve      Run one host.
  preset     Check, publish, switch and look at presets.
  hosts      Show the entry hosts.
  upstreams  Show the engines and plain services.
  queues     Show who waits for engine memory, and who holds it.
  engines    Show how full and how fast engines are.
  timeline   Show the events of all hosts in one order.
  logs       Show the log lines of all hosts, out of files.
  metrics    Show the measurements of all hosts together.
  request    Send one request and print its answer.

`balsamlift COMMAND --help` explains a command and gives an example.

Exit codes: 0 done, 1 failed or refused, 2 wrong usage or settings, 3 not
known whether it took effect, 4 another operator came first.
"""

Command = Callable[[Sequence[str]], ExitCode]

_COMMANDS = (
    "serve",
    "preset",
    "hosts",
    "upstreams",
    "queues",
    "engines",
    "timeline",
    "logs",
    "metrics",
    "request",
)
_HELP = ("-h", "--help")
_USAGE_ERRORS = (SettingsError, UsageError, AddressError)


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        code = _run(arguments)
        sys.stdout.flush()
    except BalsamliftError as error:
        _print_error(error, as_json="--json" in arguments)
        return _exit_code_of(error)
    except KeyboardInterrupt:
        print_note("interrupted")
        return ExitCode.FAILED
    except BrokenPipeError:
        # The reader of standard output has closed it. Without this, Python
        # reports the broken pipe at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.FAILED
    return code


def _run(argv: list[str]) -> ExitCode:
    try:
        if not argv or argv[0] in _HELP:
            Arguments(USAGE, argv)
        if argv[0] not in _COMMANDS:
            raise UsageError(f"no command {argv[0]!r}; see --help")
        return _load_command(argv[0])(argv)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    except SystemExit as error:  # docopt has printed the help
        return ExitCode.FAILED if error.code else ExitCode.DONE


def _load_command(name: str) -> Command:
    """Return the function of a command, importing only its module."""
    module = import_module(f"balsamlift._commands._{name}")
    command: Command = module.run
    return command


def _exit_code_of(error: BalsamliftError) -> ExitCode:
    if isinstance(error, _USAGE_ERRORS):
        return ExitCode.USAGE
    if isinstance(error, InterruptedUnknownError):
        return ExitCode.UNKNOWN
    return ExitCode.FAILED


def _print_error(error: BalsamliftError, *, as_json: bool) -> None:
    if not as_json:
        print_note(error.message)
        return
    fields = {"error": type(error).__name__, "message": error.message}
    print(msgspec.json.encode(fields).decode(), file=sys.stderr)
