"""How many requests of which kind the callers of a run send."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class RouteTimes:
    """The times of the route of one kind of request."""

    timeout_ms: int = 3_000
    target_ms: int = 1_000


@attrs.frozen(kw_only=True)
class Load:
    """The load that callers put on the hosts, and what it runs on."""

    services: Mapping[str, int]  # upstreams of each
    callers_per_host: float
    pause_s: float  # the longest between two requests of a caller
    shares: Mapping[str, float]  # by kind of request; none: 0
    times: Mapping[str, RouteTimes]  # by kind of request
    extra_retries: int  # of a service in `BUDGET_WINDOW_S`
    grace_s: float = 3.0
    stream_callers_per_host: float = 0.0  # that send nothing else


KINDS = ("idempotent", "non_idempotent", "stream", "resumable")

DENSE = Load(
    services={"plain": 3, "model": 2},
    callers_per_host=2.5,
    pause_s=0.1,
    shares=dict.fromkeys(KINDS, 1.0),
    times=dict.fromkeys(KINDS, RouteTimes()),
    extra_retries=50,
)

# Calls of up to 7 s and streams of up to 12 s, at hosts that have 8 s to shut
# down.
EXITS = Load(
    services={"plain": 3, "model": 2},
    callers_per_host=4.0,
    pause_s=0.1,
    shares={"idempotent": 2.0, "non_idempotent": 3.0, "stream": 1.0},
    times=dict.fromkeys(KINDS, RouteTimes(timeout_ms=12_000)),
    extra_retries=50,
    grace_s=8.0,
    stream_callers_per_host=12.0,
)

# Enough engines for some to be away at any time.
CRASHES = Load(
    services={"plain": 2, "model": 8},
    callers_per_host=4.0,
    pause_s=0.3,
    shares={"idempotent": 1.0, "non_idempotent": 1.0, "stream": 4.0},
    times=dict.fromkeys(KINDS, RouteTimes()),
    extra_retries=100,
)

# 50 requests a second of 61 callers at nine hosts: the size and the rates of a
# deployment in service.
SHOP = Load(
    services={"plain": 3, "model": 9},
    callers_per_host=6.8,
    pause_s=2.3,
    shares={"idempotent": 11.8, "non_idempotent": 29.6, "stream": 8.3},
    times={
        "idempotent": RouteTimes(timeout_ms=1_200, target_ms=150),
        "non_idempotent": RouteTimes(timeout_ms=1_200, target_ms=150),
        "stream": RouteTimes(timeout_ms=6_000, target_ms=1_500),
    },
    extra_retries=58,
    grace_s=8.0,
)
