"""Pass over the tests that KNOWN-RED.txt lists, as a pytest plugin.

An entry is a line of three fields, separated by bars: what fails, the cause
and the issue. What fails is the id of a test, or a command after "$ ".
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import attrs
import pytest

COMMAND_PREFIX = "$ "
FIELDS = 3


class KnownRedError(ValueError):
    """Raised if the list cannot be read, or names a test that is not there."""


@attrs.frozen
class Entry:
    """A known failure."""

    failing: str  # the id of a test, or a command
    is_command: bool
    line: str


def parse_entries(text: str) -> list[Entry]:
    """Return the entries of the list.

    Raises `KnownRedError` if a line has not three fields.
    """
    lines = [line.strip() for line in text.splitlines()]
    return [_parse(line) for line in lines if line and line[0] != "#"]


def _parse(line: str) -> Entry:
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != FIELDS or not all(fields):
        raise KnownRedError(f"not three fields: {line}")
    is_command = fields[0].startswith(COMMAND_PREFIX)
    return Entry(fields[0].removeprefix(COMMAND_PREFIX), is_command, line)


def find_listed(
    entries: Sequence[Entry], collected: Sequence[str]
) -> set[str]:
    """Return the ids of collected tests that are listed.

    Raises `KnownRedError` for an entry whose file was collected without such
    a test.
    """
    files = {test.partition("::")[0] for test in collected}
    listed = {entry.failing for entry in entries if not entry.is_command}
    for test in listed - set(collected):
        file = test.partition("::")[0]
        if file in files or not Path(file).is_file():
            raise KnownRedError(f"no such test: {test}")
    return listed & set(collected)


class PassOver:
    """Deselect the listed tests and print the list."""

    def __init__(self, entries: list[Entry]) -> None:
        """Pass over the tests of these entries."""
        self._entries = entries

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        """Print the entries."""
        for entry in self._entries:
            terminalreporter.write_line(f"known red: {entry.line}")

    @pytest.hookimpl(trylast=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Deselect the listed tests."""
        try:
            listed = find_listed(
                self._entries, [item.nodeid for item in items]
            )
        except KnownRedError as error:
            raise pytest.UsageError(str(error)) from error
        passed_over = [item for item in items if item.nodeid in listed]
        items[:] = [item for item in items if item.nodeid not in listed]
        config.hook.pytest_deselected(items=passed_over)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that names the list."""
    parser.addoption(
        "--known-red",
        metavar="FILE",
        help="pass over the tests that this file lists, unless one is named",
    )


def pytest_configure(config: pytest.Config) -> None:
    """Read the list; a test that is asked for by its id always runs."""
    file = config.getoption("--known-red")
    if not file or any("::" in argument for argument in config.args):
        return
    try:
        entries = parse_entries(Path(file).read_text())
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error
    config.pluginmanager.register(PassOver(entries))
