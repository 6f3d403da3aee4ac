"""Generations on engines: placed, relayed, moved and backed up."""

from balsamlift.relay.generations._engine_paces import (
    EnginePaceRow,
    EnginePaces,
)
from balsamlift.relay.generations._engines import (
    CopyError,
    CopyRefusedError,
    CopyRejectedError,
    EngineClient,
    EngineReport,
    MemoryCopy,
    ReportError,
    RunningGeneration,
)
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._generations import Generations
from balsamlift.relay.generations._leaving_detector import LeavingDetector
from balsamlift.relay.generations._memory_allocator import MemoryAllocator
from balsamlift.relay.generations._memory_request import Group
from balsamlift.relay.generations._quiet_engines import QuietEngines
from balsamlift.relay.generations._waiting_requests import WaitingRequest

__all__ = [
    "CopyError",
    "CopyRefusedError",
    "CopyRejectedError",
    "EngineClient",
    "EnginePaceRow",
    "EnginePaces",
    "EngineReport",
    "GenerationContext",
    "Generations",
    "Group",
    "LeavingDetector",
    "MemoryAllocator",
    "MemoryCopy",
    "QuietEngines",
    "ReportError",
    "RunningGeneration",
    "WaitingRequest",
]
