"""Stand-ins for engines, services, the platform and network links."""

from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._engine_types import (
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
from balsamlift.testing._settings import (
    EngineSettings,
    LengthSettings,
    LinkSettings,
    PlatformSettings,
    ServiceSettings,
)

__all__ = [
    "CacheEvent",
    "EngineModel",
    "EngineParameters",
    "EngineSettings",
    "LengthSettings",
    "LinkSettings",
    "Load",
    "PlatformSettings",
    "Process",
    "ProcessError",
    "ServiceSettings",
    "Step",
    "Work",
    "start_host",
    "start_stand_in",
]
