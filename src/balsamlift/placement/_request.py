"""A request for placement, and the ticket of an admitted request."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """Describe the demand and the limits of a request to be placed."""

    key: str
    workspace: str
    kind: str
    pool: str
    weight: float = attrs.field(
        default=1.0, validator=attrs.validators.gt(0.0)
    )  # scheduling weight of its workspace
    priority: int = 1  # 0 is served first
    prompt_tokens: int = 0
    prefix: str = ""  # name of a shared prompt prefix
    max_tokens: int = 4_096
    quantile: float = 0.9  # of the memory forecast used for admission
    deadline_ms: float = 120_000.0  # from arrival


@attrs.define(eq=False)
class Ticket:
    """Track a queued or placed request and its reserved upstream."""

    request: PlacementRequest
    arrived_ms: float
    cost: float  # expected tokens; charged to its workspace
    upstream: str = ""  # that holds its reservation; "" if none
    tokens: int = 0  # generated so far
    started: bool = False

    @property
    def workspace(self) -> str:
        """Return the workspace that it is charged to."""
        return self.request.workspace

    @property
    def weight(self) -> float:
        """Return the scheduling weight of its workspace."""
        return self.request.weight
