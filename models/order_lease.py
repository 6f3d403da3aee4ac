"""Specification of the lease under which one host gives orders.

Two hosts, one engine, a log. A lease record names the offset of the record
that it replaces and is void unless that one is in force; its own offset is
the fencing number. Any step may be put off for any time: that is how a
paused host, a slow log and a delayed order appear here. `tick` is real
time. Offsets are kept as ranks, so that leases may follow one another
without end in a finite space.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from models._lease_state import (
    FIRST,
    HOSTS,
    Attempt,
    Host,
    Lease,
    Order,
    State,
    ranked,
    with_host,
)
from models._specification import specify
from models._verdict import Verdict, describe, search

BROKEN_STATES = 30_000  # a shortest counterexample lies well within
GENERATIONS = 2


@attrs.frozen(kw_only=True)
class Guards:
    """Switch single guards off, to show that each is needed."""

    checking_engine: bool
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
    """Yield every step that may come next."""
    if state.generation < GENERATIONS:
        yield "switch", state._replace(generation=state.generation + 1)
    yield from _tick(state)
    for index in HOSTS:
        yield from _log_steps(state, index, guards)
        yield from _order_steps(state, index, guards)
    for order in state.orders:
        rest = tuple(other for other in state.orders if other != order)
        yield "lose order", state._replace(orders=rest)
        yield "deliver order", _deliver(state, order, rest, guards)
    yield from _routing_steps(state, guards)


def _tick(state: State) -> Iterator[Step]:
    hosts = tuple(_aged(host) for host in state.hosts)
    if hosts != state.hosts:
        yield "tick", state._replace(hosts=hosts)


def _aged(host: Host) -> Host:
    attempt = host.attempt
    if attempt is not None:
        attempt = attempt._replace(left=max(0, attempt.left - 1))
    return host._replace(
        left=max(0, host.left - 1),
        wait=max(0, host.wait - 1),
        read_began=max(0, host.read_began - 1),
        attempt=attempt,
    )


def _log_steps(state: State, index: int, guards: Guards) -> Iterator[Step]:
    host = state.hosts[index]
    name = "AB"[index]
    if not guards.wait_from_after_read and host.read_began < guards.term:
        began = host._replace(read_began=guards.term)
        yield f"{name} begins to read", with_host(state, index, began)
    if _news(state, host):
        read = _read(state, index, guards)
        yield f"{name} reads", with_host(state, index, read)
    if host.attempt is None:
        if _may_append(host, index, guards):
            attempt = Attempt(host.known.offset, guards.term, False)
            begun = host._replace(attempt=attempt)
            yield f"{name} appends", with_host(state, index, begun)
    elif not host.attempt.landed:
        yield f"{name}'s append lands", _land(state, index, guards)
        lost = host._replace(attempt=None)
        yield f"{name}'s append is lost", with_host(state, index, lost)


def _news(state: State, host: Host) -> bool:
    known = (host.known.offset, host.generation)
    return known != (state.lease.offset, state.generation)


def _may_append(host: Host, index: int, guards: Guards) -> bool:
    if host.known.holder != index:
        return host.wait == 0
    stale = host.known.generation != host.generation
    return stale or host.left < guards.term


def _land(state: State, index: int, guards: Guards) -> State:
    host = state.hosts[index]
    attempt = host.attempt
    assert attempt is not None
    valid = attempt.previous == state.lease.offset
    if guards.compare_and_set and not valid:
        return with_host(state, index, host._replace(attempt=None))
    lease = Lease(state.lease.offset + 1, index, state.generation)
    landed = host._replace(attempt=attempt._replace(landed=True))
    return with_host(state._replace(lease=lease), index, landed)


def _read(state: State, index: int, guards: Guards) -> Host:
    host = state.hosts[index]._replace(generation=state.generation)
    if host.known.offset == state.lease.offset:
        return host
    attempt = host.attempt
    landed = attempt is not None and attempt.landed
    host = host._replace(
        known=state.lease, attempt=None if landed else attempt
    )
    if state.lease.holder != index:
        wait = host.read_began
        if guards.wait_from_after_read:
            wait = guards.term
        return host._replace(left=0, wait=wait)
    left = guards.term
    if guards.term_from_before_append:
        left = attempt.left if attempt is not None and landed else 0
    return host._replace(left=left, wait=0)


def _order_steps(state: State, index: int, guards: Guards) -> Iterator[Step]:
    """Check the lease and send.

    A pause between the two is the same as an order that is long under way.
    """
    host = state.hosts[index]
    if not _may_order(state, host, index, guards):
        return
    fence = host.known.offset if guards.checking_engine else 0
    orders = {*state.orders, Order(fence, host.generation)}
    if len(orders) > guards.orders_in_flight:
        return
    other = state.hosts[1 - index]
    yield (
        f"{'AB'[index]} orders",
        state._replace(
            orders=tuple(sorted(orders)),
            two_givers=state.two_givers or other.left > 0,
        ),
    )


def _may_order(state: State, host: Host, index: int, guards: Guards) -> bool:
    if host.known.holder != index:
        return False
    if guards.lease_checked_before_order and host.left == 0:
        return False
    if (
        guards.renewed_after_switch
        and host.known.generation != host.generation
    ):
        return False
    if not guards.read_back:
        return host.generation > state.done
    return state.engine_generation != host.generation


def _deliver(
    state: State, order: Order, rest: tuple[Order, ...], guards: Guards
) -> State:
    state = state._replace(orders=rest)
    checks = guards.checking_engine and guards.fence_checked
    if checks and order.fence < state.engine_fence:
        return state
    older = (
        order.fence < state.engine_fence
        or order.generation < state.engine_generation
    )
    report = state.report
    if not guards.report_trusted_only:
        report = max(report, order.generation)
    fence = max(state.engine_fence, order.fence)
    return state._replace(
        engine_generation=order.generation,
        engine_fence=fence if guards.checking_engine else 0,
        reverted=state.reverted or (guards.checking_engine and older),
        report=report,
        done=0 if guards.read_back else max(state.done, order.generation),
    )


def _routing_steps(state: State, guards: Guards) -> Iterator[Step]:
    right = state.report == state.engine_generation
    if right:
        return
    if guards.report_trusted_only:
        report = state.engine_generation
        yield "routing reads", state._replace(report=report)
    checked = guards.start_frame_checked and guards.report_trusted_only
    if not checked and state.report > 0:
        yield "route", state._replace(misrouted=True)


def one_holder(state: State) -> bool:
    """Tell whether at most one host believes to hold the lease."""
    return sum(host.left > 0 for host in state.hosts) <= 1


def one_giver(state: State) -> bool:
    """Tell whether no order was decided on under another's lease."""
    return not state.two_givers


