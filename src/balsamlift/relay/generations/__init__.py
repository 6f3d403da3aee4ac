"""Generations on engines: placed, relayed, moved and backed up."""

from balsamlift.relay.generations._engine_paces import EnginePaces
from balsamlift.relay.generations._engines import (
    CopyError,
    CopyRefusedError,
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
from balsamlift.relay.generations._quiet_engines import QuietEngines

__all__ = [
    "CopyError",
    "CopyRefusedError",
    "EngineClient",
    "EnginePaces",
    "EngineReport",
    "GenerationContext",
    "Generations",
    "LeavingDetector",
    "MemoryAllocator",
    "MemoryCopy",
    "QuietEngines",
    "ReportError",
    "RunningGeneration",
]
