"""Queue and admit requests, and place them on upstreams."""

from balsamlift.placement._backlog import Backlog
from balsamlift.placement._engine import LoadReport
from balsamlift.placement._pace import (
    EnginePace,
    GapAverage,
    PaceRating,
    PauseCounts,
    RecentPauses,
    StreamDemand,
    compare_gaps,
    is_long,
    rate_paces,
    smooth_usual,
)
from balsamlift.placement._policy import Policy
from balsamlift.placement._request import PlacementRequest, Ticket
from balsamlift.placement._scheduler import Scheduler
from balsamlift.placement._service import Placement

__all__ = [
    "Backlog",
    "EnginePace",
    "GapAverage",
    "LoadReport",
    "PaceRating",
    "PauseCounts",
    "Placement",
    "PlacementRequest",
    "Policy",
    "RecentPauses",
    "Scheduler",
    "StreamDemand",
    "Ticket",
    "compare_gaps",
    "is_long",
    "rate_paces",
    "smooth_usual",
]
