"""docs/SETTINGS.md lists every field with its default and range."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import attrs
import pytest

from balsamlift.placement import Policy
from balsamlift.presets import (
    KindPreset,
    PoolPreset,
    Preset,
    WorkspacePreset,
)
from balsamlift.settings import (
    LimitSettings,
    OrderSettings,
    PeerSettings,
    PlatformSettings,
    PoolSettings,
    Settings,
    StreamSettings,
)

PAGE = Path(__file__).parent.parent / "docs" / "SETTINGS.md"
CLASSES: list[type[Any]] = [
    Settings,
    PlatformSettings,
    PoolSettings,
    PeerSettings,
    LimitSettings,
    StreamSettings,
    OrderSettings,
    Preset,
    KindPreset,
    WorkspacePreset,
    PoolPreset,
    Policy,
]
SECTION = re.compile(r"^### `(\w+)`.*?(?=^##|\Z)", re.DOTALL | re.MULTILINE)
ROW = re.compile(r"^\| `(\w+)` \| (.+?) \| (.+?) \| .+ \|$", re.MULTILINE)
# The notations of a range; values_of returns values inside and outside.
TO = re.compile(r"(\d+) to (\d+)(?:, above `\w+`)?")
OR_MORE = re.compile(r"(\d+) or more")
ABOVE = re.compile(r"above (\d+)")
INSIDE = re.compile(r"above (\d+), below (\d+)")
ABOVE_UP_TO = re.compile(r"above (\d+), up to (\d+)")

sections = {
    match[1]: {name: rest for name, *rest in ROW.findall(match[0])}
    for match in SECTION.finditer(PAGE.read_text())
}
numbers = [
    (cls, field)
    for cls in CLASSES
    for field in attrs.fields(attrs.resolve_types(cls))
    if field.type in (int, float)
]


def default_text(field: attrs.Attribute[Any]) -> str:
    default: Any = field.default
    if default is attrs.NOTHING:
        return "required"
    value = default.factory() if hasattr(default, "factory") else default
    value = {} if attrs.has(type(value)) else value
    return f"`{json.dumps(value)}`"


def values_of(words: str) -> tuple[list[float], list[float]]:
    """Return values inside and values outside of a range given as text."""
    if match := TO.fullmatch(words):
        low, high = map(int, match.groups())
        return [low, high], [low - 1, high + 1]
    if match := OR_MORE.fullmatch(words):
        return [int(match[1])], [int(match[1]) - 1]
    if match := ABOVE.fullmatch(words):
        return [int(match[1]) + 1e-6], [int(match[1])]
    if match := INSIDE.fullmatch(words):
        low, high = map(int, match.groups())
        return [(low + high) / 2], [low, high]
    match = ABOVE_UP_TO.fullmatch(words)
    assert match, words
    low, high = map(int, match.groups())
    return [low + 1e-6, high], [low, high + 1]


@pytest.mark.parametrize("cls", CLASSES)
def test_page_names_every_field_with_its_default(cls: type[Any]) -> None:
    rows = sections[cls.__name__]
    fields = attrs.fields(cls)
    assert list(rows) == [field.name for field in fields]
    for field in fields:
        assert rows[field.name][0] == default_text(field), field.name


@pytest.mark.parametrize(
    ("cls", "field"),
    numbers,
    ids=[f"{cls.__name__}.{field.name}" for cls, field in numbers],
)
def test_page_gives_the_range_of_every_number(
    cls: type[Any], field: attrs.Attribute[Any]
) -> None:
    inside, outside = values_of(sections[cls.__name__][field.name][1])
    instance = PeerSettings(
        heartbeat_ms=10
    )  # for validators that compare two fields
    check = field.validator
    assert check is not None
    for value in inside:
        check(instance, field, value)
    for value in outside:
        with pytest.raises(ValueError, match=field.name):
            check(instance, field, value)


def test_page_describes_no_other_class() -> None:
    assert set(sections) == {cls.__name__ for cls in CLASSES}
