"""Stand-ins for engines, services, the platform and links."""

from balsamlift.testing._engine_model import (
    EngineModel,
    EngineParameters,
    Load,
    Step,
    Work,
)
from balsamlift.testing._prefix_cache import CacheEvent
from balsamlift.testing._process import (
    Process,
    ProcessError,
    start_host,
    start_stand_in,
)

__all__ = [
    "CacheEvent",
    "EngineModel",
    "EngineParameters",
    "Load",
    "Process",
    "ProcessError",
    "Step",
    "Work",
    "start_host",
    "start_stand_in",
]
