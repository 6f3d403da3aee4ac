"""Stand-ins for upstreams, each behind a link, and their executions."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import Any

import attrs

from balsamlift.testing import Process, start_stand_in
from scenarios import control
from scenarios.background import BackgroundLoop, wait_until
from scenarios.links import TestLink
from scenarios.presets import MODEL, VERSION

DEFAULT_STEP_MS = 8.0


@attrs.define(eq=False)
class StandIn:
    """A stand-in for an engine or service, reached through a link."""

    name: str
    kind: str  # "engine" or "service"
    pool: str
    failure_domain: str
    process: Process
    link: TestLink
    dead: bool = False
    counts_at_death: Counter[str] = attrs.field(factory=Counter)

    @property
    def entry(self) -> dict[str, str]:
        """Return the entry of this upstream in the platform's list."""
        return {
            "role": "upstream",
            "pool": self.pool,
            "address": self.link.address,
            "failure_domain": self.failure_domain,
        }

    def set_faults(self, **faults: Any) -> None:
        control.set_faults(self.process.address, **faults)

    def executions(self) -> Counter[str]:
        """Return how often this stand-in executed each key."""
        if self.dead:
            return self.counts_at_death
        counts = control.get_counts(self.process.address)
        return Counter(counts["executions"])

    def total(self) -> int:
        return sum(self.executions().values())

    def key_state(self, key: str) -> dict[str, Any]:
        """Return the state of a key as the stand-in reports it."""
        state: dict[str, Any] = control.get(
            self.process.address, f"/v1/keys/{key}"
        )
        return state

    def is_done_with(self, key: str) -> bool:
        """Return whether a key is neither running nor queued here."""
        return self.dead or self.key_state(key)["state"] != "running"

    def kill(self) -> None:
        """Cut the link, keep the final counts, then kill the process.

        With the link cut first, no request arrives after the counts are read.
        """
        self.link.cut()
        self.counts_at_death = self.executions()
        self.dead = True
        self.process.kill()
        self.process.wait()

    def close(self) -> None:
        self.process.close()


@attrs.frozen
class EngineOptions:
    """Options that all engines of a scenario share."""

    deterministic: bool = False
    memory_tokens: int = 65_536
    step_base_ms: float = DEFAULT_STEP_MS
    queue_limit: int = 64
    checks_fence: bool = True
    model_load_ms: int = 500
    fetches_weights: bool = False


def start_engine(
    number: int, options: EngineOptions, platform_address: str
) -> Process:
    return start_stand_in(
        "engine",
        {
            "name": f"engine-{number}",
            "address": f"127.0.2.{number}:0",
            "pool": "drafting",
            "failure_domain": f"domain-{number}",
            "model": MODEL,
            "version": VERSION,
            "seed": number,
            "deterministic": options.deterministic,
            "checks_fence": options.checks_fence,
            "model_load_ms": options.model_load_ms,
            "platform_address": (
                platform_address if options.fetches_weights else ""
            ),
            "load_lag_ms": 200,
            "parameters": {
                "memory_tokens": options.memory_tokens,
                "step_base_ms": options.step_base_ms,
                "queue_limit": options.queue_limit,
            },
        },
    )


def start_service(number: int) -> Process:
    return start_stand_in(
        "service",
        {
            "name": f"service-{number}",
            "address": f"127.0.3.{number}:0",
            "pool": "tracker",
            "failure_domain": f"domain-{number}",
        },
    )


def put_behind_link(
    background: BackgroundLoop, process: Process, kind: str, number: int
) -> StandIn:
    return StandIn(
        name=f"{kind}-{number}",
        kind=kind,
        pool="drafting" if kind == "engine" else "tracker",
        failure_domain=f"domain-{number}",
        process=process,
        link=TestLink(background, process.address),
    )


def wait_keys_done(stand_ins: list[StandIn], keys: list[str]) -> None:
    """Wait until none of the keys is running or queued on any stand-in."""
    for stand_in in stand_ins:
        for key in keys:
            wait_until(
                partial(stand_in.is_done_with, key),
                f"{key} ends at {stand_in.name}",
            )
