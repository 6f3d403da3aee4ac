"""The engines and hosts of one run, with their faults."""

from __future__ import annotations

import attrs

from balsamlift.placement import Scheduler, Ticket
from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._engine_types import Load
from balsamlift.testing._experiment_measure import Request

DOMAINS = 3


@attrs.define(eq=False)
class EngineRun:
    """Keep one engine model and its faults."""

    index: int
    model: EngineModel
    requests: dict[str, Request] = attrs.field(factory=dict)
    stepping: bool = False
    slowness: float = 1.0
    leaving: bool = False
    dead: bool = False
    said: list[tuple[float, Load]] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """Return its name."""
        return f"engine-{self.index}"

    @property
    def domain(self) -> int:
        """Return its failure domain."""
        return self.index % DOMAINS


@attrs.define(eq=False)
class HostRun:
    """Keep one host's policy state."""

    index: int
    scheduler: Scheduler
    dead: bool = False
    told: dict[str, int] = attrs.field(factory=dict)  # to its peers
    tickets: dict[Ticket, Request] = attrs.field(factory=dict)
    by_request: dict[str, Ticket] = attrs.field(factory=dict)

    @property
    def domain(self) -> int:
        """Return its failure domain."""
        return self.index % DOMAINS
