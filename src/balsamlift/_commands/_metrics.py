"""The command `metrics`: show the merged metrics of all hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_json, print_table
from balsamlift._commands._reading import read_from_hosts, report_unanswered
from balsamlift.metrics import Snapshot, Summary, merge_snapshots

USAGE = """Show counters, gauges and times, added up over all hosts.

Usage:
  balsamlift metrics --at=IP:PORT... [--alone] [--json]
  balsamlift metrics (-h | --help)

Options:
  --at=IP:PORT  The operators' address of a host; may be repeated. One alone
                also names all the others that it knows.
  --alone       Ask only the host given, not those that it knows.
  --json        Print JSON: {"summary": {...}, "unanswered": {ADDRESS: WHY}}.
  -h --help     Show this text.

Percentiles come from the merged histograms of all hosts; they are no means
of the hosts' percentiles.

Example:
  balsamlift metrics --at=127.0.11.1:7101

Exit codes: 0 all hosts have answered, 1 some or all have not (what came is
shown), 2 wrong usage.
"""


def run(argv: Sequence[str]) -> ExitCode:
    """Run `balsamlift metrics` and return its exit code."""
    arguments = Arguments(USAGE, argv)
    readings = asyncio.run(
        read_from_hosts(
            arguments.addresses("--at"),
            "/v1/metrics",
            Snapshot,
            alone=arguments.flag("--alone"),
        )
    )
    summary = merge_snapshots(readings.answers.values())
    if arguments.flag("--json"):
        print_json({"summary": summary, "unanswered": readings.unanswered})
    else:
        _print_summary(summary, len(readings.answers))
    return report_unanswered(readings)


def _print_summary(summary: Summary, hosts: int) -> None:
    print(f"{hosts} hosts\n")
    print_table(
        [
            {"counter": name, "total": value}
            for name, value in sorted(summary.counters.items())
        ]
    )
    print()
    print_table(
        [
            {"gauge": name, **attrs.asdict(gauge_summary)}
            for name, gauge_summary in sorted(summary.gauges.items())
        ]
    )
    print()
    print_table(
        [
            {"time": name, **attrs.asdict(distribution)}
            for name, distribution in sorted(summary.distributions.items())
        ]
    )
