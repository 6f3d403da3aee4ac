"""The end of a host's service: what still starts, and what ends when."""

from balsamlift.relay.shutdown._durations import CallDurations
from balsamlift.relay.shutdown._shutdown import (
    Phase,
    RunningCall,
    Shutdown,
    allowed_s,
)

__all__ = [
    "CallDurations",
    "Phase",
    "RunningCall",
    "Shutdown",
    "allowed_s",
]
