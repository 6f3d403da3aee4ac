"""A complete deployment: platform, upstreams and hosts as processes."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import Any

import attrs

from balsamlift._loading import structure
from balsamlift.presets import Preset
from balsamlift.presets._operator import OperationResult, Operator
from balsamlift.testing import Process, start_stand_in
from scenarios import control, hosts
from scenarios.background import BackgroundLoop, wait_until
from scenarios.hosts import PoolOptions, TestHost
from scenarios.presets import make_preset
from scenarios.upstreams import (
    EngineOptions,
    StandIn,
    put_behind_link,
    start_engine,
    start_service,
)

LOG_RETENTION_MS = 600_000
MAX_ADDRESSES = 4  # that a host returns to a caller
PRESETS = ("ordinary", "peak", "maintenance")


@attrs.define
class Plan:
    """The options of a deployment, set before it starts."""

    engines: EngineOptions = attrs.field(factory=EngineOptions)
    pools: PoolOptions = attrs.field(factory=PoolOptions)
    policy: dict[str, Any] = attrs.field(factory=dict)
    platform: dict[str, Any] = attrs.field(factory=dict)
    orders: dict[str, int] = attrs.field(factory=dict)


class Deployment:
    """Start, reconfigure and stop the processes of one scenario."""

    def __init__(self, background: BackgroundLoop, plan: Plan) -> None:
        self.background = background
        self.plan = plan
        self.hosts: dict[int, TestHost] = {}
        self.former_hosts: list[TestHost] = []
        self.stand_ins: dict[str, StandIn] = {}
        self.generation = 0  # the newest that an operator saw accepted
        self._platform: Process | None = None

    @property
    def platform_address(self) -> str:
        assert self._platform is not None
        return self._platform.address

    @property
    def engines(self) -> list[StandIn]:
        return [s for s in self.stand_ins.values() if s.kind == "engine"]

    @property
    def services(self) -> list[StandIn]:
        return [s for s in self.stand_ins.values() if s.kind == "service"]

    @property
    def usable_hosts(self) -> list[TestHost]:
        return [h for h in self.hosts.values() if h.usable]

    def start(self, host_count: int, engines: int, services: int) -> None:
        """Start all processes and wait until requests can be served."""
        self._platform = start_stand_in(
            "platform",
            {"address": "127.0.4.1:0", "hosts_lag_ms": 0} | self.plan.platform,
        )
        started = [
            ("engine", n, self._start_engine(n)) for n in range(1, engines + 1)
        ] + [("service", n, start_service(n)) for n in range(1, services + 1)]
        for number in range(1, host_count + 1):
            self.start_host(number)
        for kind, number, process in started:
            stand_in = put_behind_link(self.background, process, kind, number)
            self.stand_ins[stand_in.name] = stand_in
            if kind == "engine" and self.plan.engines.fetches_weights:
                self._wait_listed(stand_in.name)
            self.set_list_entry(stand_in.name, stand_in.entry)
        for host in self.hosts.values():
            self.set_list_entry(host.name, host.entry)
        self._publish_and_switch()
        self.wait_serving()

    def start_host(self, number: int) -> TestHost:
        """Start a host without entering it in the platform's list."""
        host = hosts.start(
            self.background,
            number,
            self.platform_address,
            self.plan.pools,
            self.plan.platform.get("log_retention_ms", LOG_RETENTION_MS),
            self.plan.orders,
        )
        self.hosts[number] = host
        return host

    def add_host(self, number: int) -> TestHost:
        """Start a host and enter it in the platform's list."""
        host = self.start_host(number)
        self.set_list_entry(host.name, host.entry)
        return host

    def set_list_entry(self, name: str, entry: dict[str, str]) -> None:
        """Set one entry in the platform's list."""
        control.call("PUT", self.platform_address, f"/v1/hosts/{name}", entry)

    def set_platform(self, **faults: Any) -> None:
        control.set_faults(self.platform_address, **faults)

    def earliest_offset(self) -> int:
        """Return the earliest offset that the log still holds."""
        page = control.get(self.platform_address, "/v1/log/read?from=0")
        return int(page["earliest"])

    def operator(self) -> Operator:
        """Return an operator that connects to the log without a link."""
        return Operator(self.platform_address)

    def switch(self, name: str) -> OperationResult:
        """Switch to a preset as an operator and record the result."""
        result = self.background.run(self.operator().switch(name))
        self.record_result(result)
        return result

    def record_result(self, result: OperationResult) -> None:
        if result.state == "accepted":
            assert result.generation is not None
            self.generation = max(self.generation, result.generation)

    def is_in_force(self, host: TestHost) -> bool:
        """Return whether a host has applied the newest accepted generation."""
        try:
            return int(host.status()["generation"]) >= self.generation
        except OSError:
            return False

    def wait_in_force(self, timeout_s: float = 30.0) -> None:
        wait_until(
            lambda: all(map(self.is_in_force, self.usable_hosts)),
            f"generation {self.generation} in force on every host",
            timeout_s,
        )

    def wait_serving(self) -> None:
        """Wait until every usable host knows all hosts and upstreams."""
        self.wait_in_force()
        for host in self.usable_hosts:
            wait_until(
                partial(self._knows_all, host),
                f"{host.name} knows all hosts and upstreams",
            )

    def _knows_all(self, host: TestHost) -> bool:
        upstreams = [s for s in self.stand_ins.values() if not s.dead]
        listed = min(len(self.usable_hosts), MAX_ADDRESSES)
        return host.address_count() >= listed and host.live_upstreams() >= len(
            upstreams
        )

    def executions(self) -> Counter[str]:
        """Return how often all stand-ins together executed each key."""
        total: Counter[str] = Counter()
        for stand_in in self.stand_ins.values():
            total += stand_in.executions()
        return total

    def stop_host(self, number: int) -> int:
        """Shut a host down gracefully and return its exit code."""
        host = self.hosts[number]
        host.process.terminate()
        code = host.process.wait()
        host.dead = True
        return code

    def replace_host(self, number: int) -> int:
        """Shut a host down and start a new incarnation of it."""
        code = self.stop_host(number)
        self.former_hosts.append(self.hosts[number])
        self.add_host(number)
        self.wait_serving()
        return code

    def close(self) -> None:
        """Kill every process of this deployment."""
        processes = [h.process for h in self.hosts.values()]
        processes += [h.process for h in self.former_hosts]
        processes += [s.process for s in self.stand_ins.values()]
        if self._platform is not None:
            processes.append(self._platform)
        for process in processes:
            process.kill()
        for process in processes:
            process.close()

    def _start_engine(self, number: int) -> Process:
        return start_engine(number, self.plan.engines, self.platform_address)

    def _wait_listed(self, name: str) -> None:
        """Wait until a stand-in has entered itself in the platform's list.

        Its own entry is then overwritten with the address of its link.
        """
        wait_until(lambda: self._lists(name), f"{name} is listed")

    def _lists(self, name: str) -> bool:
        listed = control.get(self.platform_address, "/v1/hosts")
        return any(entry["name"] == name for entry in listed["hosts"])

    def _publish_and_switch(self) -> None:
        self.background.run(self._publish_presets())
        self.switch(PRESETS[0])

    async def _publish_presets(self) -> None:
        for name in PRESETS:
            raw = make_preset(name, **self.plan.policy)
            preset = structure(raw, Preset, name)
            result = await self.operator().publish(preset)
            assert result.state == "accepted", result
