"""Inject random faults from a fixed seed and heal each one later."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from scenarios.deployment import Deployment
from scenarios.hosts import TestHost
from scenarios.upstreams import StandIn

Heal = Callable[[], None]  # ends a fault

MAX_FAULTS = 4  # active at the same time
SERVICE_WORK_MS = 80  # per request, so that faults hit running requests
SLOW_SERVICE_WORK_MS = 600


class FaultInjector:
    """Inject or heal one fault with each call of `step`."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.injected: Counter[str] = Counter()
        self._deployment = deployment
        self._random = random.Random(seed)
        self._heals: list[tuple[str, Heal]] = []
        self._faults: dict[str, Callable[[], tuple[str, Heal] | None]] = {
            "host killed": self._kill_host,
            "host frozen": self._freeze_host,
            "host shut down": self._shut_host_down,
            "host cut from the log": self._cut_from_log,
            "upstream link cut": self._cut_upstream,
            "upstream link stalled": self._stall_upstream,
            "upstream connections silent": self._silence_upstream,
            "service answers lost": self._lose_answers,
            "services slow": self._slow_services,
            "log down": self._take_log_down,
            "log answers lost": self._lose_log_answers,
        }

    def prepare(self) -> None:
        """Slow the services down before the first fault.

        Requests must still be running when a fault occurs.
        """
        for service in self._deployment.services:
            service.set_faults(slow_ms=SERVICE_WORK_MS)

    def step(self) -> None:
        """Inject one fault, or heal the oldest active one.

        The oldest is healed when `MAX_FAULTS` are active, and otherwise
        with a probability of 0.4.
        """
        full = len(self._heals) >= MAX_FAULTS
        if full or (self._heals and self._random.random() < 0.4):
            self._heals.pop(0)[1]()
            return
        name = self._random.choice(sorted(self._faults))
        fault = self._faults[name]()
        if fault is not None:
            self.injected[name] += 1
            self._heals.append(fault)

    def heal_all(self) -> None:
        while self._heals:
            self._heals.pop(0)[1]()

    def _pick_healthy_host(self) -> TestHost | None:
        """Return a healthy host, or None unless two others stay healthy."""
        faulty = {name for name, _ in self._heals}
        hosts = self._deployment.hosts.values()
        healthy = [h for h in hosts if h.usable and h.name not in faulty]
        if len(healthy) <= 2:
            return None
        return self._random.choice(healthy)

    def _pick_healthy_upstream(self) -> StandIn | None:
        faulty = {name for name, _ in self._heals}
        stand_ins = self._deployment.stand_ins.values()
        healthy = [s for s in stand_ins if s.name not in faulty]
        return self._random.choice(healthy) if healthy else None

    def _kill_host(self) -> tuple[str, Heal] | None:
        host = self._pick_healthy_host()
        if host is None:
            return None
        host.kill()
        return host.name, lambda: self._restart(host)

    def _freeze_host(self) -> tuple[str, Heal] | None:
        host = self._pick_healthy_host()
        if host is None:
            return None
        host.freeze()
        return host.name, host.thaw

    def _shut_host_down(self) -> tuple[str, Heal] | None:
        host = self._pick_healthy_host()
        if host is None:
            return None
        host.process.terminate()
        host.leaving = True
        return host.name, lambda: self._restart_after_shutdown(host)

    def _restart_after_shutdown(self, host: TestHost) -> None:
        host.process.wait()
        host.dead = True
        self._restart(host)

    def _restart(self, host: TestHost) -> None:
        self._deployment.former_hosts.append(host)
        self._deployment.add_host(host.number)

    def _cut_from_log(self) -> tuple[str, Heal] | None:
        host = self._pick_healthy_host()
        if host is None:
            return None
        host.log_link.cut()
        return host.name, host.log_link.restore

    def _cut_upstream(self) -> tuple[str, Heal] | None:
        upstream = self._pick_healthy_upstream()
        if upstream is None:
            return None
        upstream.link.cut()
        return upstream.name, upstream.link.restore

    def _stall_upstream(self) -> tuple[str, Heal] | None:
        upstream = self._pick_healthy_upstream()
        if upstream is None:
            return None
        direction = self._random.choice(["stall_forward", "stall_backward"])
        upstream.link.set_faults(**{direction: True})
        return upstream.name, upstream.link.restore

    def _silence_upstream(self) -> tuple[str, Heal] | None:
        upstream = self._pick_healthy_upstream()
        if upstream is None:
            return None
        upstream.link.silence()
        return "connections", lambda: None

    def _lose_answers(self) -> tuple[str, Heal] | None:
        service = self._random.choice(self._deployment.services)
        service.set_faults(lose_answers="silent")
        return "answers", lambda: service.set_faults(lose_answers="no")

    def _slow_services(self) -> tuple[str, Heal] | None:
        service = self._random.choice(self._deployment.services)
        service.set_faults(slow_ms=SLOW_SERVICE_WORK_MS)
        return "slow", lambda: service.set_faults(slow_ms=SERVICE_WORK_MS)

    def _take_log_down(self) -> tuple[str, Heal] | None:
        platform = self._deployment
        platform.set_platform(down=True)
        return "log", lambda: platform.set_platform(down=False)

    def _lose_log_answers(self) -> tuple[str, Heal] | None:
        platform = self._deployment
        platform.set_platform(lose_answers="silent")
        return "log answers", lambda: platform.set_platform(lose_answers="no")
