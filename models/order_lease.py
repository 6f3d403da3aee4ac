"""Specification of the lease under which one host sends orders to engines.

The model has two hosts, one engine and a log. A lease record names the
offset of the record that it replaces and is void unless that record is in
force; its own offset is the fencing token. Any step may be delayed for any
time, which models a paused host, a slow log and a delayed order. `tick`
advances real time. Offsets are normalised to ranks, so that leases may
follow one another without end in a finite state space.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from models._lease_state import (
    HOSTS,
    INITIAL_STATE,
    Host,
    Lease,
    Order,
    PendingAppend,
    State,
    normalise_offsets,
    with_host,
)
from models._specification import specify
from models._verdict import Verdict, describe, search

BROKEN_STATES = 30_000  # enough to reach the shortest counterexamples
GENERATIONS = 2


@attrs.frozen(kw_only=True)
class Guards:
    """Safeguards of the protocol; a broken variant disables one of them."""

    engine_supports_fencing: bool
    term: int = 1  # ticks
    orders_in_flight: int = 1
    compare_and_set: bool = True
    term_from_before_append: bool = True
    wait_from_after_read: bool = True
    lease_checked_before_order: bool = True
    fence_checked: bool = True
    renewed_after_switch: bool = True
    read_back: bool = True
    report_trusted_only: bool = True
    start_frame_checked: bool = True


Step = tuple[str, State]


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the state of every possible next step."""
    if state.generation < GENERATIONS:
        yield "switch", state._replace(generation=state.generation + 1)
    yield from _tick(state)
    for index in HOSTS:
        yield from _log_steps(state, index, guards)
        yield from _order_steps(state, index, guards)
    for order in state.orders:
        other_orders = tuple(other for other in state.orders if other != order)
        yield "lose order", state._replace(orders=other_orders)
        yield "deliver order", _deliver(state, order, other_orders, guards)
    yield from _routing_steps(state, guards)


def _tick(state: State) -> Iterator[Step]:
    hosts = tuple(_after_tick(host) for host in state.hosts)
    if hosts != state.hosts:
        yield "tick", state._replace(hosts=hosts)


def _after_tick(host: Host) -> Host:
    pending_append = host.pending_append
    if pending_append is not None:
        pending_append = pending_append._replace(
            lease_ticks_left=max(0, pending_append.lease_ticks_left - 1)
        )
    return host._replace(
        lease_ticks_left=max(0, host.lease_ticks_left - 1),
        takeover_wait_ticks=max(0, host.takeover_wait_ticks - 1),
        read_ticks_left=max(0, host.read_ticks_left - 1),
        pending_append=pending_append,
    )


def _log_steps(state: State, index: int, guards: Guards) -> Iterator[Step]:
    host = state.hosts[index]
    name = "AB"[index]
    if not guards.wait_from_after_read and host.read_ticks_left < guards.term:
        began = host._replace(read_ticks_left=guards.term)
        yield f"{name} begins to read", with_host(state, index, began)
    if _has_unread_records(state, host):
        read = _read_log(state, index, guards)
        yield f"{name} reads", with_host(state, index, read)
    if host.pending_append is None:
        if _may_append(host, index, guards):
            pending_append = PendingAppend(
                host.known_lease.offset, guards.term, False
            )
            begun = host._replace(pending_append=pending_append)
            yield f"{name} appends", with_host(state, index, begun)
    elif not host.pending_append.landed:
        yield f"{name}'s append lands", _land_append(state, index, guards)
        lost = host._replace(pending_append=None)
        yield f"{name}'s append is lost", with_host(state, index, lost)


def _has_unread_records(state: State, host: Host) -> bool:
    known = (host.known_lease.offset, host.generation)
    return known != (state.lease.offset, state.generation)


def _may_append(host: Host, index: int, guards: Guards) -> bool:
    if host.known_lease.holder != index:
        return host.takeover_wait_ticks == 0
    stale = host.known_lease.generation != host.generation
    return stale or host.lease_ticks_left < guards.term


def _land_append(state: State, index: int, guards: Guards) -> State:
    host = state.hosts[index]
    pending_append = host.pending_append
    assert pending_append is not None
    valid = pending_append.previous_offset == state.lease.offset
    if guards.compare_and_set and not valid:
        return with_host(state, index, host._replace(pending_append=None))
    lease = Lease(state.lease.offset + 1, index, state.generation)
    landed = host._replace(pending_append=pending_append._replace(landed=True))
    return with_host(state._replace(lease=lease), index, landed)


def _read_log(state: State, index: int, guards: Guards) -> Host:
    host = state.hosts[index]._replace(generation=state.generation)
    if host.known_lease.offset == state.lease.offset:
        return host
    pending_append = host.pending_append
    landed = pending_append is not None and pending_append.landed
    host = host._replace(
        known_lease=state.lease,
        pending_append=None if landed else pending_append,
    )
    if state.lease.holder != index:
        takeover_wait_ticks = host.read_ticks_left
        if guards.wait_from_after_read:
            takeover_wait_ticks = guards.term
        return host._replace(
            lease_ticks_left=0, takeover_wait_ticks=takeover_wait_ticks
        )
    lease_ticks_left = guards.term
    if guards.term_from_before_append:
        lease_ticks_left = (
            pending_append.lease_ticks_left
            if pending_append is not None and landed
            else 0
        )
    return host._replace(
        lease_ticks_left=lease_ticks_left, takeover_wait_ticks=0
    )


