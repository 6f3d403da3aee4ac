"""A request for engine memory."""

from __future__ import annotations

import math
from collections.abc import Collection

import attrs

from balsamlift.placement import StreamDemand
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._scope import Scope

Group = tuple[int, str]  # priority and workspace


@attrs.frozen(kw_only=True)
class MemoryRequest:
    """Describe the memory that a generation needs and who asks for it."""

    scope: Scope
    traits: EngineTraits
    tokens: int
    priority: int = 0  # rank of its call; 0 is served first
    workspace: str = ""
    weight: float = 1.0  # of its workspace's share while requests wait
    in_time_until_s: float = math.inf  # monotonic; it is late afterwards
    tried: Collection[str] = ()  # names of engines not to be used
    prompt_tokens: int = 0
    # Shortest target of the streams that its prompt may delay; 0: none.
    first_event_ms: int = 0
    demand: StreamDemand | None = None  # None: engines are equally fast
    request_id: str = ""  # for the log

    @property
    def group(self) -> Group:
        """Return its priority and workspace."""
        return self.priority, self.workspace
