"""Decode JSON of other writers, which may be nested to any depth."""

from __future__ import annotations

import json
import re
from typing import TypeVar

import msgspec

T = TypeVar("T")

MAX_DEPTH = 64  # of what `drop_deep_values` keeps
MAX_DIGITS = 19  # of an integer that `repair_json` keeps
_SURROGATE = re.compile("[\ud800-\udfff]")
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def decode_json(data: bytes | str | msgspec.Raw, kind: type[T]) -> T:
    """Return the value decoded as `kind`; raise `msgspec.MsgspecError`."""
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError("JSON is nested too deeply") from error


def decode_json_list(data: bytes, kind: type[T]) -> T:
    """Return a list of several writers; raise `msgspec.MsgspecError`.

    What is not valid JSON in one item, or nested too deeply, reads as null
    or as a replaced character, so that all other items can be decoded.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (RecursionError, msgspec.DecodeError):
        return decode_json(repair_json(data), kind)


def repair_json(data: bytes) -> bytes:
    """Return valid JSON; raise `msgspec.DecodeError` if it has no structure.

    Other encoders write NaN, numbers of any length and lone surrogates.
    """
    text = drop_deep_values(data).decode(errors="replace")
    try:
        value = json.loads(
            text, parse_int=_parse_integer, parse_constant=lambda _: None
        )
    except ValueError as error:
        raise msgspec.DecodeError(f"JSON is malformed: {error}") from error
    return msgspec.json.encode(_replace_surrogates(value))


def _parse_integer(text: str) -> int | None:
    return int(text) if len(text.lstrip("-")) <= MAX_DIGITS else None


def _replace_surrogates(value: object) -> object:
    if isinstance(value, str):
        return _SURROGATE.sub("\ufffd", value)
    if isinstance(value, list):
        return [_replace_surrogates(each) for each in value]
    if isinstance(value, dict):
        return {
            _replace_surrogates(name): _replace_surrogates(each)
            for name, each in value.items()
        }
    return value


def drop_deep_values(data: bytes) -> bytes:
    """Return JSON with null in place of what is nested too deeply."""
    kept = []
    depth = start = 0
    for match in _TOKEN.finditer(data):
        if match[0] in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(data[start : match.start()] + b"null")
        elif match[0] in (b"]", b"}"):
            if depth == MAX_DEPTH + 1:
                start = match.end()
            depth -= 1
    if depth <= MAX_DEPTH:
        kept.append(data[start:])
    return b"".join(kept)
