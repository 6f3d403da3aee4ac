"""State of the order lease specification.

Offsets are normalised to their ranks, so that leases may follow one
another without end in a finite state space.
"""

from __future__ import annotations

from typing import NamedTuple

NO_HOLDER = -1
HOSTS = (0, 1)


# Named tuples instead of attrs classes: the search hashes millions of them.
class Lease(NamedTuple):
    """Lease record in force, as folded from the log."""

    offset: int
    holder: int
    generation: int  # preset generation in force at the record's offset


class PendingAppend(NamedTuple):
    """Append of a lease record that has not been read back yet."""

    previous_offset: int
    lease_ticks_left: int  # of the term that starts before the append
    landed: bool  # the record is on the log


class Order(NamedTuple):
    """Order in transit to the engine; it names a wanted end state."""

    fence: int
    generation: int


class Host(NamedTuple):
    """Local knowledge of one host."""

    known_lease: Lease
    generation: int
    lease_ticks_left: int  # for which it believes it holds the lease
    takeover_wait_ticks: int  # until it may replace another's lease
    read_ticks_left: int  # of the term that starts before the read
    pending_append: PendingAppend | None


class State(NamedTuple):
    """State of the log, the hosts, the engine and routing."""

    lease: Lease
    generation: int
    hosts: tuple[Host, ...]
    orders: tuple[Order, ...]
    engine_generation: int
    engine_fence: int
    reported_generation: int  # the engine's generation as routing knows it
    newest_delivered: int  # newest generation that the engine accepted
    reverted: bool
    ordered_during_other_lease: bool
    misrouted: bool


NO_LEASE = Lease(0, NO_HOLDER, 1)
INITIAL_HOST = Host(NO_LEASE, 1, 0, 0, 0, None)
INITIAL_STATE = State(
    lease=NO_LEASE,
    generation=1,
    hosts=(INITIAL_HOST,) * len(HOSTS),
    orders=(),
    engine_generation=0,
    engine_fence=0,
    reported_generation=0,
    newest_delivered=0,
    reverted=False,
    ordered_during_other_lease=False,
    misrouted=False,
)


def with_host(state: State, index: int, host: Host) -> State:
    """Return a copy of the state with one host replaced."""
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=tuple(hosts))


def normalise_offsets(state: State) -> State:
    """Replace each offset by its rank among the offsets still in use."""
    offsets = {state.lease.offset, state.engine_fence}
    offsets.update(order.fence for order in state.orders)
    for host in state.hosts:
        offsets.add(host.known_lease.offset)
        if host.pending_append is not None:
            offsets.add(host.pending_append.previous_offset)
    offsets.add(0)
    ordered = sorted(offsets)
    if ordered[-1] == len(ordered) - 1:
        return state
    rank = {offset: number for number, offset in enumerate(ordered)}
    return state._replace(
        lease=_normalise_lease(state.lease, rank),
        hosts=tuple(_normalise_host(host, rank) for host in state.hosts),
        orders=tuple(_normalise_order(order, rank) for order in state.orders),
        engine_fence=rank[state.engine_fence],
    )


def _normalise_lease(lease: Lease, rank: dict[int, int]) -> Lease:
    return lease._replace(offset=rank[lease.offset])


def _normalise_order(order: Order, rank: dict[int, int]) -> Order:
    return order._replace(fence=rank[order.fence])


def _normalise_host(host: Host, rank: dict[int, int]) -> Host:
    pending_append = host.pending_append
    if pending_append is not None:
        pending_append = pending_append._replace(
            previous_offset=rank[pending_append.previous_offset]
        )
    known_lease = _normalise_lease(host.known_lease, rank)
    return host._replace(
        known_lease=known_lease, pending_append=pending_append
    )
