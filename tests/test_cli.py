"""The command line, run in the test process unless noted otherwise."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import pytest

from balsamlift._commands import _preset, _request, _serve
from balsamlift.cli import main
from balsamlift.client import OnTokens, Request
from balsamlift.exceptions import LogUnavailableError
from balsamlift.presets import OperationResult, Preset
from balsamlift.streams import Outcome
from balsamlift.testing import Process, start_stand_in

EXAMPLES = Path(__file__).parent.parent / "examples" / "warisan-pulih"
ORDINARY = str(EXAMPLES / "presets" / "ordinary.json5")
ENTRY = str(EXAMPLES / "hosts" / "entry-1.json5")
OTHER_ENTRY = str(
    EXAMPLES.parent / "mitad-del-mundo" / "hosts" / "entry-1.json5"
)
UNUSED_ADDRESS = "127.0.0.1:1"  # no test listens on this port
EXIT_TIMEOUT_S = 60.0
COMMANDS = (
    "serve",
    "preset",
    "hosts",
    "upstreams",
    "timeline",
    "metrics",
    "request",
)


def run_json(
    capsys: pytest.CaptureFixture[str], *argv: str
) -> tuple[int, Any]:
    code = main([*argv, "--json"])
    return code, json.loads(capsys.readouterr().out)


@pytest.mark.parametrize("command", COMMANDS)
def test_help_gives_usage_example_and_exit_codes(
    command: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([command, "--help"]) == 0
    text = capsys.readouterr().out
    assert "Usage:" in text
    assert "Example" in text
    assert "Exit codes: 0" in text


@pytest.mark.parametrize(
    "argv",
    [
        [],
        ["bogus"],
        ["serve"],
        ["serve", "absent.json5"],
        ["serve", ORDINARY],
        ["preset", "check", ENTRY],
        ["preset", "check", ORDINARY, f"--settings={OTHER_ENTRY}"],
        ["preset", "publish", ENTRY, f"--log={UNUSED_ADDRESS}"],
        ["preset", "switch", "peak", "--log=localhost:7000"],
        [
            "preset",
            "switch",
            "peak",
            f"--log={UNUSED_ADDRESS}",
            "--expect=two",
        ],
        ["hosts"],
        ["hosts", "--at=localhost:7101"],
        ["timeline", f"--at={UNUSED_ADDRESS}", "--since=today"],
        ["request", f"--at={UNUSED_ADDRESS}", "--workspace=w"],
        [
            "request",
            f"--at={UNUSED_ADDRESS}",
            "--workspace=w",
            "--kind=lookup",
            "--payload={",
        ],
    ],
)
def test_wrong_usage_exits_with_code_2(
    argv: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(argv) == 2
    captured = capsys.readouterr()
    assert captured.err
    assert not captured.out


def test_errors_are_json_when_asked_for(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["hosts", f"--at={UNUSED_ADDRESS}", "--json"]) == 1
    error = json.loads(capsys.readouterr().err)
    assert error["error"] == "HostReadError"
    assert UNUSED_ADDRESS in error["message"]


def test_valid_files_pass_their_checks(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["serve", "--check", ENTRY]) == 0
    capsys.readouterr()
    code, body = run_json(
        capsys, "preset", "check", ORDINARY, f"--settings={ENTRY}"
    )
    assert (code, body) == (0, {"valid": ["ordinary"]})


def test_serve_reports_a_port_in_use(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def run_daemon(settings: Any) -> None:
        raise OSError("address already in use")

    monkeypatch.setattr(_serve, "_run_daemon", run_daemon)
    assert main(["serve", ENTRY]) == 1
    assert "entry-1 cannot start" in capsys.readouterr().err


@attrs.frozen
class FakeOperator:
    state: str

    async def publish(self, preset: Preset) -> OperationResult:
        return OperationResult("op", self.state, 3, 9)  # type: ignore[arg-type]

    async def switch(self, name: str, expected: int | None) -> OperationResult:
        if self.state == "interrupted":
            raise KeyboardInterrupt
        if self.state == "down":
            raise LogUnavailableError("the log gave no answer")
        return await self.publish(None)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("state", "code"),
    [
        ("accepted", 0),
        ("invalid", 1),
        ("down", 1),
        ("unknown", 3),
        ("interrupted", 3),
        ("superseded", 4),
    ],
)
def test_switch_reports_its_result_by_the_exit_code(
    state: str, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        _preset, "Operator", lambda address: FakeOperator(state)
    )
    assert (
        main(["preset", "switch", "peak", f"--log={UNUSED_ADDRESS}"]) == code
    )


class FakeClient:
    """Return one outcome after two tokens."""

    def __init__(self, outcome: str) -> None:
        self.outcome = outcome

    async def run(
        self, request: Request, on_tokens: OnTokens, *, attempts: int
    ) -> Outcome:
        assert (request.kind, request.prompt) == ("report", "Scroll 12.")
        assert attempts == 1
        on_tokens(["Water ", "stain\x1b."])
        return Outcome(outcome=self.outcome, tokens=2)

    def close(self) -> None:
        pass


@pytest.mark.parametrize(
    ("outcome", "code"),
    [("whole", 0), ("refused", 1), ("failed", 1), ("unknown", 3)],
)
def test_request_prints_tokens_and_reports_the_outcome(
    outcome: str,
    code: int,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr(
        _request, "Client", lambda *_, **__: FakeClient(outcome)
    )
    argv = ["request", f"--at={UNUSED_ADDRESS}", "--workspace=manuscripts"]
    argv += ["--kind=report", "Scroll 12."]
    assert main(argv) == code
    captured = capsys.readouterr()
    assert captured.out == "Water stain?.\n"
    assert outcome in captured.err
    json_code, body = run_json(capsys, *argv)
    assert (json_code, body["text"]) == (code, "Water stain\x1b.")
    assert body["outcome"]["outcome"] == outcome


def test_request_ends_when_no_host_answers() -> None:
    # In a process of its own, as a client that is bound to the wrong event
    # loop waits forever.
    argv = ["balsamlift", "request", f"--at={UNUSED_ADDRESS}"]
    argv += ["--workspace=manuscripts", "--kind=report", "Scroll 12."]
    with Process(argv) as process:
        assert process.wait(EXIT_TIMEOUT_S) == 1
        assert "no host gave an address" in process.output


@pytest.fixture
def platform() -> Iterator[Process]:
    with start_stand_in("platform", {}) as process:
        process.wait_ready()
        yield process


def test_publish_and_switch_on_a_log(
    platform: Process, capsys: pytest.CaptureFixture[str]
) -> None:
    log = f"--log={platform.address}"
    code, body = run_json(capsys, "preset", "publish", log, ORDINARY)
    assert (code, body["state"]) == (0, "accepted")
    switch = ("preset", "switch", log, "ordinary")
    code, body = run_json(capsys, *switch, "--expect=0")
    assert (code, body["generation"]) == (0, 1)
    code, body = run_json(capsys, *switch, "--expect=0")
    assert (code, body["state"]) == (4, "superseded")
    code, body = run_json(capsys, "preset", "switch", log, "absent")
    assert (code, body["state"]) == (1, "invalid")
