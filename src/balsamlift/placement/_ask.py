"""What a request asks of placement, and the place it is given."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Ask:
    """Describe a request to be placed."""

    key: str
    workspace: str
    kind: str
    pool: str
    weight: float = attrs.field(
        default=1.0, validator=attrs.validators.gt(0.0)
    )  # of its workspace
    priority: int = 1  # 0 is served first
    prompt_tokens: int = 0
    prefix: str = ""  # name of a shared prompt prefix
    max_tokens: int = 4_096
    quantile: float = 0.9  # of the memory forecast, for admission
    deadline_ms: float = 120_000.0  # from arrival


@attrs.define(eq=False)
class Ticket:
    """Hold the place of one admitted request."""

    ask: Ask
    arrived_ms: float
    cost: float  # expected tokens, for the shares of the workspaces
    upstream: str = ""  # where its place is reserved; "" when nowhere
    tokens: int = 0  # produced so far
    started: bool = False
