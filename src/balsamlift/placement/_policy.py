"""The parameters of the placement policy that a preset sets."""

from __future__ import annotations

import attrs

_POSITIVE = attrs.validators.gt(0.0)
_NOT_NEGATIVE = attrs.validators.ge(0.0)
_SHARE = [attrs.validators.ge(0.0), attrs.validators.le(1.0)]
_NAMES = ("balsamlift", "round_robin", "least_load")


@attrs.frozen(kw_only=True)
class Policy:
    """Hold the weights and limits of placement and admission."""

    name: str = attrs.field(
        default="balsamlift", validator=attrs.validators.in_(_NAMES)
    )
    # Weights of the score that compares two engines; 0 disables a signal.
    memory_weight: float = attrs.field(default=1.0, validator=_NOT_NEGATIVE)
    gap_weight: float = attrs.field(default=1.0, validator=_NOT_NEGATIVE)
    prefix_weight: float = attrs.field(default=0.5, validator=_NOT_NEGATIVE)
    # Limits on the queue of one host.
    queue_requests: int = attrs.field(
        default=200, validator=attrs.validators.ge(0)
    )
    queue_wait_ms: int = attrs.field(
        default=20_000, validator=attrs.validators.ge(0)
    )
    # Retries allowed per request admitted.
    retry_ratio: float = attrs.field(default=0.1, validator=_SHARE)
    # The share of an engine's memory to fill, and the share of that which
    # is reserved for priority 0.
    memory_share: float = attrs.field(default=0.98, validator=_SHARE)
    reserve_share: float = attrs.field(default=0.05, validator=_SHARE)
    # The share of the engines reserved for short requests, in turns of
    # `short_turn_ms`, so that long prefills do not delay them; 0 for none.
    short_share: float = attrs.field(default=0.2, validator=_SHARE)
    short_turn_ms: float = attrs.field(
        default=6_000.0, validator=attrs.validators.ge(2_000.0)
    )
    # Gap between tokens above which the concurrency limit is cut.
    gap_target_ms: float = attrs.field(default=60.0, validator=_POSITIVE)
    # An engine this many times slower than the median is ejected, first for
    # `eject_ms`; its capacity is restored over `return_ms`.
    eject_ratio: float = attrs.field(
        default=3.0, validator=attrs.validators.gt(1.0)
    )
    eject_ms: float = attrs.field(default=2_000.0, validator=_POSITIVE)
    return_ms: float = attrs.field(default=5_000.0, validator=_POSITIVE)
    # Age of what a host knows about the load of its peers and the engines.
    picture_ms: float = attrs.field(default=1_000.0, validator=_POSITIVE)
