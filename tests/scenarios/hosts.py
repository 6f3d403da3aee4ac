"""One host: its settings, its process and the links it uses."""

from __future__ import annotations

from typing import Any

import attrs

from balsamlift.testing import Process, start_host
from scenarios import control
from scenarios.background import BackgroundLoop
from scenarios.links import TestLink

DOMAIN_COUNT = 3


def failure_domain_of(number: int) -> str:
    return f"domain-{1 + (number - 1) % DOMAIN_COUNT}"


@attrs.frozen
class PoolOptions:
    """How the settings of the hosts describe the two pools."""

    deterministic: bool = False
    checks_fence: bool = True
    engines_tell_by_key: bool = True
    services_tell_by_key: bool = False

    def settings(self) -> dict[str, Any]:
        return {
            "drafting": {
                "kind": "engine",
                "deterministic": self.deterministic,
                "checks_fence": self.checks_fence,
                "tells_by_key": self.engines_tell_by_key,
            },
            "tracker": {
                "kind": "service",
                "tells_by_key": self.services_tell_by_key,
            },
        }


@attrs.define(eq=False)
class TestHost:
    """A host under test with one link to the log and one to the host list."""

    __test__ = False

    number: int
    process: Process
    log_link: TestLink
    list_link: TestLink
    frozen: bool = False
    leaving: bool = False
    dead: bool = False

    @property
    def name(self) -> str:
        return f"host-{self.number}"

    @property
    def address(self) -> str:
        """Return the callers' address."""
        return str(self.process.ready["callers_address"])

    @property
    def operators_address(self) -> str:
        return str(self.process.ready["operators_address"])

    @property
    def usable(self) -> bool:
        return not (self.dead or self.frozen or self.leaving)

    @property
    def entry(self) -> dict[str, str]:
        """Return the entry of this host in the platform's list."""
        ready = self.process.ready
        return {
            "role": "entry",
            "address": ready["callers_address"],
            "operators_address": ready["operators_address"],
            "peers_address": ready["peers_address"],
            "failure_domain": failure_domain_of(self.number),
        }

    def status(self) -> dict[str, Any]:
        answer: dict[str, Any] = control.get(
            self.operators_address, "/v1/status"
        )
        return answer

    def upstreams(self) -> list[dict[str, Any]]:
        answer: list[dict[str, Any]] = control.get(
            self.operators_address, "/v1/upstreams"
        )
        return answer

    def live_upstreams(self) -> int:
        """Return how many upstreams this host sees as live."""
        try:
            return sum(u["state"] == "live" for u in self.upstreams())
        except OSError:
            return 0

    def upstream_state(self, upstream: str) -> str:
        """Return the state of an upstream as this host sees it."""
        for row in self.upstreams():
            if row["name"] == upstream:
                return str(row["state"])
        return ""

    def has_event(self, kind: str) -> bool:
        """Return whether the timeline of this host has an event of `kind`."""
        path = f"/v1/timeline?kind={kind}"
        return bool(control.get(self.operators_address, path))

    def address_count(self) -> int:
        """Return how many host addresses it returns to callers."""
        try:
            found = control.get(self.address, "/v1/addresses?workspace=w")
        except OSError:
            return 0
        return len(found["addresses"])

    def key_prefix(self) -> str:
        """Return the prefix of the keys whose home is this host."""
        found = control.get(self.address, "/v1/addresses?workspace=w")
        for place in found["addresses"]:
            if place["host"] == self.name:
                return str(place["key_prefix"])
        raise AssertionError(f"{self.name} does not list itself")

    def kill(self) -> None:
        self.dead = True
        self.process.kill()
        self.process.wait()

    def freeze(self) -> None:
        self.frozen = True
        self.process.freeze()

    def thaw(self) -> None:
        self.frozen = False
        self.process.thaw()


def start(
    background: BackgroundLoop,
    number: int,
    platform_address: str,
    pools: PoolOptions,
    log_retention_ms: int,
    orders: dict[str, int],
) -> TestHost:
    """Start host `number` without entering it in the platform's list."""
    log_link = TestLink(background, platform_address)
    list_link = TestLink(background, platform_address)
    ip = f"127.0.1.{number}"
    settings: dict[str, Any] = {
        "host": f"host-{number}",
        "failure_domain": failure_domain_of(number),
        "callers_address": f"{ip}:0",
        "operators_address": f"{ip}:0",
        "peers_address": f"{ip}:0",
        "platform": {
            "log_address": log_link.address,
            "hosts_address": list_link.address,
            "log_silence_ms": 1_000,
            "log_retention_ms": log_retention_ms,
            "hosts_poll_ms": 200,
        },
        "pools": pools.settings(),
        "address_keep_ms": 1_000,
        "shutdown_ms": 60_000,
        "peers": {"heartbeat_ms": 100, "silence_ms": 1_000},
        "streams": {
            "heartbeat_ms": 500,
            "upstream_silence_ms": 2_000,
        },
        "orders": orders,
        "seed": number,
    }
    process = start_host(settings)
    return TestHost(number, process, log_link, list_link)
