"""Daemons of the platform as processes, and the store that they share."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

from balsamlift._address import join_address
from balsamlift.platform._settings import SETTINGS_FILE_VARIABLE
from balsamlift.testing._link import Link
from balsamlift.testing._settings import LinkSettings
from balsamlift.testing.platform import KeyedStore
from soak.upstreams import SOUND

ROOT = Path(__file__).parent.parent.parent
PORTS = {"Frontend": 7881, "Readiness": 7882, "Directory": 7883}
FIRST_PORT = 7890
GRACE_S = 3
DOMAINS = ("north", "south")


class Host:
    """One daemon, restarted by the platform whenever it ends."""

    def __init__(self, number: int, folder: Path, store: KeyedStore) -> None:
        """Prepare its files; no other test uses its address."""
        self.name = f"edge-{number}"
        self.ip = f"127.0.78.{number + 1}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.output = folder / f"{self.name}.log"
        self.is_leaving = False
        self.link = Link(
            LinkSettings(name=self.name, target_address=store.address)
        )
        self._file = folder / f"{self.name}.toml"
        self._process: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task[None] | None = None

    def address(self, port: str) -> str:
        """Return one of its addresses."""
        return join_address(self.ip, PORTS[port])

    async def start(self) -> None:
        """Start the daemon, and again whenever it ends."""
        await self.link.start()
        self._file.write_text(self._settings())
        self._keeper = asyncio.create_task(self._keep_running())

    async def stop(self) -> None:
        """End the daemon for good."""
        if self._keeper is not None:
            self._keeper.cancel()
            await asyncio.wait([self._keeper])
        if self._process is not None:
            self._signal(signal.SIGKILL)
            await self._process.wait()
        await self.link.stop()

    async def freeze(self, for_s: float) -> None:
        """Let the daemon stand still for a while."""
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self._signal(signal.SIGCONT)

    async def terminate(self) -> None:
        """Ask the daemon to leave; kill it when its grace is over."""
        process = self._process
        if process is None or self.is_leaving:
            return
        self.is_leaving = True
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            self._signal(signal.SIGKILL)
        self.is_leaving = False

    def kill(self) -> None:
        """End the daemon at once."""
        self._signal(signal.SIGKILL)

    def hang_up(self) -> None:
        """Tell the daemon that its settings file has changed."""
        self._signal(signal.SIGHUP)

    def set_link(self, faults: dict[str, object]) -> None:
        """Break or mend its link to the store."""
        self.link.control.update({**SOUND, **faults})

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):  # it just ended
                self._process.send_signal(number)

    async def _keep_running(self) -> None:
        with self.output.open("ab") as output:
            while True:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "deploy/serve.py",
                    cwd=ROOT,
                    env={
                        **os.environ,
                        SETTINGS_FILE_VARIABLE: str(self._file),
                    },
                    stdout=output,
                    stderr=output,
                )
                await self._process.wait()
                await asyncio.sleep(0.2)

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
            f"GraceS = {GRACE_S}",
            "ttl_max_s = 0.5",
            "RetryBudgetRatio = 0.2",
            "BudgetExtraRetries = 50",
            "BudgetWindowS = 10",
            "ContactMs = 3000",
            "ConfigApplyMs = 2000",
            "DrainMs = 2000",
        ]
        return "\n".join(lines)
