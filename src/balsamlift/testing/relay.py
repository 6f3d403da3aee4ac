"""Relay harness with stand-ins, for tests of the relay's HTTP behaviour."""

from balsamlift.testing._relay_harness import (
    HEADER_NAMES,
    HOST,
    KEY,
    LIMITS,
    WORKSPACE,
    CallerAnswer,
    RelayHarness,
    configuration,
    read_answer,
    request_bytes,
    route,
)
from balsamlift.testing._relay_stand_ins import StandInEngines
from balsamlift.testing._replica import (
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
    event,
)

__all__ = [
    "HEADER_NAMES",
    "HOST",
    "KEY",
    "LIMITS",
    "WORKSPACE",
    "CallerAnswer",
    "RelayHarness",
    "ReplicaConnection",
    "ReplicaRequest",
    "ReplicaStandIn",
    "StandInEngines",
    "configuration",
    "event",
    "read_answer",
    "request_bytes",
    "route",
]
