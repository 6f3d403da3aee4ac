"""Queue and admit requests, and place them on upstreams."""

from balsamlift.placement._backlog import Backlog
from balsamlift.placement._engine import LoadReport
from balsamlift.placement._host_order import (
    WaitingGroup,
    YieldLimit,
    groups_before,
    leaves_room,
)
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
from balsamlift.placement._waiting_line import Offer, WaitingLine

__all__ = [
    "Backlog",
    "EnginePace",
    "GapAverage",
    "LoadReport",
    "Offer",
    "PaceRating",
    "PauseCounts",
    "Placement",
    "PlacementRequest",
    "Policy",
    "RecentPauses",
    "Scheduler",
    "StreamDemand",
    "Ticket",
    "WaitingGroup",
    "WaitingLine",
    "YieldLimit",
    "compare_gaps",
    "groups_before",
    "is_long",
    "leaves_room",
    "rate_paces",
    "smooth_usual",
]
