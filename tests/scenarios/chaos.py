"""Random faults from a fixed seed, each healed after a while."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from scenarios.deployment import Deployment
from scenarios.hosts import TestHost
from scenarios.upstreams import StandIn

Heal = Callable[[], None]

MOST_FAULTS = 4  # in force together
WORK_MS = 80  # of a service, so that faults meet work in progress
SLOW_WORK_MS = 600


class Chaos:
    """Cause and heal faults, one at a call of `step`."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.caused: Counter[str] = Counter()
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
            "log down": self._log_down,
            "log answers lost": self._log_loses,
        }

    def begin(self) -> None:
        """Let work take a while, before the first fault."""
        for service in self._deployment.services:
            service.set_faults(slow_ms=WORK_MS)

    def step(self) -> None:
        """Cause one fault, or heal the oldest when there are enough."""
        full = len(self._heals) >= MOST_FAULTS
        if full or (self._heals and self._random.random() < 0.4):
            self._heals.pop(0)[1]()
            return
        name = self._random.choice(sorted(self._faults))
        healing = self._faults[name]()
        if healing is not None:
            self.caused[name] += 1
            self._heals.append(healing)

    def heal_all(self) -> None:
        while self._heals:
            self._heals.pop(0)[1]()

    def _spare_host(self) -> TestHost | None:
        """Return a host that may fail: two others always serve."""
        busy = {what for what, _ in self._heals}
        hosts = self._deployment.hosts.values()
        whole = [h for h in hosts if h.usable and h.name not in busy]
        if len(whole) <= 2:
            return None
        return self._random.choice(whole)

    def _spare_upstream(self) -> StandIn | None:
        busy = {what for what, _ in self._heals}
        stand_ins = self._deployment.stand_ins.values()
        whole = [s for s in stand_ins if s.name not in busy]
        return self._random.choice(whole) if whole else None

    def _kill_host(self) -> tuple[str, Heal] | None:
        host = self._spare_host()
        if host is None:
            return None
        host.kill()
        return host.name, lambda: self._start_again(host)

    def _freeze_host(self) -> tuple[str, Heal] | None:
        host = self._spare_host()
        if host is None:
            return None
        host.freeze()
        return host.name, host.thaw

    def _shut_host_down(self) -> tuple[str, Heal] | None:
        host = self._spare_host()
        if host is None:
            return None
        host.process.terminate()
        host.leaving = True
        return host.name, lambda: self._after_shutdown(host)

    def _after_shutdown(self, host: TestHost) -> None:
        host.process.wait()
        host.dead = True
        self._start_again(host)

    def _start_again(self, host: TestHost) -> None:
        self._deployment.past_hosts.append(host)
        self._deployment.add_host(host.number)

    def _cut_from_log(self) -> tuple[str, Heal] | None:
        host = self._spare_host()
        if host is None:
            return None
        host.log_link.cut()
        return host.name, host.log_link.restore

    def _cut_upstream(self) -> tuple[str, Heal] | None:
        upstream = self._spare_upstream()
        if upstream is None:
            return None
        upstream.link.cut()
        return upstream.name, upstream.link.restore

    def _stall_upstream(self) -> tuple[str, Heal] | None:
        upstream = self._spare_upstream()
        if upstream is None:
            return None
        way = self._random.choice(["stall_forward", "stall_backward"])
        upstream.link.set(**{way: True})
        return upstream.name, upstream.link.restore

    def _silence_upstream(self) -> tuple[str, Heal] | None:
        upstream = self._spare_upstream()
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
        service.set_faults(slow_ms=SLOW_WORK_MS)
        return "slow", lambda: service.set_faults(slow_ms=WORK_MS)

    def _log_down(self) -> tuple[str, Heal] | None:
        platform = self._deployment
        platform.set_platform(down=True)
        return "log", lambda: platform.set_platform(down=False)

    def _log_loses(self) -> tuple[str, Heal] | None:
        platform = self._deployment
        platform.set_platform(lose_answers="silent")
        return "log answers", lambda: platform.set_platform(lose_answers="no")
