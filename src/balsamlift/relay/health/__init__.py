"""Which upstreams fail, as this host and all hosts together see it."""

from balsamlift.relay.health._link_prober import LinkProber
from balsamlift.relay.health._reachability import Reachability
from balsamlift.relay.health._shared_health import SharedHealth
from balsamlift.relay.health._silence_limit import SilenceLimit
from balsamlift.relay.health._stall_watch import StallWatch
from balsamlift.relay.health._unanswered import (
    OpenRequest,
    UnansweredRequests,
)
from balsamlift.relay.health._upstream_health import UpstreamHealth

__all__ = [
    "LinkProber",
    "OpenRequest",
    "Reachability",
    "SharedHealth",
    "SilenceLimit",
    "StallWatch",
    "UnansweredRequests",
    "UpstreamHealth",
]