def never_reverted(state: State) -> bool:
    """Tell whether no older order took effect after a newer one."""
    return not state.reverted


def never_misrouted(state: State) -> bool:
    """Tell whether requests ran only as what the engine reported."""
    return not state.misrouted


def converged(state: State) -> bool:
    """Tell whether the engine stays in the newest wanted state."""
    newest = state.engine_generation == state.generation == GENERATIONS
    return newest and not state.orders


def protocol(name: str, guards: Guards) -> Protocol:
    """Return the specification for the checker."""

    def ranked_steps(state: State) -> Iterator[tuple[str, State]]:
        for label, after in steps(state, guards):
            yield label, ranked(after)

    checks = (one_holder, one_giver, never_reverted, never_misrouted)
    return specify(name, FIRST, ranked_steps, checks, goal=converged)


SOUND = {
    "engine checks, two orders under way": Guards(
        checking_engine=True, orders_in_flight=2
    ),
    "engine checks, term of two ticks": Guards(checking_engine=True, term=2),
    "engine ignores, both": Guards(
        checking_engine=False, term=2, orders_in_flight=2
    ),
}
BROKEN = {
    "no compare-and-set": Guards(checking_engine=False, compare_and_set=False),
    "term from after append": Guards(
        checking_engine=False, term_from_before_append=False
    ),
    "wait from before read": Guards(
        checking_engine=False, wait_from_after_read=False
    ),
    "lease not checked before order": Guards(
        checking_engine=False, lease_checked_before_order=False
    ),
    "fence not checked": Guards(
        checking_engine=True, fence_checked=False, orders_in_flight=2
    ),
    "not renewed after switch": Guards(
        checking_engine=True, renewed_after_switch=False, orders_in_flight=2
    ),
    "not read back": Guards(
        checking_engine=False, read_back=False, orders_in_flight=2
    ),
    "routing trusts orders": Guards(
        checking_engine=False, report_trusted_only=False, orders_in_flight=2
    ),
    "start frame not checked": Guards(
        checking_engine=False, start_frame_checked=False
    ),
}


def sound_verdict(name: str) -> Verdict:
    """Search all states of a specification."""
    return search(protocol(name, SOUND[name]))


def broken_verdict(name: str) -> Verdict:
    """Search a broken variant until a bound on the states."""
    return search(protocol(name, BROKEN[name]), BROKEN_STATES)


def main() -> int:
    """Print every verdict; return 1 when one is not as it must be."""
    right = True
    for verdict in map(sound_verdict, SOUND):
        right = right and verdict.holds
        print(describe(verdict), flush=True)
    for verdict in map(broken_verdict, BROKEN):
        right = right and bool(verdict.violated)
        print(describe(verdict), flush=True)
    return 0 if right else 1


if __name__ == "__main__":
    sys.exit(main())
