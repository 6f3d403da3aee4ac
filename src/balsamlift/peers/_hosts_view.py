"""Serve the list of known hosts to operators."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

from balsamlift.operators import JsonHandler
from balsamlift.peers._messages import Member
from balsamlift.peers._peer import Peer
from balsamlift.peers._upstream import EntryHost
from balsamlift.peers._upstreams import Upstreams

UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class HostView:
    """Hold what this host knows of another host, or of itself."""

    host: str
    state: str  # live, leaving, or unknown if it is only listed
    listed: str  # its state in the platform's list; empty: not listed
    incarnation: str = ""
    failure_domain: str = ""
    callers_address: str = ""
    operators_address: str = ""
    offset: int = 0
    caught_up: bool = False
    is_heard: bool = False  # directly, not only through other hosts
    evacuated: str = ""  # failure domains; empty for other hosts


class KnownHosts(Protocol):
    """Provide the state of this host and its peers."""

    @property
    def own(self) -> Member:
        """Return this host's own entry."""

    @property
    def offset(self) -> int:
        """Return the offset of the configuration that this host reached."""

    @property
    def caught_up(self) -> bool:
        """Return whether that is the end of its log."""

    def live(self) -> Sequence[Peer]:
        """Return the other live hosts."""


class HostsHandler(JsonHandler):
    """Answer `GET /v1/hosts` with a list of hosts."""

    def initialize(self, peers: KnownHosts, upstreams: Upstreams) -> None:
        """Keep the sources of known hosts."""
        self._peers = peers
        self._upstreams = upstreams

    def get(self) -> None:
        """Reply with this host, its peers, and other listed hosts."""
        listed = {host.host: host for host in self._upstreams.entry_hosts()}
        views = {self._peers.own.host: self._own_view(listed)}
        for peer in self._peers.live():
            views[peer.host] = _peer_view(peer, listed)
        for name, host in listed.items():
            views.setdefault(name, _listed_view(host))
        self.reply([views[name] for name in sorted(views)])

    def _own_view(self, listed: dict[str, EntryHost]) -> HostView:
        own = self._peers.own
        return HostView(
            host=own.host,
            state=own.state,
            listed=_listed_state(own.host, listed),
            incarnation=own.incarnation,
            failure_domain=own.failure_domain,
            callers_address=own.callers_address,
            operators_address=own.operators_address,
            offset=self._peers.offset,
            caught_up=self._peers.caught_up,
            is_heard=True,
            evacuated=" ".join(sorted(self._upstreams.evacuations.domains)),
        )


def _listed_state(host: str, listed: dict[str, EntryHost]) -> str:
    return listed[host].state if host in listed else ""


def _peer_view(peer: Peer, listed: dict[str, EntryHost]) -> HostView:
    return HostView(
        host=peer.host,
        state="leaving" if peer.leaving else "live",
        listed=_listed_state(peer.host, listed),
        incarnation=peer.incarnation,
        failure_domain=peer.failure_domain,
        callers_address=peer.callers_address,
        operators_address=peer.operators_address,
        offset=peer.offset,
        caught_up=peer.caught_up,
        is_heard=peer.last_heard_s is not None,
    )


def _listed_view(host: EntryHost) -> HostView:
    return HostView(
        host=host.host,
        state=UNKNOWN,
        listed=host.state,
        failure_domain=host.failure_domain,
        callers_address=host.address,
        operators_address=host.operators_address,
    )