def _order_steps(state: State, index: int, guards: Guards) -> Iterator[Step]:
    """Yield the step that checks the lease and sends an order.

    A pause between the check and the send is equivalent to an order that
    stays in transit for long.
    """
    host = state.hosts[index]
    if not _may_order(state, host, index, guards):
        return
    fence = host.known_lease.offset if guards.engine_supports_fencing else 0
    orders = {*state.orders, Order(fence, host.generation)}
    if len(orders) > guards.orders_in_flight:
        return
    other_host = state.hosts[1 - index]
    yield (
        f"{'AB'[index]} orders",
        state._replace(
            orders=tuple(sorted(orders)),
            ordered_during_other_lease=state.ordered_during_other_lease
            or other_host.lease_ticks_left > 0,
        ),
    )


def _may_order(state: State, host: Host, index: int, guards: Guards) -> bool:
    if host.known_lease.holder != index:
        return False
    if guards.lease_checked_before_order and host.lease_ticks_left == 0:
        return False
    if (
        guards.renewed_after_switch
        and host.known_lease.generation != host.generation
    ):
        return False
    if not guards.read_back:
        return host.generation > state.newest_delivered
    return state.engine_generation != host.generation


def _deliver(
    state: State, order: Order, other_orders: tuple[Order, ...], guards: Guards
) -> State:
    state = state._replace(orders=other_orders)
    checks = guards.engine_supports_fencing and guards.fence_checked
    if checks and order.fence < state.engine_fence:
        return state
    older = (
        order.fence < state.engine_fence
        or order.generation < state.engine_generation
    )
    reported_generation = state.reported_generation
    if not guards.report_trusted_only:
        reported_generation = max(reported_generation, order.generation)
    fence = max(state.engine_fence, order.fence)
    return state._replace(
        engine_generation=order.generation,
        engine_fence=fence if guards.engine_supports_fencing else 0,
        reverted=state.reverted or (guards.engine_supports_fencing and older),
        reported_generation=reported_generation,
        newest_delivered=0
        if guards.read_back
        else max(state.newest_delivered, order.generation),
    )


def _routing_steps(state: State, guards: Guards) -> Iterator[Step]:
    as_expected = state.reported_generation == state.engine_generation
    if as_expected:
        return
    if guards.report_trusted_only:
        reported_generation = state.engine_generation
        yield (
            "routing reads",
            state._replace(reported_generation=reported_generation),
        )
    checked = guards.start_frame_checked and guards.report_trusted_only
    if not checked and state.reported_generation > 0:
        yield "route", state._replace(misrouted=True)


def one_holder(state: State) -> bool:
    """Return whether at most one host believes it holds the lease."""
    return sum(host.lease_ticks_left > 0 for host in state.hosts) <= 1


def one_giver(state: State) -> bool:
    """Return whether no host ordered while another held the lease."""
    return not state.ordered_during_other_lease


def never_reverted(state: State) -> bool:
    """Return whether no older order took effect after a newer one."""
    return not state.reverted


def never_misrouted(state: State) -> bool:
    """Return whether requests ran only in the state the engine reported."""
    return not state.misrouted


def converged(state: State) -> bool:
    """Return whether the engine stays in the newest wanted state."""
    newest = state.engine_generation == state.generation == GENERATIONS
    return newest and not state.orders


def protocol(name: str, guards: Guards) -> Protocol:
    """Return the protocol with these guards for the model checker."""

    def normalised_steps(state: State) -> Iterator[tuple[str, State]]:
        for label, after in steps(state, guards):
            yield label, normalise_offsets(after)

    checks = (one_holder, one_giver, never_reverted, never_misrouted)
    return specify(
        name, INITIAL_STATE, normalised_steps, checks, goal=converged
    )


SOUND = {
    "engine checks, two orders under way": Guards(
        engine_supports_fencing=True, orders_in_flight=2
    ),
    "engine checks, term of two ticks": Guards(
        engine_supports_fencing=True, term=2
    ),
    "engine ignores, both": Guards(
        engine_supports_fencing=False, term=2, orders_in_flight=2
    ),
}
BROKEN = {
    "no compare-and-set": Guards(
        engine_supports_fencing=False, compare_and_set=False
    ),
    "term from after append": Guards(
        engine_supports_fencing=False, term_from_before_append=False
    ),
    "wait from before read": Guards(
        engine_supports_fencing=False, wait_from_after_read=False
    ),
    "lease not checked before order": Guards(
        engine_supports_fencing=False, lease_checked_before_order=False
    ),
    "fence not checked": Guards(
        engine_supports_fencing=True, fence_checked=False, orders_in_flight=2
    ),
    "not renewed after switch": Guards(
        engine_supports_fencing=True,
        renewed_after_switch=False,
        orders_in_flight=2,
    ),
    "not read back": Guards(
        engine_supports_fencing=False, read_back=False, orders_in_flight=2
    ),
    "routing trusts orders": Guards(
        engine_supports_fencing=False,
        report_trusted_only=False,
        orders_in_flight=2,
    ),
    "start frame not checked": Guards(
        engine_supports_fencing=False, start_frame_checked=False
    ),
}


def sound_verdict(name: str) -> Verdict:
    """Search all states of a sound specification."""
    return search(protocol(name, SOUND[name]))


def broken_verdict(name: str) -> Verdict:
    """Search a broken variant, up to BROKEN_STATES states."""
    return search(protocol(name, BROKEN[name]), BROKEN_STATES)


def main() -> int:
    """Print every verdict; return 1 when one is not as expected."""
    as_expected = True
    for verdict in map(sound_verdict, SOUND):
        as_expected = as_expected and verdict.holds
        print(describe(verdict), flush=True)
    for verdict in map(broken_verdict, BROKEN):
        as_expected = as_expected and bool(verdict.violated)
        print(describe(verdict), flush=True)
    return 0 if as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
