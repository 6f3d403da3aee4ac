"""One run: hosts, upstreams and callers under the faults of a seed."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path

import attrs

from balsamlift.platform._names import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    UPSTREAMS_TOPIC,
)
from balsamlift.testing.platform import KeyedStore
from soak.callers import Ask, Callers, send
from soak.configuration import (
    KEY,
    added_path,
    configuration,
    version_key,
)
from soak.hosts import Host
from soak.plan import LINK_FAULTS, STORE_FAULTS, Fault, Plan, draw
from soak.promises import Promises
from soak.upstreams import Upstreams

HOSTS = 4
CALLERS = 10
SERVICES = ("plain", "plain", "plain", "model", "model")
START_S = 30.0
# Once all is mended: what the store and the hosts need at most to find each
# other again, on a machine with other work.
RECOVERY_S = 20.0
LEAVING_S = 2.5  # that an upstream still works after it said it leaves


@attrs.frozen(kw_only=True)
class Result:
    """Hold what a run has shown."""

    plan: Plan
    broken: list[str]
    requests: int
    served: int


class Run:
    """Hold the parts of one run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Prepare; `play` starts the processes."""
        self._plan = plan
        self._folder = folder
        self._random = random.Random(plan.seed)
        self._promises = Promises()
        self._store = KeyedStore()
        self._upstreams = Upstreams(self._promises, self._random)
        self._version = 1
        self._faults: set[asyncio.Task[None]] = set()

    async def play(self) -> Result:
        """Run from the start of the hosts to their end."""
        await self._store.start()
        for service in SERVICES:
            await self._add_upstream(service)
        self._configure()
        self._hosts = [
            Host(n, self._folder, self._store) for n in range(HOSTS)
        ]
        try:
            for host in self._hosts:
                await host.start()
            await self._until_served(START_S)
            await self._call_under_faults()
            await self._check_recovery()
        finally:
            for host in self._hosts:
                await host.stop()
            await self._upstreams.stop_all()
            await self._store.stop()
        told = self._promises.told
        return Result(
            plan=self._plan,
            broken=self._promises.broken,
            requests=len(told),
            served=sum(t.status == 200 and t.is_whole for t in told),
        )

    async def _call_under_faults(self) -> None:
        callers = Callers(
            self._hosts, self._promises, self._random, self._note_cut
        )
        callers.start(CALLERS)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for fault in self._plan.faults:
            await asyncio.sleep(began_s + fault.at_s - loop.time())
            task = asyncio.create_task(self._strike(fault))
            self._faults.add(task)
        await asyncio.gather(*self._faults)
        await callers.stop()

    def _note_cut(self, request_id: str) -> None:
        """Nothing that operators do on purpose may cut a request off.

        One that an upstream broke off itself, and every generation, may end
        so: an engine breaks some off.
        """
        told = self._promises.told[-1]
        if not self._plan.is_planned_only or told.is_stream:
            return
        if not self._promises.runs[request_id]:
            self._promises.break_("lost", request_id, "was cut, and not run")

    # Faults

    async def _strike(self, fault: Fault) -> None:
        host = self._hosts[fault.which % len(self._hosts)]
        names = sorted(self._upstreams.live)
        name = names[fault.which % len(names)]
        link = LINK_FAULTS[fault.how % len(LINK_FAULTS)]
        match fault.kind:
            case "kill":
                host.kill()
            case "freeze":
                await host.freeze(fault.for_s)
            case "term":
                await host.terminate()
            case "hup":
                host.hang_up()
            case "store_fault":
                self._store.fault = STORE_FAULTS[fault.how % 4]
                await asyncio.sleep(fault.for_s)
                self._store.fault = ""
            case "store_forgets":
                self._store.drop_history(CONFIGURATION_TOPIC)
                self._store.drop_history(UPSTREAMS_TOPIC)
            case "store_link":
                host.set_link(link)
                await asyncio.sleep(fault.for_s)
                host.set_link({})
            case "upstream_link":
                self._upstreams.set_link(name, link)
                await asyncio.sleep(fault.for_s)
                self._upstreams.set_link(name, {})
            case "upstream_crash":
                await self._replace(name, after_s=0.0)
            case "upstream_leaves":
                self._enlist(name, "draining")
                await self._replace(name, after_s=LEAVING_S)
            case "configuration":
                self._version += 1
                self._configure()

    async def _replace(self, name: str, after_s: float) -> None:
        """Start another upstream, then end one and its entry."""
        await self._add_upstream(self._upstreams.service(name))
        await asyncio.sleep(after_s)
        if name in self._upstreams.live:
            await self._upstreams.stop(name)
        self._store.topic(UPSTREAMS_TOPIC).append(name, b"")

    async def _add_upstream(self, service: str) -> None:
        self._enlist(await self._upstreams.add(service), "ready")

    def _enlist(self, name: str, state: str) -> None:
        fields = {
            "Service": self._upstreams.service(name),
            "Address": self._upstreams.address(name),
            "Zone": "north",
            "Version": "v1",
            "Slots": 24,
            "LifecycleState": state,
            "Sequence": 1,
            "ColdRemainingMs": 0,
        }
        entry = json.dumps(fields).encode()
        self._store.topic(UPSTREAMS_TOPIC).append(name, entry)

    def _configure(self) -> None:
        self._store.topic(CONFIGURATION_TOPIC).append(
            CONFIGURATION_KEY, configuration(self._version)
        )

    # Recovery

    async def _check_recovery(self) -> None:
        """Every host serves again, by the newest configuration alone."""
        self._upstreams.is_calm = True
        self._version += 1
        self._configure()
        try:
            await self._until_served(RECOVERY_S)
        except TimeoutError:
            self._promises.break_("recovery", "", "not all hosts serve")

    async def _until_served(self, within_s: float) -> None:
        async with asyncio.timeout(within_s):
            for host in self._hosts:
                while not await self._serves(host):
                    await asyncio.sleep(0.1)

    async def _serves(self, host: Host) -> bool:
        """Tell whether a host knows this version's route and key, only."""
        path = added_path(self._version) + "x"
        statuses = [
            await self._status(host, version_key(self._version), path),
            await self._status(host, KEY, path),
            await self._status(host, version_key(self._version - 1), path),
            await self._status(host, KEY, added_path(self._version - 1)),
        ]
        return statuses == [200, 200, 401, 404]

    async def _status(self, host: Host, key: str, path: str) -> int:
        ip, port = host.address("Frontend").split(":")
        ask = Ask(f"check-{self._random.randrange(1 << 60)}", "non_idempotent")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
        except (OSError, TimeoutError):
            return 0
        told, _ = await send(ask, reader, writer, key, path)
        writer.close()
        return told.status


async def run_seed(seed: int, length_s: float, folder: Path) -> Result:
    """Play one seed; the logs of the hosts stay in `folder`."""
    return await Run(draw(seed, length_s), folder).play()
