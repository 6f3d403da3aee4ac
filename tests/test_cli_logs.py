"""The command `logs` merges and filters the log files of several hosts."""

import json
from pathlib import Path

import pytest

from balsamlift.cli import main

MINUTE = "2026-07-01T10:02:"


def line(second: str, host: str, message: str, **details: str) -> str:
    fields = {
        "time": f"{MINUTE}{second}+00:00",
        "level": "INFO",
        "part": "relay",
        "host": host,
        "message": message,
        "error": "",
    }
    if details:
        fields["details"] = details  # type: ignore[assignment]
    return json.dumps(fields)


@pytest.fixture
def files(tmp_path: Path) -> list[str]:
    one = [
        line("11.000", "h1", "started"),
        "Traceback (most recent call last):",
        line("13.000", "h1", "answered 200", request="r1", upstream="i-1"),
    ]
    two = [
        f"  2.01 h2 {line('12.000', 'h2', 'move: copied', request='r1')}",
        line("14.000", "h2", "i-1 is leaving (list)"),
        "{broken",
    ]
    paths = []
    for name, texts in (("one", one), ("two", two)):
        path = tmp_path / f"{name}.log"
        path.write_text("\n".join(texts))
        paths.append(str(path))
    return paths


def printed_messages(capsys: pytest.CaptureFixture[str]) -> list[str]:
    return [entry["message"] for entry in json.loads(capsys.readouterr().out)]


@pytest.mark.parametrize(
    ("options", "expected"),
    [
        ([], ["started", "move: copied", "answered 200", "i-1 is leaving"]),
        (["--request=r1"], ["move: copied", "answered 200"]),
        (["--upstream=i-1"], ["answered 200", "i-1 is leaving"]),
        (["--host=h2"], ["move: copied", "i-1 is leaving"]),
        ([f"--from={MINUTE}13", f"--to={MINUTE}14"], ["answered 200"]),
    ],
)
def test_merges_and_filters(
    files: list[str],
    options: list[str],
    expected: list[str],
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["logs", *files, *options, "--json"]) == 0
    found = [
        message.removesuffix(" (list)") for message in printed_messages(capsys)
    ]
    assert found == expected


def test_fails_when_no_line_matches(files: list[str]) -> None:
    assert main(["logs", *files, "--request=none"]) == 1


def test_rejects_a_file_that_cannot_be_read() -> None:
    assert main(["logs", "/nowhere/at/all"]) == 2


def test_shows_a_table(
    files: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["logs", *files]) == 0
    assert "request=r1 upstream=i-1" in capsys.readouterr().out
