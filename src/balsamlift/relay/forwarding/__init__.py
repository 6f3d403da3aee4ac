"""Forward requests to another host while this one reaches no upstream."""

from balsamlift.relay.forwarding._forwarder import Forwarder, Unreached
from balsamlift.relay.forwarding._peer_choice import PeerChoice
from balsamlift.relay.forwarding._reply import ForwardedReply
from balsamlift.relay.forwarding._wire import (
    FORWARDED_HEAD_BYTES,
    unwrap_request,
)

__all__ = [
    "FORWARDED_HEAD_BYTES",
    "ForwardedReply",
    "Forwarder",
    "PeerChoice",
    "Unreached",
    "unwrap_request",
]
