"""Check that docs/PROMISES.md names the scenarios there are."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "PROMISES.md").read_text()
FEATURES = ROOT / "tests" / "scenarios"

_ROW = re.compile(r"^\| ([A-Z]\d+) \| `(\w+)`: (.+) \|$", re.MULTILINE)
_SCENARIO = re.compile(r"^  Scenario(?: Outline)?: (.+)$", re.MULTILINE)
_CODE = re.compile(r"\b([A-Z])(\d+)(?:-[A-Z](\d+))?\b")


def test_each_scenario_is_listed_once():
    listed = sorted(
        (feature, title) for _, feature, title in _ROW.findall(PAGE)
    )
    written = sorted(
        (path.stem, title)
        for path in FEATURES.glob("*.feature")
        for title in _SCENARIO.findall(path.read_text())
    )
    assert listed == written


def test_each_code_in_the_tables_is_explained():
    codes = {code for code, _, _ in _ROW.findall(PAGE)}
    tables = PAGE[: PAGE.index("## Scenarios")]
    for letter, first, last in _CODE.findall(tables):
        for number in range(int(first), int(last or first) + 1):
            assert f"{letter}{number}" in codes
