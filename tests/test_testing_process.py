"""Tests of `Process` with a small module that prints a ready line."""

import os
import signal

import pytest

from balsamlift.testing import Process, ProcessError

READY = """
import json, sys, time
settings = json.load(sys.stdin)
print("a log line", file=sys.stderr, flush=True)
print(json.dumps({"ready": True, "address": settings["address"]}), flush=True)
time.sleep(60)
"""


@pytest.fixture
def script(tmp_path, monkeypatch):
    """Create a module `ready_script` that the child process can run."""
    (tmp_path / "ready_script.py").write_text(READY)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    return ["ready_script"]


def test_terminate_ends_a_ready_process(script):
    with Process(script, {"address": "127.0.0.1:1"}) as process:
        assert process.address == "127.0.0.1:1"
        process.terminate()
        assert process.wait() == -signal.SIGTERM
        assert "a log line" in process.output


def test_freeze_stops_and_thaw_resumes_the_process(script):
    with Process(script, {"address": "127.0.0.1:1"}) as process:
        process.wait_ready()
        process.freeze()
        _, status = os.waitpid(process.pid, os.WUNTRACED)
        assert os.WIFSTOPPED(status)
        process.thaw()
        _, status = os.waitpid(process.pid, os.WCONTINUED)
        assert os.WIFCONTINUED(status)
        assert process.running


def test_end_before_ready_raises_an_error_with_the_output(script):
    with (
        Process(script, {}) as process,
        pytest.raises(ProcessError) as caught,
    ):
        process.wait_ready()
    assert "KeyError" in caught.value.output
