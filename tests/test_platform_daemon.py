"""Test the daemon as a process: requests, reload and shutdown."""

import asyncio
import json
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from _daemon_deployment import HOST, PORTS, Deployment

from balsamlift.platform._names import HEADERS
from balsamlift.testing.relay import ReplicaConnection, ReplicaRequest

IP = "127.0.77.1"  # no other test listens there
DEADLINE_S = 40.0


def is_default_action_replaced(
    pid: int, number: signal.Signals = signal.SIGHUP
) -> bool:
    """Return whether a process ignores or catches a signal."""
    status = Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    masks = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(masks & 1 << number - 1)


def run(
    test: Callable[[Deployment], Awaitable[None]], directory: Path
) -> None:
    async def main() -> None:
        deployment = Deployment(IP)
        try:
            async with asyncio.timeout(DEADLINE_S):
                await deployment.start(directory)
                await test(deployment)
        finally:
            await deployment.stop()

    asyncio.run(main())


def test_serves_requests_addresses_and_metrics(tmp_path: Path) -> None:
    async def test(deployment: Deployment) -> None:
        answer = await deployment.call("r1")
        assert (answer.status, answer.body) == (200, b"done")
        (arrived,) = deployment.replica.arrivals
        assert arrived.headers[HEADERS.workspace] == "t-1"
        addresses = await deployment.request(
            "Directory", f"GET /resolution?Name={HOST}&Zone=north HTTP/1.1"
        )
        assert json.loads(addresses.body) == {
            "Addresses": [f"{IP}:{PORTS['Frontend']}"],
            "TtlS": 1,  # the maximum set by the platform
        }
        metrics = await deployment.request("metrics", "GET /metrics HTTP/1.1")
        assert b"relay_non_idempotent_ms_count 1" in metrics.body
        deployment.process.send_signal(signal.SIGHUP)
        assert (await deployment.call("r2")).status == 200

    run(test, tmp_path)


