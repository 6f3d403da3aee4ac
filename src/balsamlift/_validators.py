"""Validators for the fields of settings and presets."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import attrs

from balsamlift._address import AddressError, join_address, split_address
from balsamlift.exceptions import FieldError

Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]

# Key prefixes join a host name to other parts with "~" and ".".
_IDENTIFIER = re.compile(r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?")
_SHA256 = re.compile(r"[0-9a-f]{64}")

LARGEST_NAME = 200
_NAME = re.compile(rf"[A-Za-z0-9._-]{{1,{LARGEST_NAME}}}")

DAY_MS = 86_400_000


def between(low: float, high: float) -> Validator:
    """Return a validator for numbers from `low` to `high`, both allowed."""

    def check(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if not low <= value <= high:
            raise FieldError(
                field.name, f"a number from {low} to {high}, not {value}"
            )

    return check


def inside(low: float, high: float) -> Validator:
    """Return a validator for numbers between `low` and `high`, exclusive."""

    def check(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if not low < value < high:
            raise FieldError(
                field.name,
                f"a number above {low} and below {high}, not {value}",
            )

    return check


def above(low: float) -> Validator:
    """Return a validator for numbers greater than `low`."""

    def check(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if not value > low:
            raise FieldError(field.name, f"a number above {low}, not {value}")

    return check


def one_of(*choices: str) -> Validator:
    """Return a validator for one of a few words."""

    def check(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if value not in choices:
            words = ", ".join(f'"{choice}"' for choice in choices)
            raise FieldError(field.name, f'one of {words}, not "{value}"')

    return check


def identifier(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept letters, digits and inner hyphens, 63 at most."""
    if not _IDENTIFIER.fullmatch(value):
        raise FieldError(
            field.name,
            f'1 to 63 letters, digits and inner hyphens, not "{value}"',
        )


def short_name(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept a printable text that is neither empty nor long."""
    if not 0 < len(value) <= LARGEST_NAME or not value.isprintable():
        raise FieldError(
            field.name, f"1 to {LARGEST_NAME} printable characters"
        )


def plain_name(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept letters, digits, "-", "_" and "."."""
    if not _NAME.fullmatch(value):
        raise FieldError(
            field.name,
            f"1 to {LARGEST_NAME} letters, digits, hyphens, underscores "
            f'and dots, not "{value}"',
        )


def address(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept "IP:port" with an IP number, never a host name."""
    expected = f'"IP number:port" such as "127.0.0.1:7000", not "{value}"'
    try:
        ip, port = split_address(value)
    except AddressError as error:
        raise FieldError(field.name, expected) from error
    if join_address(ip, port) != value:
        raise FieldError(field.name, expected)


def address_or_empty(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept an address, or nothing."""
    if value:
        address(_, field, value)


def remote_address(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept an address that can be connected to: its port is not 0."""
    address(_, field, value)
    if split_address(value)[1] == 0:
        raise FieldError(field.name, f'a port above 0, not "{value}"')


def sha256_or_empty(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept a SHA-256 digest in lower-case hex, or nothing."""
    if value and not _SHA256.fullmatch(value):
        raise FieldError(
            field.name, "64 lower-case hex digits, or an empty text"
        )


def longer_than(other: str) -> Validator:
    """Return a validator for a time longer than that of a sibling field."""

    def check(instance: Any, field: attrs.Attribute[Any], value: Any) -> None:
        least = getattr(instance, other)
        if value <= least:
            raise FieldError(
                field.name, f"more than {other} ({least}), not {value}"
            )

    return check


def names(most: int, *others: str) -> Validator:
    """Return a validator for a mapping's keys: 1 to `most` plain names.

    The names in `others` are allowed besides.
    """

    def check(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if not 0 < len(value) <= most:
            raise FieldError(
                field.name, f"1 to {most} entries, not {len(value)}"
            )
        for key in value:
            if key not in others and not _NAME.fullmatch(key):
                raise FieldError(
                    f"{field.name}.{key}",
                    f"a name of 1 to {LARGEST_NAME} letters, digits, "
                    "hyphens, underscores and dots",
                )

    return check
