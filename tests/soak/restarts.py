"""Daemons that start and are terminated in series, with signals at any time.

Each process has to start and to end by itself, also when signals reach it
before it serves and while it leaves.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import BinaryIO

import attrs

from balsamlift.platform._names import CONFIGURATION_KEY, CONFIGURATION_TOPIC
from balsamlift.testing.platform import KeyedStore
from soak.configuration import configuration
from soak.hosts import STACKS_S, STAND_INS, Host
from soak.load import DENSE
from soak.network import Network
from soak.processes import send_signal

# The longest start and end, on a machine that is busy with other work.
START_S = END_S = 30.0
STARTED = b'"message":"started"'
LEAVE_S = 1.5  # that a daemon takes to leave without requests
FREEZE_S = 0.3
# One of them is written by each process that ends after SIGTERM.
END_MESSAGES = ("stopped", "stopped before it had started")
POLL_S = 0.05

Process = asyncio.subprocess.Process


@attrs.define
class Result:
    """What the processes of one run took, and which took too long."""

    violations: list[str] = attrs.field(factory=list)
    starts_s: list[float] = attrs.field(factory=list)
    ends_s: list[float] = attrs.field(factory=list)
    without_line: int = 0  # ended by SIGTERM before any handler was set

    @property
    def beyond_grace(self) -> int:
        """Return how many processes ended after their grace period."""
        return sum(end_s > DENSE.grace_s for end_s in self.ends_s)


class Restarts:
    """Daemons with a store, which exchange messages."""

    def __init__(self, seed: int, daemons: int, folder: Path) -> None:
        """Prepare the run; the logs of the daemons stay in `folder`."""
        self._random = random.Random(seed)
        self._network = Network()
        self._store = KeyedStore(self._network.ip(STAND_INS))
        self._result = Result()
        self._number = daemons
        self._folder = folder

    async def run(self, length_s: float) -> Result:
        """Start and terminate each daemon until the time has passed."""
        await self._store.start()
        self._store.topic(CONFIGURATION_TOPIC).append(
            CONFIGURATION_KEY, configuration(1)
        )
        hosts = [
            Host(n, self._folder, self._store, self._network)
            for n in range(self._number)
        ]
        until_s = asyncio.get_running_loop().time() + length_s
        await asyncio.gather(*(self._restart(h, until_s) for h in hosts))
        for host in hosts:
            await host.link.stop()
        await self._store.stop()
        self._network.release()
        return self._result

    async def _restart(self, host: Host, until_s: float) -> None:
        await host.prepare()
        disturbances = (_leave, _reload, _freeze, _signal_twice, _cut_link)
        with host.log_file.open("ab") as log_file:
            while asyncio.get_running_loop().time() < until_s:
                offset = log_file.seek(0, 2)
                process = await host.start_process(log_file)
                disturb = self._random.choice(disturbances)
                delay_s = self._random.uniform(0, LEAVE_S)
                if self._random.random() < 0.2:
                    await asyncio.sleep(delay_s)  # before it serves, perhaps
                elif not await self._wait_started(host, process, log_file):
                    continue
                await self._end(host, process, disturb, delay_s)
                self._check_end(host, process, offset)

    async def _wait_started(
        self, host: Host, process: Process, log_file: BinaryIO
    ) -> bool:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        offset = log_file.seek(0, 2)
        while STARTED not in host.log_file.read_bytes()[offset:]:
            took_s = loop.time() - began_s
            if process.returncode is not None or took_s > START_S:
                await self._report(process, f"{host.name}: did not start")
                return False
            await asyncio.sleep(POLL_S)
        self._result.starts_s.append(loop.time() - began_s)
        return True

    async def _end(
        self,
        host: Host,
        process: Process,
        disturb: Callable[[Host, Process, float], Awaitable[None]],
        delay_s: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        send_signal(process, signal.SIGTERM)
        disturbing = asyncio.create_task(disturb(host, process, delay_s))
        try:
            async with asyncio.timeout(END_S):
                await process.wait()
            self._result.ends_s.append(loop.time() - began_s)
        except TimeoutError:
            name = disturb.__name__.removeprefix("_")
            await self._report(process, f"{host.name}: did not end ({name})")
        await disturbing

    def _check_end(self, host: Host, process: Process, offset: int) -> None:
        """Check that an end is clean and leaves a line that tells of it.

        The log of the process begins at `offset`. A signal that comes while
        the interpreter itself starts ends it before any of our code runs.
        """
        if process.returncode == -signal.SIGTERM:
            self._result.without_line += 1
            return
        messages = _messages(host.log_file.read_bytes()[offset:])
        if process.returncode != 0 or not messages & {*END_MESSAGES}:
            self._result.violations.append(
                f"{host.name}: ended with {process.returncode} and no line "
                f"that tells of it, pid {process.pid}"
            )

    async def _report(self, process: Process, text: str) -> None:
        """Report a violation; the stacks of the process go to its log."""
        self._result.violations.append(f"{text}, pid {process.pid}")
        send_signal(process, signal.SIGABRT)
        await asyncio.sleep(STACKS_S)
        send_signal(process, signal.SIGKILL)
        await process.wait()


def _messages(log: bytes) -> set[str]:
    """Return the messages of a log; lines of libraries are no JSON."""
    return {
        json.loads(line)["message"]
        for line in log.splitlines()
        if line.startswith(b"{")
    }


async def _leave(host: Host, process: Process, delay_s: float) -> None:
    del host, process, delay_s


async def _reload(host: Host, process: Process, delay_s: float) -> None:
    del host
    send_signal(process, signal.SIGHUP)
    await asyncio.sleep(delay_s)
    send_signal(process, signal.SIGHUP)


async def _freeze(host: Host, process: Process, delay_s: float) -> None:
    del host
    await asyncio.sleep(delay_s)
    send_signal(process, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    send_signal(process, signal.SIGCONT)


async def _signal_twice(host: Host, process: Process, delay_s: float) -> None:
    del host
    await asyncio.sleep(delay_s)
    send_signal(process, signal.SIGTERM)


async def _cut_link(host: Host, process: Process, delay_s: float) -> None:
    host.set_link({"cut": True})
    await asyncio.wait([asyncio.create_task(process.wait())], timeout=delay_s)
    host.set_link({})
