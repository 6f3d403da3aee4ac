"""The call of one generation and its memory requirements."""

from __future__ import annotations

import attrs

from balsamlift.placement import StreamDemand
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._request import Call
from balsamlift.relay._scope import Scope
from balsamlift.relay.generations._events import NO_EVENT_ID
from balsamlift.relay.generations._token_estimate import TokenEstimate


@attrs.frozen
class Job:
    """A call for a generation, with its token estimate and engine traits."""

    call: Call
    estimate: TokenEstimate
    traits: EngineTraits  # of the engines of its service
    last_event: int = NO_EVENT_ID  # that the caller has already
    # Monotonic time until which it waits for memory; None: its target.
    wait_until_s: float | None = None

    @property
    def request_id(self) -> str:
        """Return the id by which engines know the generation."""
        return self.call.request_id

    @property
    def scope(self) -> Scope:
        """Return the pool and the regions in which it may run."""
        return self.call.scope

    @property
    def tokens(self) -> int:
        """Return the memory expected to be in use when it ends."""
        return self.estimate.tokens

    @property
    def demand(self) -> StreamDemand | None:
        """Return what it needs of an engine's pace.

        None if its route bears pauses of any length.
        """
        route = self.call.route
        if not route.max_gap_ms:
            return None
        return StreamDemand(
            memory_share=self.tokens / self.traits.memory_tokens,
            events=self.estimate.output_tokens,
            target_ms=route.target_ms,
            max_gap_ms=route.max_gap_ms,
            deadline_ms=self.call.timeout_at_s * 1_000,
        )
