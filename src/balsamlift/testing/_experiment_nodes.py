"""Simulated engines and hosts of one run, with their faults."""

from __future__ import annotations

import attrs

from balsamlift.placement import Scheduler, Ticket
from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._engine_types import Load
from balsamlift.testing._experiment_measure import Request

DOMAINS = 3


@attrs.define(eq=False)
class SimulatedEngine:
    """Hold one engine model, its requests, reports and faults."""

    index: int
    model: EngineModel
    requests: dict[str, Request] = attrs.field(factory=dict)
    is_stepping: bool = False
    slow_factor: float = 1.0
    leaving: bool = False
    dead: bool = False
    reports: list[tuple[float, Load]] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """Return the name under which schedulers know the engine."""
        return f"engine-{self.index}"

    @property
    def domain(self) -> int:
        """Return its failure domain."""
        return self.index % DOMAINS


@attrs.define(eq=False)
class SimulatedHost:
    """Hold the scheduler of one host and the requests that it tracks."""

    index: int
    scheduler: Scheduler
    dead: bool = False
    # Expected tokens per engine, as last shared with the peers.
    shared_tokens: dict[str, int] = attrs.field(factory=dict)
    tickets: dict[Ticket, Request] = attrs.field(factory=dict)
    by_request: dict[str, Ticket] = attrs.field(factory=dict)

    @property
    def domain(self) -> int:
        """Return its failure domain."""
        return self.index % DOMAINS
