"""Services and clients that request handling depends on."""

from __future__ import annotations

import attrs

from balsamlift._http import HttpClient
from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import Peers, Upstreams
from balsamlift.placement import Placement
from balsamlift.presets import Presets
from balsamlift.settings import Settings
from balsamlift.streams import StreamClient
from balsamlift.timeline import Timeline


@attrs.frozen(kw_only=True)
class Dependencies:
    """Bundle the services and clients that request handling uses."""

    settings: Settings
    clock: Clock
    http: HttpClient
    streams: StreamClient
    timeline: Timeline
    metrics: Metrics
    presets: Presets
    upstreams: Upstreams
    peers: Peers
    placement: Placement
