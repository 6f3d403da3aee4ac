"""The other hosts, and the upstreams that all hosts share."""

from balsamlift.peers._marks import UpstreamState
from balsamlift.peers._membership import Peers
from balsamlift.peers._peer import Peer
from balsamlift.peers._upstream import EntryHost, Upstream
from balsamlift.peers._upstreams import Upstreams

__all__ = [
    "EntryHost",
    "Peer",
    "Peers",
    "Upstream",
    "UpstreamState",
    "Upstreams",
]
