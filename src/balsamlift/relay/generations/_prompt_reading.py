"""How fast engines read prompts, measured by all hosts together."""

from __future__ import annotations

from collections.abc import Callable

from balsamlift.placement import Reading, max_unread_tokens, may_read
from balsamlift.relay._balance import Balancer
from balsamlift.relay._count_keys import prefill_key
from balsamlift.relay.generations._memory_request import MemoryRequest


def read_tokens_key(pool: str) -> str:
    """Return the key that counts prompt tokens which were read."""
    return f"{pool}/read_tokens"


def read_time_key(pool: str) -> str:
    """Return the key of the time that this took, in milliseconds."""
    return f"{pool}/read_ms"


class PromptReading:
    """Measure how fast engines read prompts, and limit what they are given."""

    def __init__(self, balancer: Balancer) -> None:
        """Share measures with the other hosts through `balancer`."""
        self._balancer = balancer
        self._own: dict[str, Reading] = {}  # by pool

    def unread_tokens(self, upstream: str) -> int:
        """Return the prompt tokens that an engine has not read yet."""
        return self._balancer.load(prefill_key(upstream))

    def record(self, pool: str, tokens: int, took_ms: float) -> None:
        """Record that an engine of the pool has read so many tokens."""
        own = self._own.get(pool, Reading()).add(tokens, round(took_ms))
        self._own[pool] = own
        self._balancer.share_value(read_tokens_key(pool), own.tokens)
        self._balancer.share_value(read_time_key(pool), own.took_ms)

    def limit(self, request: MemoryRequest) -> Callable[[str], bool]:
        """Return which engines may be given the prompt of a request."""
        pool = request.scope.pool
        load = self._balancer.load
        reading = Reading(
            max(load(read_tokens_key(pool)), 0),
            max(load(read_time_key(pool)), 0),
        )
        max_tokens = max_unread_tokens(reading, request.first_event_ms)

        def allows(upstream: str) -> bool:
            unread_tokens = self.unread_tokens(upstream)
            return may_read(unread_tokens, request.prompt_tokens, max_tokens)

        return allows
