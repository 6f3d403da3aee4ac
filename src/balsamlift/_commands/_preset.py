"""The command `preset`: check, publish, switch and show presets."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any

import attrs

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_json
from balsamlift._commands._preset_views import (
    show_history,
    show_list,
    show_preset,
)
from balsamlift._loading import load
from balsamlift.exceptions import InterruptedUnknownError
from balsamlift.presets import (
    OperationResult,
    Operator,
    Preset,
    check_pools,
    check_preset,
)
from balsamlift.settings import Settings

USAGE = """Check, publish and switch presets, and look at them.

Usage:
  balsamlift preset check [--settings=FILE] [--json] PRESET...
  balsamlift preset publish --log=IP:PORT [--settings=FILE] [--json] PRESET
  balsamlift preset switch --log=IP:PORT [--expect=GENERATION] [--json] NAME
  balsamlift preset list --at=IP:PORT... [--json]
  balsamlift preset show --at=IP:PORT... [--json] [NAME]
  balsamlift preset history --at=IP:PORT... [--json]
  balsamlift preset (-h | --help)

Commands:
  check    Check files of JSON with comments; docs/SETTINGS.md lists fields.
  publish  Make a preset known to all hosts. It is not yet in force.
  switch   Put a published preset in force everywhere.
  list     Show the presets known, and which one is in force.
  show     Show the newest version of a preset; without NAME, what is in
           force, which may be an older version of its name.
  history  Show the switches, newest last.

Options:
  --log=IP:PORT        The platform's log.
  --at=IP:PORT         The operators' address of a host; may be repeated.
                       Rows in which hosts differ are shown apart.
  --settings=FILE      A host's settings: check the pools against it as well.
  --expect=GENERATION  Switch only while this generation is in force. Without
                       it, the one in force when the command begins.
  --json               Print JSON.
  -h --help            Show this text.

Examples:
  balsamlift preset check examples/warisan-pulih/presets/*.json5
  balsamlift preset publish --log=127.0.10.1:7000 peak.json5
  balsamlift preset switch --log=127.0.10.1:7000 --expect=3 peak

Exit codes: 0 done, that is accepted by whoever reads the log; 1 refused or
failed, nothing has changed; 2 wrong usage, settings or preset; 3 not
known, for the log gave no answer: it may have taken effect, look at
`history`; 4 another operator came first, look at `history` and decide anew.
"""

_EXIT_CODES = {
    "accepted": ExitCode.DONE,
    "invalid": ExitCode.FAILED,
    "unknown": ExitCode.UNKNOWN,
    "superseded": ExitCode.SUPERSEDED,
}
_STATE_TEXTS = {
    "accepted": "accepted",
    "invalid": "void: the log's readers do not accept it",
    "unknown": "not known: the log gave no answer, it may have taken effect",
    "superseded": "superseded: another operator came first",
}


@attrs.frozen
class Report:
    """Hold the result of publishing or switching a preset."""

    name: str
    state: str
    generation: int | None  # in force right after the operation, if known


def run(argv: Sequence[str]) -> ExitCode:
    """Run `balsamlift preset` and return its exit code."""
    arguments = Arguments(USAGE, argv)
    if arguments.flag("check"):
        return _check(arguments)
    if arguments.flag("publish"):
        return _publish(arguments)
    if arguments.flag("switch"):
        return _switch(arguments)
    if arguments.flag("list"):
        return show_list(arguments)
    if arguments.flag("history"):
        return show_history(arguments)
    return show_preset(arguments)


def _check(arguments: Arguments) -> ExitCode:
    names = []
    for file in arguments.texts("PRESET"):
        names.append(_load_preset(arguments, file).name)
        if not arguments.flag("--json"):
            print(f"{file}: preset {names[-1]} is valid")
    if arguments.flag("--json"):
        print_json({"valid": names})
    return ExitCode.DONE


def _load_preset(arguments: Arguments, file: str) -> Preset:
    preset = check_preset(load(file, Preset), file)
    settings_file = arguments.text("--settings")
    if settings_file:
        check_pools(preset, load(settings_file, Settings).pools, file)
    return preset


def _publish(arguments: Arguments) -> ExitCode:
    preset = _load_preset(arguments, arguments.texts("PRESET")[0])
    operator = Operator(arguments.address("--log"))
    result = _run_operation(operator.publish(preset))
    return _report(
        arguments, Report(preset.name, result.state, result.generation)
    )


def _switch(arguments: Arguments) -> ExitCode:
    name = arguments.text("NAME")
    operator = Operator(arguments.address("--log"))
    result = _run_operation(
        operator.switch(name, arguments.number("--expect"))
    )
    return _report(arguments, Report(name, result.state, result.generation))


def _run_operation(
    operation: Coroutine[Any, Any, OperationResult],
) -> OperationResult:
    """Run an operation and return its result.

    Once it has begun, an operation may take effect even if interrupted.

    Raises `InterruptedUnknownError`.
    """
    try:
        return asyncio.run(operation)
    except KeyboardInterrupt as error:
        raise InterruptedUnknownError from error


def _report(arguments: Arguments, report: Report) -> ExitCode:
    if arguments.flag("--json"):
        print_json(report)
    else:
        print(f"preset {report.name}: {_STATE_TEXTS[report.state]}")
        if report.generation is not None:
            print(f"generation in force: {report.generation}")
    return _EXIT_CODES[report.state]
