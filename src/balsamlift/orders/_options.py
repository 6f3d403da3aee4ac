"""The numbers by which orders are given."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class OrderOptions:
    """Bound the lease, the orders and the loads they cause."""

    term_ms: int = 10_000  # of the lease
    renew_ms: int = 4_000  # with less than this left, the holder renews
    look_ms: int = 200  # between two looks at the lease
    spread_ms: int = 100  # of the tries for a lapsed lease, per live host
    send_ms: int = 2_000  # an order waits no longer for its answer
    margin_ms: int = 500  # of the lease, beyond `send_ms`
    sweep_ms: int = 1_000  # between two sweeps over the engines of a pool
    read_ms: int = 100  # between reading two engines
    poll_ms: int = 200  # while an engine loads
    repeat_ms: int = 3_000  # an order without effect is given again
    load_ms: int = 120_000  # an engine is waited for no longer
    loads_at_once: int = 1  # per pool, and never all of its engines
