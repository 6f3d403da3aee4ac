"""Components of the relay that all generations use."""

from __future__ import annotations

import random

import attrs

from balsamlift.metrics import Metrics
from balsamlift.peers import Permits, Upstreams
from balsamlift.relay._balance import Balancer
from balsamlift.relay._exchange import Exchange
from balsamlift.relay._header_names import HeaderNames
from balsamlift.relay.crashes import CrashGuard
from balsamlift.relay.forwarding import Forwarder
from balsamlift.relay.generations._engine_paces import EnginePaces
from balsamlift.relay.generations._engines import EngineClient
from balsamlift.relay.generations._memory_allocator import MemoryAllocator
from balsamlift.relay.shutdown import CallDurations, Shutdown
from balsamlift.relay.statements import RetryAfterTracker


@attrs.frozen(kw_only=True)
class GenerationContext:
    """The components of the relay that generations share."""

    exchange: Exchange
    balancer: Balancer
    allocator: MemoryAllocator
    engines: EngineClient
    paces: EnginePaces
    names: HeaderNames
    metrics: Metrics
    upstreams: Upstreams
    rng: random.Random
    crash_guard: CrashGuard
    permits: Permits
    retry_after: RetryAfterTracker
    forwarder: Forwarder
    shutdown: Shutdown
    durations: CallDurations
