"""The end of a host's service: what still starts, and what ends when."""

from balsamlift.relay.shutdown._durations import CallDurations, observe_call
from balsamlift.relay.shutdown._sequence import (
    CallersServer,
    DrainLimits,
    shut_down,
)
from balsamlift.relay.shutdown._shutdown import (
    LATE_DURATION_FACTOR,
    Phase,
    RunningCall,
    Shutdown,
    allowed_s,
)

__all__ = [
    "LATE_DURATION_FACTOR",
    "CallDurations",
    "CallersServer",
    "DrainLimits",
    "Phase",
    "RunningCall",
    "Shutdown",
    "allowed_s",
    "observe_call",
    "shut_down",
]
