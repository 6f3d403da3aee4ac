"""What a run did with its processes, and what the machine had meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from asyncio.subprocess import Process
from datetime import UTC, datetime
from pathlib import Path

import attrs

PRESSURES = ("cpu", "io", "memory")
LATENESS_POLL_S = 0.1


@attrs.define
class ProcessHistory:
    """Write a line for each event of a host's processes.

    The lines have the format of the daemon's log, so that both can be merged
    by time.
    """

    host: str
    file: Path
    errors: list[str] = attrs.field(factory=list)  # of the supervisor

    def record(self, event: str, **details: object) -> None:
        """Append one event."""
        line = {
            "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
            "host": self.host,
            "part": "supervisor",
            "message": event,
            "details": {**details, "runnable": _runnable()},
        }
        with self.file.open("a") as file:
            file.write(json.dumps(line) + "\n")

    def record_error(self, error: Exception) -> None:
        """Append an error of the supervisor itself."""
        text = f"{type(error).__name__}: {error}"
        self.errors.append(f"{self.host}: {text}")
        self.record("could not start", error=text)


class LoopLateness:
    """Measure how late the event loop of the run wakes its tasks."""

    def __init__(self) -> None:
        """Prepare; `start` begins to measure."""
        self.max_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Measure in the background."""
        self._task = asyncio.create_task(self._keep_measuring())

    def stop(self) -> None:
        """Stop measuring."""
        if self._task is not None:
            self._task.cancel()

    async def _keep_measuring(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LATENESS_POLL_S
            await asyncio.sleep(LATENESS_POLL_S)
            self.max_s = max(self.max_s, loop.time() - due_s)


def describe_process(pid: int) -> str:
    """Return state, scheduling and wait channel of a process, in one line.

    The scheduling is the time on a processor and the time of waiting for
    one, both in seconds.
    """
    folder = Path(f"/proc/{pid}")
    state = _field(folder / "status", "State:")
    memory = _field(folder / "status", "VmRSS:")
    run_ns, wait_ns, *_ = [*_read(folder / "schedstat").split(), "0", "0"]
    return (
        f"pid {pid}, state {state or 'gone'}, resident {memory or '0'}, "
        f"ran {int(run_ns) / 1e9:.2f} s, "
        f"waited for a processor {int(wait_ns) / 1e9:.2f} s, "
        f"in {_read(folder / 'wchan') or '?'}"
    )


def describe_machine() -> str:
    """Return load, free memory and pressure of the machine, in one line."""
    available = _field(Path("/proc/meminfo"), "MemAvailable:")
    pressures = [
        f"{name}: {_read(Path(f'/proc/pressure/{name}')).splitlines()[:1]}"
        for name in PRESSURES
    ]
    return (
        f"load {_read(Path('/proc/loadavg'))}, available {available}, "
        f"pressure {'; '.join(pressures)}"
    )


def _runnable() -> str:
    """Return how many threads of the machine run or want to."""
    fields = _read(Path("/proc/loadavg")).split()
    return fields[3] if len(fields) > 3 else "?"


def _field(file: Path, name: str) -> str:
    for line in _read(file).splitlines():
        if line.startswith(name):
            return line.removeprefix(name).strip()
    return ""


def _read(file: Path) -> str:
    with contextlib.suppress(OSError):
        return file.read_text().strip()
    return ""


def send_signal(process: Process, number: signal.Signals) -> None:
    """Signal a process that may just have ended, without reaping it.

    `Process.send_signal` may reap it, and its exit code is then lost.
    """
    if process.returncode is not None:
        return
    pidfd = open_pidfd(process.pid)
    if pidfd is None:
        return
    with contextlib.suppress(ProcessLookupError):
        signal.pidfd_send_signal(pidfd, number)
    os.close(pidfd)


def open_pidfd(pid: int) -> int | None:
    """Return a descriptor of a process, None if it has ended already.

    A signal by descriptor neither reaps the process, as `Popen.send_signal`
    may, nor reaches another one that got the same id.
    """
    try:
        return os.pidfd_open(pid)
    except ProcessLookupError:
        return None
