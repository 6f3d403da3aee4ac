"""Queue and admit requests, and place them on upstreams."""

from balsamlift.placement._backlog import Backlog
from balsamlift.placement._engine import LoadReport
from balsamlift.placement._pace import (
    RATIOS,
    GapAverage,
    GapRatios,
    PaceRating,
    RecentRatios,
    StreamDemand,
    compare_gaps,
    rate_paces,
    ratio_of,
    smooth_usual,
)
from balsamlift.placement._policy import Policy
from balsamlift.placement._request import PlacementRequest, Ticket
from balsamlift.placement._scheduler import Scheduler
from balsamlift.placement._service import Placement

__all__ = [
    "RATIOS",
    "Backlog",
    "GapAverage",
    "GapRatios",
    "LoadReport",
    "PaceRating",
    "Placement",
    "PlacementRequest",
    "Policy",
    "RecentRatios",
    "Scheduler",
    "StreamDemand",
    "Ticket",
    "compare_gaps",
    "rate_paces",
    "ratio_of",
    "smooth_usual",
]
