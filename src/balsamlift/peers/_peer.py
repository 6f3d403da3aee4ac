"""A peer as other parts see it."""

from __future__ import annotations

import attrs

from balsamlift.peers._heard import Heard
from balsamlift.peers._messages import Member


@attrs.frozen(kw_only=True)
class Peer:
    """Describe one other host as it is known now."""

    host: str
    incarnation: str
    operators_address: str
    callers_address: str
    failure_domain: str
    leaving: bool
    key_prefix: str = ""  # of the keys that it is the home of now
    taken_over: tuple[str, ...] = ()  # homes whose keys were handed to it
    offset: int = 0  # of its configuration; 0 until heard directly
    caught_up: bool = False
    last_heard_s: float | None = None  # monotonic; None: known by others


def describe(member: Member, heard: Heard | None) -> Peer:
    """Return the peer of a table entry and what it told itself."""
    return Peer(
        host=member.host,
        incarnation=member.incarnation,
        operators_address=member.operators_address,
        callers_address=member.callers_address,
        failure_domain=member.failure_domain,
        leaving=member.state == "leaving",
        key_prefix=member.key_prefix,
        taken_over=tuple(member.taken_over),
        offset=heard.offset if heard else 0,
        caught_up=heard.caught_up if heard else False,
        last_heard_s=heard.at_s if heard else None,
    )
