"""Launch stand-ins and hosts as processes for tests and scenarios."""

from __future__ import annotations

import atexit
import json
import signal
import subprocess
import sys
import threading
from collections import deque
from collections.abc import Sequence
from types import TracebackType
from typing import IO, Any, Literal, Self

import attrs

from balsamlift.exceptions import BalsamliftError

StandIn = Literal["engine", "service", "platform", "link"]

READY_S = 60.0  # long, as many processes may start on a busy machine
WAIT_S = 60.0
KEPT_LINES = 100_000
_STDIN_PATH = "/dev/stdin"


class ProcessError(BalsamliftError):
    """Raised when a process ended or timed out before it was ready."""

    def __init__(self, name: str, reason: str, output: str) -> None:
        """Store the reason and the output so far."""
        super().__init__(f"{name}: {reason}\n{output}")
        self.reason = reason
        self.output = output


class Process:
    """Run `python -m ARGUMENTS` and keep its output in memory.

    `settings` are written as JSON to its standard input. As a context
    manager it kills the process on exit.
    """

    def __init__(
        self, arguments: Sequence[str], settings: Any = None, name: str = ""
    ) -> None:
        """Start the process; `name` identifies it in error messages."""
        self.name = name or " ".join(arguments)
        self._lines: deque[str] = deque(maxlen=KEPT_LINES)
        self._ready: dict[str, Any] | None = None
        self._open_outputs = 2
        self._changed = threading.Condition()
        self._popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        atexit.register(self.kill)
        self._readers = [
            self._read_in_thread(self._popen.stdout),
            self._read_in_thread(self._popen.stderr),
        ]
        self._send(settings)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self._popen.poll() is None

    @property
    def output(self) -> str:
        """Return the latest lines of standard output and error."""
        with self._changed:
            return "\n".join(self._lines)

    @property
    def ready(self) -> dict[str, Any]:
        """Wait for the ready line and return it; see `wait_ready`."""
        return self.wait_ready()

    @property
    def address(self) -> str:
        """Return the "address" of the ready line."""
        return str(self.ready["address"])

    def wait_ready(self, timeout_s: float = READY_S) -> dict[str, Any]:
        """Wait for the ready line and return it.

        Raises `ProcessError` if the process ends first or is not ready in
        `timeout_s`.
        """
        with self._changed:
            self._changed.wait_for(self._is_ready_or_ended, timeout_s)
        if self._ready is not None:
            return self._ready
        ended = not self._open_outputs
        reason = "ended before it was ready" if ended else "not ready in time"
        raise ProcessError(self.name, reason, self.output)

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        self._popen.terminate()

    def kill(self) -> None:
        """Send SIGKILL to the process."""
        self._popen.kill()

    def freeze(self) -> None:
        """Pause the process (SIGSTOP)."""
        self._popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a paused process (SIGCONT)."""
        self._popen.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float = WAIT_S) -> int:
        """Wait for the process to end and return its exit code.

        Raises `subprocess.TimeoutExpired` if it still runs after the timeout.
        """
        code = self._popen.wait(timeout_s)
        for reader in self._readers:
            reader.join(timeout_s)
        return code

    def close(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        self.kill()
        self.wait()
        atexit.unregister(self.kill)

    def __enter__(self) -> Self:
        """Return the process."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill the process if it still runs."""
        self.close()

    def _send(self, settings: Any) -> None:
        stdin = self._popen.stdin
        assert stdin is not None
        try:
            if settings is not None:
                stdin.write(_encode(settings))
            stdin.close()
        except BrokenPipeError:
            pass  # it has already ended; `wait_ready` reports its output

    def _read_in_thread(self, stream: IO[str] | None) -> threading.Thread:
        assert stream is not None
        thread = threading.Thread(
            target=self._read, args=(stream,), daemon=True
        )
        thread.start()
        return thread

    def _read(self, stream: IO[str]) -> None:
        for line in stream:
            ready = _parse_ready(line)
            with self._changed:
                self._lines.append(line.rstrip("\n"))
                self._ready = self._ready or ready
                self._changed.notify_all()
        with self._changed:
            self._open_outputs -= 1
            self._changed.notify_all()

    def _is_ready_or_ended(self) -> bool:
        return self._ready is not None or not self._open_outputs


def start_stand_in(kind: StandIn, settings: Any) -> Process:
    """Start a stand-in with its settings (attrs class or mapping)."""
    arguments = ["balsamlift.testing", kind, _STDIN_PATH]
    return Process(arguments, settings, name=kind)


def start_host(settings: Any) -> Process:
    """Start `balsamlift serve` with its settings (attrs or mapping)."""
    arguments = ["balsamlift", "serve", _STDIN_PATH]
    return Process(arguments, settings, name="serve")


def _encode(settings: Any) -> str:
    if attrs.has(type(settings)):
        settings = attrs.asdict(settings)
    return json.dumps(settings)


def _parse_ready(line: str) -> dict[str, Any] | None:
    if not line.startswith("{"):
        return None
    try:
        found = json.loads(line)
    except ValueError:
        return None
    return found if found.get("ready") is True else None
