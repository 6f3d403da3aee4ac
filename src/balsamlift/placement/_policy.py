"""The numbers of the placement policy that a preset sets."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Policy:
    """Weigh and bound placement and admission."""

    name: str = "balsamlift"  # or "round_robin", "least_load"
    memory_weight: float = 1.0
    gap_weight: float = 1.0
    prefix_weight: float = 0.5
    queue_requests: int = 200
    queue_wait_ms: int = 5_000
    retry_ratio: float = 0.1
