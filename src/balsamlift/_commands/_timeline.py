"""The command `timeline`: show the merged events of all hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_json, print_table
from balsamlift._commands._reading import read_from_hosts, report_unanswered
from balsamlift.exceptions import StampError, UsageError
from balsamlift.timeline import Event, merge, parse_stamp

USAGE = """Show the events of all hosts in one order of cause and effect.

Usage:
  balsamlift timeline --at=IP:PORT... [--alone] [--request=KEY]
                      [--host=HOST] [--kind=KIND] [--since=STAMP] [--json]
  balsamlift timeline (-h | --help)

Options:
  --at=IP:PORT   The operators' address of a host; may be repeated. One
                 alone also names all the others that it knows.
  --alone        Ask only the host given, not those that it knows.
  --request=KEY  Only events of this request.
  --host=HOST    Only events of the host of this name.
  --kind=KIND    Only events of this kind.
  --since=STAMP  Only events after this stamp (MILLISECONDS.COUNTER, as in
                 the first column).
  --json         Print JSON: {"events": [...], "unanswered": {ADDRESS: WHY}}.
  -h --help      Show this text.

Example:
  balsamlift timeline --at=127.0.11.1:7101 --kind=upstream_state

Exit codes: 0 all hosts have answered, 1 some or all have not (what came is
shown), 2 wrong usage.
"""

_COLUMNS = ["stamp", "host", "kind", "request", "detail"]


def run(argv: Sequence[str]) -> ExitCode:
    """Run `balsamlift timeline` and return its exit code."""
    arguments = Arguments(USAGE, argv)
    since = arguments.text("--since")
    if since:
        _check_stamp(since)
    query = {
        "request": arguments.text("--request"),
        "kind": arguments.text("--kind"),
        "since": since,
    }
    readings = asyncio.run(
        read_from_hosts(
            arguments.addresses("--at"),
            "/v1/timeline",
            list[Event],
            query,
            alone=arguments.flag("--alone"),
        )
    )
    host = arguments.text("--host")
    events = [
        event
        for event in merge(readings.answers.values())
        if not host or event.host == host
    ]
    if arguments.flag("--json"):
        print_json({"events": events, "unanswered": readings.unanswered})
    else:
        print_table([_row(event) for event in events], _COLUMNS)
    return report_unanswered(readings)


def _check_stamp(text: str) -> None:
    try:
        parse_stamp(text)
    except StampError as error:
        raise UsageError(f"--since: {error.message}") from error


def _row(event: Event) -> dict[str, str]:
    detail = " ".join(f"{name}={v}" for name, v in event.detail.items())
    return {
        "stamp": event.stamp,
        "host": event.host,
        "kind": event.kind,
        "request": event.request,
        "detail": detail,
    }
