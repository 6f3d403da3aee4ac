"""Reverse proxy that runs each request at most once.

Requests of routes declared idempotent may be retried.
"""

from balsamlift.relay._cold_starts import ColdLimits
from balsamlift.relay._configuration import (
    CallerLimits,
    Configuration,
    EngineTraits,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Workspace,
)
from balsamlift.relay._directory import AddressAnswer, Caller, Directory
from balsamlift.relay._frontend import (
    DEFAULT_CALLER_LIMITS,
    FORWARDING_FRONTEND,
    Frontend,
)
from balsamlift.relay._header_names import HeaderNames
from balsamlift.relay._retry_budget import RetryLimits
from balsamlift.relay._routing import Routing
from balsamlift.relay._service import Relay
from balsamlift.relay._settings import RelaySettings
from balsamlift.relay._upstream_http import UpstreamHttp
from balsamlift.relay.generations import (
    CopyError,
    CopyRefusedError,
    CopyRejectedError,
    EngineClient,
    EngineReport,
    MemoryCopy,
    ReportError,
    RunningGeneration,
)
from balsamlift.relay.shutdown import DrainLimits
from balsamlift.relay.statements import StatementDecoders

__all__ = [
    "DEFAULT_CALLER_LIMITS",
    "FORWARDING_FRONTEND",
    "AddressAnswer",
    "Caller",
    "CallerLimits",
    "ColdLimits",
    "Configuration",
    "CopyError",
    "CopyRefusedError",
    "CopyRejectedError",
    "Directory",
    "DrainLimits",
    "EngineClient",
    "EngineReport",
    "EngineTraits",
    "Frontend",
    "HeaderNames",
    "MemoryCopy",
    "Relay",
    "RelaySettings",
    "ReportError",
    "RetryLimits",
    "Route",
    "RouteKind",
    "Routing",
    "RunningGeneration",
    "Service",
    "ServiceShare",
    "StatementDecoders",
    "UpstreamHttp",
    "Workspace",
]
