"""Load settings and presets from JSON with comments into attrs classes."""

from __future__ import annotations

import difflib
import math
import re
import typing
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import attrs
import cattrs
import json5
from cattrs.cols import list_structure_factory, mapping_structure_factory
from cattrs.errors import (
    AttributeValidationNote,
    BaseValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn

from balsamlift.exceptions import FieldError, SettingsError

T = TypeVar("T")
_Hook = Callable[[Any, Any], Any]

_ATTRS_MESSAGE = re.compile(r"'(?P<name>\w+)' (?P<rule>must .*)", re.DOTALL)
_ROOT_PATH = "(whole)"
_UNITS = ("ms", "s", "bytes", "ratio", "per_s")


def load(file: str | Path, cls: type[T]) -> T:
    """Return an instance of `cls` read from a file of JSON with comments.

    Raises `SettingsError` for the first error.
    """
    name = str(file)
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            name, _ROOT_PATH, f"a text file ({error})"
        ) from error
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise SettingsError(
            name, _ROOT_PATH, f"JSON with comments ({error})"
        ) from error
    return structure(value, cls, name)


def structure(obj: object, cls: type[T], file: str = "") -> T:
    """Return an instance of `cls` built from plain data, without coercion.

    Raises `SettingsError` for the first error; its `path` names the field,
    such as `pools.drafting.kind`.
    """
    try:
        return _CONVERTER.structure(obj, cls)
    except (BaseValidationError, FieldError) as error:
        path, expected = _describe_error(error)
        raise SettingsError(
            file or cls.__name__, ".".join(path) or _ROOT_PATH, expected
        ) from error


def _describe_error(error: BaseException) -> tuple[list[str], str]:
    """Return the path of the first invalid field and the expected value."""
    if isinstance(error, BaseValidationError):
        inner = _most_useful_error(error.exceptions)
        path, expected = _describe_error(inner)
        return _path_of_note(inner) + path, expected
    if isinstance(error, FieldError):
        return [error.name] if error.name else [], error.expected
    if isinstance(error, ForbiddenExtraKeysError):
        unknown = min(error.extra_fields)
        return [unknown], _suggest_field(unknown, error.cl)
    if isinstance(error, KeyError):
        return [], "a value, the field is missing"
    return _explain_validator_error(error)


def _explain_validator_error(error: BaseException) -> tuple[list[str], str]:
    """Parse the field's name from a message of attrs' own validators."""
    message = str(error.args[0]) if error.args else str(error)
    match = _ATTRS_MESSAGE.match(message)
    if match:
        return [match["name"]], f"a value that {match['rule']}"
    return [], f"another value ({message})"


def _most_useful_error(
    errors: typing.Sequence[BaseException],
) -> BaseException:
    """Return the error to report, preferably that of an unknown field.

    A misspelt field is unknown and leaves another one missing; the unknown
    name is the more useful message.
    """
    for error in errors:
        if isinstance(error, ForbiddenExtraKeysError):
            return error
    return errors[0]


def _path_of_note(error: BaseException) -> list[str]:
    """Return the field name or index that cattrs noted on an error, if any."""
    for note in getattr(error, "__notes__", []):
        if isinstance(note, AttributeValidationNote):
            return [note.name]
        if isinstance(note, IterableValidationNote):
            return [str(note.index)]
    return []


def _suggest_field(unknown: str, cls: type[Any]) -> str:
    """Return the expected field for an unknown one, as an error message."""
    names = [field.name for field in attrs.fields(cls)]
    same = [
        name for name in names if _without_unit(name) == _without_unit(unknown)
    ]
    if same:
        return f"the field {same[0]} (mind its unit)"
    close = difflib.get_close_matches(unknown, names, n=1)
    if close:
        return f"a known field; did you mean {close[0]}?"
    return f"a known field: {', '.join(names)}"


def _without_unit(name: str) -> str:
    """Return a field's name without its unit suffix."""
    for unit in _UNITS:
        if name.endswith(f"_{unit}"):
            return name.removesuffix(f"_{unit}")
    return name


def _structure_str(value: object, _: object) -> str:
    if type(value) is not str:
        raise FieldError("", f"a text, not {_truncated_repr(value)}")
    return value


def _structure_int(value: object, _: object) -> int:
    if type(value) is not int:
        raise FieldError("", f"a whole number, not {_truncated_repr(value)}")
    return value


def _structure_float(value: object, _: object) -> float:
    if type(value) not in (int, float):
        raise FieldError("", f"a number, not {_truncated_repr(value)}")
    number = float(typing.cast(float, value))
    if not math.isfinite(number):
        raise FieldError("", f"a finite number, not {value}")
    return number


def _structure_bool(value: object, _: object) -> bool:
    if type(value) is not bool:
        raise FieldError("", f"true or false, not {_truncated_repr(value)}")
    return value


def _truncated_repr(value: object) -> str:
    """Return the `repr` of a value, truncated for an error message."""
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


def _require_type(kind: type, words: str, hook: _Hook) -> _Hook:
    """Wrap `hook` so that it first checks the type of the value."""

    def structure_checked(value: Any, cls: Any) -> Any:
        if not isinstance(value, kind):
            raise FieldError("", f"{words}, not {_truncated_repr(value)}")
        if isinstance(value, dict) and not all(
            type(key) is str for key in value
        ):
            raise FieldError(
                "", f"names as keys, not {_truncated_repr(value)}"
            )
        return hook(value, cls)

    return structure_checked


def _is_generic(container: type) -> Callable[[Any], bool]:
    """Return a predicate for generic types such as `list[str]`."""

    def test(cls: Any) -> bool:
        origin: object = typing.get_origin(cls)
        return origin is container

    return test


def _build_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown fields and wrong types."""
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(bool, _structure_bool)

    def for_class(cls: Any) -> _Hook:
        hook = make_dict_structure_fn(
            cls,
            converter,
            _cattrs_forbid_extra_keys=True,
            _cattrs_detailed_validation=True,
        )
        return _require_type(dict, "an object", hook)

    def for_list(cls: Any) -> _Hook:
        hook = list_structure_factory(cls, converter)
        return _require_type(list, "a list", hook)

    def for_dict(cls: Any) -> _Hook:
        hook = mapping_structure_factory(cls, converter)
        return _require_type(dict, "an object", hook)

    converter.register_structure_hook_factory(attrs.has, for_class)
    converter.register_structure_hook_factory(_is_generic(list), for_list)
    converter.register_structure_hook_factory(_is_generic(dict), for_dict)
    return converter


_CONVERTER = _build_converter()
