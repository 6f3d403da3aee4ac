"""What the steps of one scenario share."""

from __future__ import annotations

import time
from concurrent.futures import Future
from typing import Any

from balsamlift.clock import SystemClock
from balsamlift.presets._operator import OperationResult
from balsamlift.requests import new_homed_key, new_unhomed_key
from scenarios import attempts, callers
from scenarios.attempts import Attempt
from scenarios.background import Background, wait_until
from scenarios.callers import Call, HostLinks
from scenarios.deployment import Deployment, Plan
from scenarios.load import Load
from scenarios.monitor import Monitor
from scenarios.upstreams import StandIn, wait_settled


class World:
    """Hold the deployment, the callers and what they were told."""

    def __init__(self) -> None:
        self.background = Background()
        self.plan = Plan()
        self.host_links = HostLinks(self.background)
        self.calls: list[Call] = []
        self.attempts: list[Attempt] = []
        self.results: list[OperationResult] = []
        self.exit_codes: list[int] = []
        self.load: Load | None = None
        self.monitor: Monitor | None = None
        self._deployment: Deployment | None = None
        self._futures: list[Future[Any]] = []
        self._prefixes: dict[int, str] = {}

    @property
    def deployment(self) -> Deployment:
        assert self._deployment is not None, "no deployment yet"
        return self._deployment

    def deploy(self, hosts: int, engines: int, services: int) -> None:
        self._deployment = Deployment(self.background, self.plan)
        self._deployment.start(hosts, engines, services)
        self.monitor = Monitor(self._deployment)

    def begin_call(self, kind: str, length: int = 0) -> Call:
        """Begin one call by the client library."""
        call = callers.make_call(kind, len(self.calls) + 1, length)
        self.calls.append(call)
        addresses = [h.address for h in self.deployment.usable_hosts]
        work = callers.run_call(call, addresses, self.host_links)
        self._futures.append(self.background.begin(work))
        return call

    def call(self, kind: str) -> Call:
        """Return the last call of a kind."""
        return next(c for c in reversed(self.calls) if c.kind == kind)

    def calls_of(self, kind: str) -> list[Call]:
        return [c for c in self.calls if c.kind == kind]

    def wait_told(self, calls: list[Call], within_s: float = 60.0) -> None:
        """Wait until each caller was told an outcome."""
        wait_until(
            lambda: all(c.done for c in calls),
            "every caller is told an outcome",
            within_s,
        )

    def upstream_of(self, call: Call) -> StandIn:
        """Return where a call runs, waiting until it runs somewhere."""
        found: list[StandIn] = []

        def runs() -> bool:
            found[:] = [
                s
                for s in self.deployment.stand_ins.values()
                if any(s.executions()[key] for key in call.keys)
            ]
            return bool(found)

        wait_until(runs, f"the {call.kind} runs")
        return found[-1]

    def begin_attempt(
        self, kind: str, host: int, key: str | None = None
    ) -> Attempt:
        """Send a request to one host; draw a key of that host's if none."""
        target = self.deployment.hosts[host]
        if key is None:
            key = new_homed_key(self.prefix_of(host))
        is_first = all(a.key != key for a in self.attempts)
        attempt = Attempt(key, kind)
        self.attempts.append(attempt)
        body = {
            "key": key,
            "workspace": callers.WORKSPACE,
            "kind": kind,
            "payload": {"kind": kind, "amount": 12},
            "first_attempt": is_first,
        }
        work = attempts.send(attempt, target.address, body)
        self._futures.append(self.background.begin(work))
        return attempt

    def prefix_of(self, host: int) -> str:
        """Return the key prefix of a host, as it gave it when first asked."""
        if host not in self._prefixes:
            target = self.deployment.hosts[host]
            self._prefixes[host] = target.key_prefix()
        return self._prefixes[host]

    def keep_prefixes(self) -> None:
        """Ask every host for its prefix, before one of them fails."""
        for number in self.deployment.hosts:
            self.prefix_of(number)

    def new_unhomed_key(self) -> str:
        return new_unhomed_key(SystemClock().now())

    def wait_attempts(self, within_s: float = 60.0) -> None:
        wait_until(
            lambda: all(a.ended for a in self.attempts),
            "every attempt is told an outcome",
            within_s,
        )

    def settle(self) -> None:
        """Wait until nothing of this scenario runs any more."""
        keys = [key for call in self.calls for key in call.keys]
        keys += [a.key for a in self.attempts]
        live = [s for s in self.deployment.stand_ins.values() if not s.dead]
        wait_settled(live, sorted(set(keys)))

    def close(self) -> None:
        if self.load is not None:
            self.load.end()
        if self.monitor is not None:
            self.monitor.stop()
        for future in self._futures:
            future.cancel()
        if self._deployment is not None:
            self._deployment.close()
        self.background.close()


def wait_s(delay_s: float) -> None:
    """Let time pass where a bound in time is what is proved."""
    time.sleep(delay_s)
