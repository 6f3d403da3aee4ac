"""Daemons of the platform as processes, each with a link to the store."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import BinaryIO

from balsamlift._address import join_address
from balsamlift.platform._settings import SETTINGS_FILE_VARIABLE
from balsamlift.testing._link import Link
from balsamlift.testing._settings import LinkSettings
from balsamlift.testing.platform import KeyedStore
from soak.host_links import HostLinks
from soak.load import DENSE, Load
from soak.network import Network
from soak.processes import (
    ProcessHistory,
    describe_process,
    open_pidfd,
    send_signal,
)
from soak.upstreams import NO_FAULTS

ROOT = Path(__file__).parent.parent.parent
PORTS = {"Frontend": 7881, "Readiness": 7882, "Directory": 7883}
FIRST_PORT = 7890  # of the internal ports
LAST_S = 1.0  # of a grace period, before which a process is described
STACKS_S = 0.5  # until the stacks of a daemon are written
RESTART_S = 0.2
DOMAINS = ("north", "south")
STAND_INS = 253  # the number of their IP address


def host_ip(network: Network, number: int) -> str:
    """Return the IP address of a host."""
    return network.ip(number + 1)


class Host:
    """One daemon, restarted whenever its process ends."""

    def __init__(
        self,
        number: int,
        folder: Path,
        store: KeyedStore,
        network: Network,
        tree: Path = ROOT,
        load: Load = DENSE,
        links: HostLinks | None = None,
    ) -> None:
        """Prepare the files; the daemon is that of the source tree `tree`."""
        self._load = load
        self.links = links  # to upstreams; None: the same for all hosts
        self._tree = tree
        self.name = f"edge-{number}"
        self.ip = host_ip(network, number)
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.log_file = folder / f"{self.name}.log"
        self.history = ProcessHistory(
            self.name, folder / f"{self.name}-processes.log"
        )
        self.is_leaving = False
        self.link = Link(
            LinkSettings(
                name=self.name,
                address=network.any_port(STAND_INS),
                target_address=store.address,
                control_address=network.any_port(STAND_INS),
            )
        )
        self._file = folder / f"{self.name}.toml"
        self._process: asyncio.subprocess.Process | None = None
        self._pidfd: int | None = None
        self._supervisor: asyncio.Task[None] | None = None

    def address(self, port: str) -> str:
        """Return the address of the listener named `port`."""
        return join_address(self.ip, PORTS[port])

    async def start(self) -> None:
        """Start the daemon and restart it whenever it ends."""
        await self.prepare()
        self._supervisor = asyncio.create_task(self._supervise())

    async def prepare(self) -> None:
        """Start the link to the store and write the settings file."""
        await self.link.start()
        self._file.write_text(self._settings())

    async def stop(self) -> None:
        """Kill the daemon without restarting it."""
        # The process ends first: its descriptor is the supervisor's.
        self.kill()
        if self._supervisor is not None:
            self._supervisor.cancel()
            await asyncio.wait([self._supervisor])
        process = self._process
        if process is not None:
            send_signal(process, signal.SIGKILL)
            await process.wait()
        await self.link.stop()
        if self.links is not None:
            await self.links.stop()

    async def freeze(self, duration_s: float) -> None:
        """Suspend the daemon for a while."""
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self._signal(signal.SIGCONT)

    async def terminate(self) -> None:
        """Ask the daemon to shut down; kill it after the grace period."""
        process = self._process
        if process is None or self.is_leaving:
            return
        self.is_leaving = True
        self._signal(signal.SIGTERM)
        if not await _has_ended(process, self._load.grace_s - LAST_S):
            state = describe_process(process.pid)
            self.history.record("grace period ends soon", process=state)
            if not await _has_ended(process, LAST_S):
                self._signal(signal.SIGKILL)
        self.is_leaving = False

    def terminate_again(self) -> None:
        """Signal a daemon once more that is shutting down."""
        if self.is_leaving:
            self._signal(signal.SIGTERM)

    async def dump_stacks(self) -> str:
        """Write the stacks of all threads to the log; return the state."""
        process = self._process
        if process is None:
            return f"{self.name}: never started"
        state = describe_process(process.pid)
        self._signal(signal.SIGABRT)
        await asyncio.sleep(STACKS_S)
        return f"{self.name}: {state}, ended {process.returncode}"

    def kill(self) -> None:
        """Kill the daemon; it is restarted."""
        self._signal(signal.SIGKILL)

    def reload_settings(self) -> None:
        """Send SIGHUP so that the daemon reloads its settings file."""
        self._signal(signal.SIGHUP)

    def set_link(self, faults: dict[str, object]) -> None:
        """Replace the faults of the link to the store."""
        self.link.control.update({**NO_FAULTS, **faults})

    def _signal(self, number: signal.Signals) -> None:
        if self._pidfd is None:
            return
        assert self._process is not None
        state = describe_process(self._process.pid)
        with contextlib.suppress(ProcessLookupError):  # it has just ended
            signal.pidfd_send_signal(self._pidfd, number)
            self.history.record("signal", signal=number.name, process=state)

    async def _supervise(self) -> None:
        with self.log_file.open("ab") as log_file:
            while True:
                try:
                    await self._run_process(log_file)
                except Exception as error:
                    self.history.record_error(error)
                await asyncio.sleep(RESTART_S)

    async def _run_process(self, log_file: BinaryIO) -> None:
        self.history.record("starting a process")
        self._process = process = await self.start_process(log_file)
        self._pidfd = open_pidfd(process.pid)
        self.history.record("process started", pid=process.pid)
        try:
            await process.wait()
        finally:
            if self._pidfd is not None:
                os.close(self._pidfd)
            self._pidfd = None
        self.history.record(
            "process ended", pid=process.pid, exit_code=process.returncode
        )

    async def start_process(
        self, log_file: BinaryIO
    ) -> asyncio.subprocess.Process:
        """Start a process of the daemon that writes to `log_file`."""
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "deploy/serve.py",
            cwd=self._tree,
            env={
                **os.environ,
                SETTINGS_FILE_VARIABLE: str(self._file),
                "PYTHONFAULTHANDLER": "1",
                **(self.links.environment if self.links else {}),
            },
            stdout=log_file,
            stderr=log_file,
        )

    def _settings(self) -> str:
        lines = [
            f'NodeName = "{self.name}"',
            f'Zone = "{self.domain}"',
            'Region = "land"',
            f'Ip = "{self.ip}"',
            f"InternalPorts = [{FIRST_PORT}, {FIRST_PORT + 15}]",
            "[Listen]",
            *(f'{name} = "{self.address(name)}"' for name in PORTS),
            "[Platform]",
            f'Address = "{self.link.ready()["address"]}"',
            "[Bounds]",
            f"GraceS = {self._load.grace_s:g}",
            "ttl_max_s = 0.5",
            "RetryBudgetRatio = 0.2",
            f"BudgetExtraRetries = {self._load.extra_retries}",
            "BudgetWindowS = 10",
            "ContactMs = 3000",
            "ConfigApplyMs = 2000",
            "DrainMs = 2000",
        ]
        return "\n".join(lines)


async def _has_ended(
    process: asyncio.subprocess.Process, within_s: float
) -> bool:
    """Wait for the end of a process; return whether it came in time."""
    try:
        async with asyncio.timeout(within_s):
            await process.wait()
    except TimeoutError:
        return False
    return True
