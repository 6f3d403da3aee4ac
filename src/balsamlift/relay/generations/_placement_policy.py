"""Parameters for choosing the engine of a generation."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class PlacementPolicy:
    """Hold limits and weights, as fractions of an engine's memory."""

    # Limit for the memory that generations are expected to use by the time
    # they end. All of it may be given out: they do not all end at once.
    fill_limit: float = 1.0
    # Weight of unprocessed prompt tokens relative to memory in use: they
    # delay the first token of every request that follows.
    prefill_weight: float = 1.5
    # Cost of another failure domain: the difference in memory use that
    # outweighs the traffic between failure domains.
    cross_domain_cost: float = 0.05
    # Same for moves off a leaving engine: copies between failure domains take
    # twice as long, and the time left is short.
    cross_domain_copy_cost: float = 1.0
    # Engines sampled at random if the other hosts' counts are outdated. Hosts
    # would all choose the same least loaded engine; choosing the better of a
    # few random ones spreads their work.
    uninformed_sample_size: int = 2


DEFAULT_POLICY = PlacementPolicy()