@pytest.mark.parametrize("port", ["Frontend", "forwarding"])
def test_shutdown_completes_requests_within_grace_period(
    tmp_path: Path, port: str
) -> None:
    release = asyncio.Event()

    async def answer_when_released(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await release.wait()
        await connection.answer(request, b"late")

    async def test(deployment: Deployment) -> None:
        # The host learns how long a call takes.
        assert (await deployment.call("r0", port)).status == 200
        deployment.replica.arrivals.clear()
        deployment.replica.behave = answer_when_released
        running = asyncio.create_task(deployment.call("r1", port))
        while not deployment.replica.arrivals:
            await asyncio.sleep(0.01)
        deployment.process.send_signal(signal.SIGTERM)
        while await deployment.get("Readiness", "/readyz") == 200:
            await asyncio.sleep(0.01)
        # Callers may still have this host's address in their cache.
        late = asyncio.create_task(deployment.call("r2", port))
        while len(deployment.replica.arrivals) < 2:
            await asyncio.sleep(0.01)
        release.set()
        for answer in (await running, await late):
            assert (answer.status, answer.body) == (200, b"late")
            assert answer.headers["Connection"] == "close"
        assert await deployment.process.wait() == 0
        lines = await deployment.log_lines()
        messages = [str(line["message"]) for line in lines]
        for expected in ("started", "configuration in force", "leaving"):
            assert expected in messages
        assert messages[-1] == "stopped"
        text = json.dumps(lines)
        assert '"k1"' not in text  # a caller's key must not be logged
        assert "r1" in text

    run(test, tmp_path)


def test_a_crash_leaves_the_stacks_of_all_threads(tmp_path: Path) -> None:
    async def test(deployment: Deployment) -> None:
        pid = deployment.process.pid
        assert is_default_action_replaced(pid, signal.SIGSEGV)

    run(test, tmp_path)


def test_a_start_without_its_address_says_so_and_ends(tmp_path: Path) -> None:
    """It ended with a traceback that named neither address nor listener."""

    async def test(deployment: Deployment) -> None:
        second = await deployment.start_process()
        output, _ = await second.communicate()
        assert second.returncode == 1
        last = json.loads(output.splitlines()[-1])
        address = f"{IP}:{PORTS['Frontend']}"
        assert last["message"].startswith(
            f"not started: cannot listen on {address}"
        )
        assert last["details"]["address"] == address

    run(test, tmp_path)


def test_a_reload_during_the_start_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    """Until its handlers were set, the signal killed it without a line."""

    async def test(deployment: Deployment) -> None:
        await deployment.restart()
        while not is_default_action_replaced(deployment.process.pid):
            await asyncio.sleep(0.001)
        while await deployment.get("Readiness", "/readyz") != 200:
            deployment.process.send_signal(signal.SIGHUP)
            assert deployment.process.returncode is None
            await asyncio.sleep(0.02)

    run(test, tmp_path)


NOT_STARTED = "stopped before it had started"


def test_a_termination_during_the_imports_leaves_a_line(
    tmp_path: Path,
) -> None:
    """The process ended by the signal, and nothing said that it had been."""

    async def test(deployment: Deployment) -> None:
        await deployment.restart()
        pid = deployment.process.pid
        while not is_default_action_replaced(pid, signal.SIGTERM):
            await asyncio.sleep(0.001)
        deployment.process.send_signal(signal.SIGTERM)
        assert await deployment.process.wait() == 0
        lines = await deployment.log_lines()
        assert [line["message"] for line in lines] == [NOT_STARTED]

    run(test, tmp_path)


def test_a_termination_while_the_start_waits_ends_without_draining(
    tmp_path: Path,
) -> None:
    """It finished its start, announced itself and left with a full drain."""

    async def test(deployment: Deployment) -> None:
        deployment.store.fault = "silent"
        await deployment.restart()
        while await refused_status(deployment) != 503:
            await asyncio.sleep(0.001)
        deployment.process.send_signal(signal.SIGTERM)
        assert await deployment.process.wait() == 0
        messages = [line["message"] for line in await deployment.log_lines()]
        assert messages[-1] == NOT_STARTED
        assert not {"started", "leaving"} & set(messages)

    run(test, tmp_path)


def test_an_end_does_not_wait_for_the_interpreter(tmp_path: Path) -> None:
    """Its finalization took 15 s on a busy machine, beyond the grace."""
    module = tmp_path / "sitecustomize.py"  # the interpreter imports it
    module.write_text("import atexit, time; atexit.register(time.sleep, 99)")

    async def test(deployment: Deployment) -> None:
        await deployment.restart(PYTHONPATH=str(tmp_path))
        while await deployment.get("Readiness", "/readyz") != 200:
            await asyncio.sleep(0.05)
        deployment.process.send_signal(signal.SIGTERM)
        assert await deployment.process.wait() == 0

    run(test, tmp_path)


async def refused_status(deployment: Deployment) -> int:
    """Return the status of a call; 0 if the host does not accept it yet."""
    try:
        return (await deployment.call("r1")).status
    except OSError:
        return 0


# Decisions that both paths ask; the rest of the package serves the other one.
SHARED_DECISIONS = {
    "backlog",
    "host_order",
    "late_share",
    "pace",
    "patience",
    "prompt_reading",
    "queue",
    "residence",
    "wait_decision",
    "wait_estimate",
    "waiting_line",
}


def test_start_does_not_import_unused_packages() -> None:
    """Importing them raises the CPU time of a start from 0.60 s to 0.70 s."""
    code = "import sys, balsamlift.platform; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    unused = ("requests", "presets", "placement", "orders")
    used = {f"balsamlift.placement._{name}" for name in SHARED_DECISIONS}
    used.add("balsamlift.placement")
    assert "balsamlift.platform" in loaded
    assert [
        name
        for name in loaded
        if name.startswith(tuple(f"balsamlift.{part}" for part in unused))
        and name not in used
    ] == []
