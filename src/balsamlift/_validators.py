"""Validators for the fields of settings and presets."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import attrs

from balsamlift._address import AddressError, join_address, split_address
from balsamlift.exceptions import FieldError

Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]

# Key prefixes join a host name with other parts by "~" and ".", so an
# identifier contains neither.
_IDENTIFIER = re.compile(r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?")
_SHA256 = re.compile(r"[0-9a-f]{64}")

MAX_NAME_LENGTH = 200
_NAME = re.compile(rf"[A-Za-z0-9._-]{{1,{MAX_NAME_LENGTH}}}")

DAY_MS = 86_400_000


def between(low: float, high: float) -> Validator:
    """Return a validator for numbers from `low` to `high`, inclusive."""

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
    """Return a validator for a text that is one of `choices`."""

    def check(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if value not in choices:
            words = ", ".join(f'"{choice}"' for choice in choices)
            raise FieldError(field.name, f'one of {words}, not "{value}"')

    return check


def identifier(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept 1 to 63 letters, digits and inner hyphens."""
    if not _IDENTIFIER.fullmatch(value):
        raise FieldError(
            field.name,
            f'1 to 63 letters, digits and inner hyphens, not "{value}"',
        )


def short_name(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept a printable text of 1 to `MAX_NAME_LENGTH` characters."""
    if not 0 < len(value) <= MAX_NAME_LENGTH or not value.isprintable():
        raise FieldError(
            field.name, f"1 to {MAX_NAME_LENGTH} printable characters"
        )


def plain_name(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept a name of letters, digits, "-", "_" and "."."""
    if not _NAME.fullmatch(value):
        raise FieldError(
            field.name,
            f"1 to {MAX_NAME_LENGTH} letters, digits, hyphens, underscores "
            f'and dots, not "{value}"',
        )


def address(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept "IP:port" with an IP address, not a host name."""
    expected = f'"IP number:port" such as "127.0.0.1:7000", not "{value}"'
    try:
        ip, port = split_address(value)
    except AddressError as error:
        raise FieldError(field.name, expected) from error
    if join_address(ip, port) != value:
        raise FieldError(field.name, expected)


def address_or_empty(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept an address or an empty text."""
    if value:
        address(_, field, value)


def remote_address(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept an address that can be connected to: its port is not 0."""
    address(_, field, value)
    if split_address(value)[1] == 0:
        raise FieldError(field.name, f'a port above 0, not "{value}"')


def sha256_or_empty(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
    """Accept a SHA-256 digest in lower-case hex or an empty text."""
    if value and not _SHA256.fullmatch(value):
        raise FieldError(
            field.name, "64 lower-case hex digits, or an empty text"
        )


def longer_than(other: str) -> Validator:
    """Return a validator for a duration longer than the field `other`."""

    def check(instance: Any, field: attrs.Attribute[Any], value: Any) -> None:
        minimum = getattr(instance, other)
        if value <= minimum:
            raise FieldError(
                field.name, f"more than {other} ({minimum}), not {value}"
            )

    return check


def plain_keys(max_count: int, *allowed: str) -> Validator:
    """Return a validator for a mapping with plain names as keys.

    It must have 1 to `max_count` entries. The keys in `allowed` are valid
    whatever their form.
    """

    def check(_: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if not 0 < len(value) <= max_count:
            raise FieldError(
                field.name, f"1 to {max_count} entries, not {len(value)}"
            )
        for key in value:
            if key not in allowed and not _NAME.fullmatch(key):
                raise FieldError(
                    f"{field.name}.{key}",
                    f"a name of 1 to {MAX_NAME_LENGTH} letters, digits, "
                    "hyphens, underscores and dots",
                )

    return check
