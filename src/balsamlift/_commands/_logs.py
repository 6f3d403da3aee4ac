"""The command `logs`: merge the log files of hosts and filter their lines."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

import attrs
import msgspec

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_json, print_note, print_table
from balsamlift._json import decode_json
from balsamlift.exceptions import UsageError
from balsamlift.logs import DetailedLogLine

USAGE = """Show the log lines of all hosts in one order, out of files.

Usage:
  balsamlift logs FILE... [--request=ID] [--upstream=NAME] [--host=HOST]
                  [--part=PART] [--from=TIME] [--to=TIME] [--json]
  balsamlift logs (-h | --help)

Options:
  FILE             What hosts wrote on standard output; "-" reads it from
                   standard input. Text before the JSON of a line is
                   skipped, and so are lines without any.
  --request=ID     Only lines on this request.
  --upstream=NAME  Only lines that name this upstream.
  --host=HOST      Only lines of this host.
  --part=PART      Only lines of this part, e.g. relay, generations, store.
  --from=TIME      Only lines from this time on (ISO 8601, or its start).
  --to=TIME        Only lines before this time.
  --json           Print JSON: a list of lines.
  -h --help        Show this text.

Example:
  balsamlift logs host-*.log --request=9c41d07be2a35f68

Exit codes: 0 lines were found, 1 none was, 2 wrong usage.
"""

_COLUMNS = ["time", "host", "part", "message", "details"]


@attrs.frozen(kw_only=True)
class Filter:
    """Select the lines to show; an empty field matches all lines."""

    request: str
    upstream: str
    host: str
    part: str
    start: str
    end: str

    def matches(self, line: DetailedLogLine) -> bool:
        """Return whether a line matches all fields."""
        if self.request and line.details.get("request") != self.request:
            return False
        if self.upstream and not _mentions(line, self.upstream):
            return False
        if self.host and line.host != self.host:
            return False
        if self.part and line.part != self.part:
            return False
        is_after_end = bool(self.end) and line.time >= self.end
        return line.time >= self.start and not is_after_end


def run(argv: Sequence[str]) -> ExitCode:
    """Run `balsamlift logs` and return its exit code."""
    arguments = Arguments(USAGE, argv)
    selection = Filter(
        request=arguments.text("--request"),
        upstream=arguments.text("--upstream"),
        host=arguments.text("--host"),
        part=arguments.text("--part"),
        start=arguments.text("--from"),
        end=arguments.text("--to"),
    )
    lines = [
        line
        for name in arguments.texts("FILE")
        for line in _parse(_read(name), name)
        if selection.matches(line)
    ]
    lines.sort(key=lambda line: line.time)
    if arguments.flag("--json"):
        print_json(lines)
    else:
        print_table([_row(line) for line in lines], _COLUMNS)
    return ExitCode.DONE if lines else ExitCode.FAILED


def _read(name: str) -> Iterable[str]:
    if name == "-":
        return sys.stdin
    try:
        return Path(name).read_text(errors="replace").splitlines()
    except OSError as error:
        raise UsageError(f"cannot read {name}: {error}") from error


def _parse(texts: Iterable[str], name: str) -> Iterator[DetailedLogLine]:
    """Yield the JSON log lines in `texts`, skipping other text."""
    skipped = 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            yield decode_json(text[start:], DetailedLogLine)
        except msgspec.MsgspecError:
            skipped += 1
    if skipped:
        print_note(f"{name}: {skipped} lines are no log lines")


def _mentions(line: DetailedLogLine, upstream: str) -> bool:
    return upstream in line.message or upstream in map(
        str, line.details.values()
    )


def _row(line: DetailedLogLine) -> dict[str, Any]:
    details = " ".join(f"{name}={v}" for name, v in line.details.items())
    message = f"{line.message} ({line.error})" if line.error else line.message
    return {
        "time": line.time[11:23],
        "host": line.host,
        "part": line.part,
        "message": message,
        "details": details,
    }
