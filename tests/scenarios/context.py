"""The state that the steps of one scenario share."""

from __future__ import annotations

import time
from concurrent.futures import Future
from typing import Any

from balsamlift.clock import SystemClock
from balsamlift.presets._operator import OperationResult
from balsamlift.requests import new_homed_key, new_unhomed_key
from scenarios import attempts, callers
from scenarios.attempts import Attempt
from scenarios.background import BackgroundLoop, wait_until
from scenarios.callers import Call, HostLinks
from scenarios.deployment import Deployment, Plan
from scenarios.generation_monitor import GenerationMonitor
from scenarios.load import Load
from scenarios.upstreams import StandIn, wait_keys_done


class ScenarioContext:
    """Hold the deployment, the callers and the outcomes they received."""

    def __init__(self) -> None:
        self.background = BackgroundLoop()
        # Links go on while callers keep their own loop busy.
        self.link_loop = BackgroundLoop()
        self.plan = Plan()
        self.host_links = HostLinks(self.link_loop)
        self.calls: list[Call] = []
        self.attempts: list[Attempt] = []
        self.results: list[OperationResult] = []
        self.exit_codes: list[int] = []
        self.load: Load | None = None
        self.monitor: GenerationMonitor | None = None
        self._deployment: Deployment | None = None
        self._futures: list[Future[Any]] = []
        self._key_prefixes: dict[int, str] = {}

    @property
    def deployment(self) -> Deployment:
        assert self._deployment is not None, "no deployment yet"
        return self._deployment

    def deploy(self, hosts: int, engines: int, services: int) -> None:
        self._deployment = Deployment(self.link_loop, self.plan)
        self._deployment.start(hosts, engines, services)
        self.monitor = GenerationMonitor(self._deployment)

    def start_call(self, kind: str, length: int = 0) -> Call:
        """Start one call through the client library."""
        call = callers.make_call(kind, len(self.calls) + 1, length)
        self.calls.append(call)
        addresses = [h.address for h in self.deployment.usable_hosts]
        coroutine = callers.run_call(call, addresses, self.host_links)
        self._futures.append(self.background.submit(coroutine))
        return call

    def call(self, kind: str) -> Call:
        """Return the latest call of `kind`."""
        return next(c for c in reversed(self.calls) if c.kind == kind)

    def calls_of(self, kind: str) -> list[Call]:
        return [c for c in self.calls if c.kind == kind]

    def wait_answered(
        self, calls: list[Call], timeout_s: float = 60.0
    ) -> None:
        """Wait until every one of `calls` has an outcome."""
        wait_until(
            lambda: all(c.done for c in calls),
            "every call has an outcome",
            timeout_s,
        )

    def upstream_of(self, call: Call) -> StandIn:
        """Wait until an upstream executes a call and return that upstream."""
        found: list[StandIn] = []

        def runs() -> bool:
            found[:] = [
                s
                for s in self.deployment.stand_ins.values()
                if any(s.executions()[key] for key in call.keys)
            ]
            return bool(found)

        wait_until(runs, f"an upstream runs the {call.kind}")
        return found[-1]

    def start_attempt(
        self, kind: str, host: int, key: str | None = None
    ) -> Attempt:
        """Send a request to one host.

        Without `key`, a new key is drawn whose home is that host.
        """
        target = self.deployment.hosts[host]
        if key is None:
            key = new_homed_key(self.key_prefix_of(host))
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
        coroutine = attempts.send(attempt, target.address, body)
        self._futures.append(self.background.submit(coroutine))
        return attempt

    def key_prefix_of(self, host: int) -> str:
        """Return the key prefix of a host, cached from the first query."""
        if host not in self._key_prefixes:
            target = self.deployment.hosts[host]
            self._key_prefixes[host] = target.key_prefix()
        return self._key_prefixes[host]

    def fetch_key_prefixes(self) -> None:
        """Cache the key prefix of every host before one of them fails."""
        for number in self.deployment.hosts:
            self.key_prefix_of(number)

    def new_unhomed_key(self) -> str:
        return new_unhomed_key(SystemClock().now())

    def wait_attempts(self, timeout_s: float = 60.0) -> None:
        wait_until(
            lambda: all(a.ended for a in self.attempts),
            "every attempt has an outcome",
            timeout_s,
        )

    def wait_idle(self) -> None:
        """Wait until no request of this scenario runs on any upstream."""
        keys = [key for call in self.calls for key in call.keys]
        keys += [a.key for a in self.attempts]
        live = [s for s in self.deployment.stand_ins.values() if not s.dead]
        wait_keys_done(live, sorted(set(keys)))

    def close(self) -> None:
        if self.load is not None:
            self.load.stop()
        if self.monitor is not None:
            self.monitor.stop()
        for future in self._futures:
            future.cancel()
        if self._deployment is not None:
            self._deployment.close()
        self.background.close()
        self.link_loop.close()


def pause(delay_s: float) -> None:
    """Sleep in a step that checks a time limit."""
    time.sleep(delay_s)
