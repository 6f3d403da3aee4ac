"""The view of another host that is given to other parts of the program."""

from __future__ import annotations

import attrs

from balsamlift.peers._messages import Member
from balsamlift.peers._peer_statuses import PeerStatus


@attrs.frozen(kw_only=True)
class Peer:
    """Describe one other host as this host knows it now."""

    host: str
    incarnation: str
    operators_address: str
    callers_address: str
    failure_domain: str
    leaving: bool
    key_prefix: str = ""  # of the keys that it is the home of now
    taken_over: tuple[str, ...] = ()  # homes whose keys were handed to it
    offset: int = 0  # of its configuration; 0 until heard from directly
    caught_up: bool = False
    forwarding_address: str = ""  # empty: takes no forwarded requests
    unreached_pools: frozenset[str] = frozenset()
    last_heard_s: float | None = None  # monotonic; None: not heard from


def describe(member: Member, status: PeerStatus | None) -> Peer:
    """Return the view of a membership entry and the peer's last status."""
    return Peer(
        host=member.host,
        incarnation=member.incarnation,
        operators_address=member.operators_address,
        callers_address=member.callers_address,
        failure_domain=member.failure_domain,
        leaving=member.state == "leaving",
        key_prefix=member.key_prefix,
        taken_over=tuple(member.taken_over),
        forwarding_address=member.forwarding_address,
        unreached_pools=frozenset(member.unreached_pools),
        offset=status.offset if status else 0,
        caught_up=status.caught_up if status else False,
        last_heard_s=status.received_s if status else None,
    )
