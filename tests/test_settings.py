from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import attrs
import pytest

from balsamlift._loading import load, structure
from balsamlift.exceptions import SettingsError
from balsamlift.settings import PoolSettings, Settings

VALID: dict[str, Any] = {
    "host": "entry-1",
    "failure_domain": "north",
    "callers_address": "127.0.0.1:7000",
    "operators_address": "127.0.0.1:0",
    "peers_address": "[::1]:7002",
    "platform": {
        "log_address": "127.0.0.1:7100",
        "hosts_address": "127.0.0.1:7100",
    },
    "pools": {"drafting": {"kind": "engine"}},
}


def changed(path: str, value: Any) -> dict[str, Any]:
    """Return VALID with the field at `path` set, or removed if it is `...`."""
    whole = copy.deepcopy(VALID)
    *parents, last = path.split(".")
    parent = whole
    for name in parents:
        parent = parent.setdefault(name, {})
    if value is ...:
        del parent[last]
    else:
        parent[last] = value
    return whole


def test_structure_fills_in_defaults() -> None:
    settings = structure(VALID, Settings)
    assert settings.pools == {"drafting": PoolSettings(kind="engine")}
    assert settings.peers.heartbeat_ms == 1_000
    assert settings.log_json is False


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("pools.drafting.kind", "model", 'one of "engine", "service"'),
        ("pools.drafting.kind", ..., "missing"),
        ("pools.drafting.checks_fence", 1, "true or false"),
        ("pools.drafting", None, "an object"),
        ("pools.two words", {"kind": "engine"}, "a name"),
        ("pools", [], "an object"),
        ("platform.log_address", ..., "missing"),
        ("platform.log_address", "127.0.0.1:0", "a port above 0"),
        ("callers_address", "localhost:7000", "IP number"),
        ("callers_address", "127.0.0.1:+7", "IP number"),
        ("callers_address", "127.0.0.1:65536", "IP number"),
        ("callers_address", 7000, "a text"),
        ("counts_address", "localhost:7000", "IP number"),
        ("host", "entry.1", "letters, digits"),
        ("host", "entry~1", "letters, digits"),
        ("host", "", "letters, digits"),
        ("seed", "5", "a whole number, not '5'"),
        ("seed", True, "a whole number, not True"),
        ("seed", 1.0, "a whole number"),
        ("seed", -1, "a number from 0"),
        ("shutdown_ms", 0, "a number from 10"),
        ("shutdown_s", 120, "the field shutdown_ms (mind its unit)"),
        ("shutdwn_ms", 120, "did you mean shutdown_ms?"),
        ("limits.zzz", 120, "a known field: body_bytes"),
        ("peers.silence_ms", 250, "more than heartbeat_ms (1000)"),
        ("orders.renew_ms", 2_500, "send_ms and margin_ms together (2500)"),
        ("orders.term_ms", 4_000, "more than renew_ms (4000)"),
        ("log_level", "info", 'one of "TRACE", "DEBUG", "INFO"'),
    ],
)
def test_structure_reports_the_invalid_field(
    path: str, value: Any, expected: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        structure(changed(path, value), Settings, "entry-1.json5")
    assert caught.value.path == path
    assert expected in caught.value.expected
    assert caught.value.file == "entry-1.json5"


@pytest.mark.parametrize("whole", [None, 5, [], "text", {7: "key"}])
def test_structure_rejects_non_objects(whole: Any) -> None:
    with pytest.raises(SettingsError) as caught:
        structure(whole, Settings)
    assert caught.value.path == "(whole)"


@attrs.frozen(kw_only=True)
class Example:
    factor: float = 1.0
    words: list[str] = attrs.field(factory=list)


@pytest.mark.parametrize(
    ("whole", "path"),
    [
        ({"factor": float("nan")}, "factor"),
        ({"factor": float("inf")}, "factor"),
        ({"factor": 10**400}, "factor"),
        ({"factor": True}, "factor"),
        ({"words": "abc"}, "words"),
        ({"words": ["a", 5]}, "words.1"),
    ],
)
def test_structure_checks_numbers_and_lists(
    whole: dict[str, Any], path: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        structure(whole, Example)
    assert caught.value.path == path
    assert structure({"factor": 2}, Example).factor == 2.0


def test_load_reads_comments(tmp_path: Path) -> None:
    file = tmp_path / "pool.json5"
    file.write_text("// for drafts\n{kind: 'engine', /* yes */}")
    assert load(file, PoolSettings) == PoolSettings(kind="engine")


@pytest.mark.parametrize(
    "text",
    ["{kind: 'engine'", "{kind: 'engine', kind: 'service'}", "", "[" * 9_999],
)
def test_load_rejects_invalid_json(tmp_path: Path, text: str) -> None:
    file = tmp_path / "pool.json5"
    file.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load(file, PoolSettings)
    assert caught.value.file == str(file)
    assert caught.value.path == "(whole)"


def test_load_reports_a_missing_file(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load(tmp_path / "absent.json5", PoolSettings)
    assert "absent.json5" in caught.value.file
