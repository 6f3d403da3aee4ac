"""Command-line arguments, parsed by docopt, with typed accessors."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from docopt import docopt

from balsamlift._address import join_address, split_address
from balsamlift.exceptions import UsageError


class Arguments:
    """Give typed access to the arguments that a usage text describes."""

    def __init__(self, usage: str, argv: Sequence[str]) -> None:
        """Parse `argv`; raise docopt's `DocoptExit` if it does not match."""
        self._values: dict[str, Any] = docopt(usage, list(argv))

    def flag(self, name: str) -> bool:
        """Return whether an option or a subcommand was given."""
        return bool(self._values[name])

    def text(self, name: str) -> str:
        """Return a text argument, or an empty text if it was not given."""
        return str(self._values[name] or "")

    def texts(self, name: str) -> list[str]:
        """Return all values of a repeatable argument."""
        return [str(value) for value in self._values[name]]

    def number(self, name: str) -> int | None:
        """Return a non-negative integer, or None if it was not given.

        Raises `UsageError`.
        """
        value = self._values[name]
        if value is None:
            return None
        if not (value.isascii() and value.isdecimal()):
            raise UsageError(f"{name} takes a whole number, not {value!r}")
        return int(value)

    def address(self, name: str) -> str:
        """Return an "IP:port" argument; raise `AddressError`."""
        return _normalize_address(self.text(name))

    def addresses(self, name: str) -> list[str]:
        """Return each "IP:port" once, in order; raise `AddressError`."""
        normalized = [_normalize_address(text) for text in self.texts(name)]
        return list(dict.fromkeys(normalized))


def _normalize_address(text: str) -> str:
    return join_address(*split_address(text))
