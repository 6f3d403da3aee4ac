"""The states of the specification of the order lease."""

from __future__ import annotations

from typing import NamedTuple

NOBODY = -1
HOSTS = (0, 1)


# Named tuples, not attrs classes: the search hashes millions of them.
class Lease(NamedTuple):
    """The lease record in force, as folded from the log."""

    offset: int
    holder: int
    generation: int  # in force at the record's own offset


class Attempt(NamedTuple):
    """An append of a lease record that was begun."""

    previous: int
    left: int  # ticks of the term, counted from before the append
    landed: bool


class Order(NamedTuple):
    """A wanted end state on its way to the engine."""

    fence: int
    generation: int


class Host(NamedTuple):
    """What one host knows."""

    known: Lease
    generation: int
    left: int  # ticks for which it believes to hold the lease
    wait: int  # ticks until it may replace another's lease
    read_began: int  # ticks left, counted from before the read
    attempt: Attempt | None


class State(NamedTuple):
    """The whole system."""

    lease: Lease
    generation: int
    hosts: tuple[Host, ...]
    orders: tuple[Order, ...]
    engine_generation: int
    engine_fence: int
    report: int  # the engine's state as routing knows it
    done: int  # newest generation whose order the engine accepted
    reverted: bool
    two_givers: bool
    misrouted: bool


NO_LEASE = Lease(0, NOBODY, 1)
FIRST_HOST = Host(NO_LEASE, 1, 0, 0, 0, None)
FIRST = State(
    lease=NO_LEASE,
    generation=1,
    hosts=(FIRST_HOST,) * len(HOSTS),
    orders=(),
    engine_generation=0,
    engine_fence=0,
    report=0,
    done=0,
    reverted=False,
    two_givers=False,
    misrouted=False,
)


def with_host(state: State, index: int, host: Host) -> State:
    """Return the state with one host replaced."""
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=tuple(hosts))


def ranked(state: State) -> State:
    """Replace each offset by its rank among those that still matter."""
    found = {state.lease.offset, state.engine_fence}
    found.update(order.fence for order in state.orders)
    for host in state.hosts:
        found.add(host.known.offset)
        if host.attempt is not None:
            found.add(host.attempt.previous)
    found.add(0)
    ordered = sorted(found)
    if ordered[-1] == len(ordered) - 1:
        return state
    rank = {offset: number for number, offset in enumerate(ordered)}
    return state._replace(
        lease=_ranked_lease(state.lease, rank),
        hosts=tuple(_ranked_host(host, rank) for host in state.hosts),
        orders=tuple(_ranked_order(order, rank) for order in state.orders),
        engine_fence=rank[state.engine_fence],
    )


def _ranked_lease(lease: Lease, rank: dict[int, int]) -> Lease:
    return lease._replace(offset=rank[lease.offset])


def _ranked_order(order: Order, rank: dict[int, int]) -> Order:
    return order._replace(fence=rank[order.fence])


def _ranked_host(host: Host, rank: dict[int, int]) -> Host:
    attempt = host.attempt
    if attempt is not None:
        attempt = attempt._replace(previous=rank[attempt.previous])
    known = _ranked_lease(host.known, rank)
    return host._replace(known=known, attempt=attempt)
