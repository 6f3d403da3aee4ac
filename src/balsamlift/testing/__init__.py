"""Stand-ins for engines, services, the platform and links."""

from balsamlift.testing._engine_model import (
    EngineModel,
    EngineParameters,
    Load,
    Step,
    Work,
)
from balsamlift.testing._prefix_cache import CacheEvent

__all__ = [
    "CacheEvent",
    "EngineModel",
    "EngineParameters",
    "Load",
    "Step",
    "Work",
]
