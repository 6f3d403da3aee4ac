"""The other hosts, and the upstreams that all hosts share."""

from balsamlift.peers._hosts_list import (
    ENTRY_ROLE,
    UPSTREAM_ROLE,
    ListEntry,
)
from balsamlift.peers._list_reader import UpstreamList
from balsamlift.peers._marks import UpstreamState
from balsamlift.peers._membership import Peers
from balsamlift.peers._peer import Peer
from balsamlift.peers._upstream import EntryHost, Upstream
from balsamlift.peers._upstreams import Upstreams

__all__ = [
    "ENTRY_ROLE",
    "UPSTREAM_ROLE",
    "EntryHost",
    "ListEntry",
    "Peer",
    "Peers",
    "Upstream",
    "UpstreamList",
    "UpstreamState",
    "Upstreams",
]
