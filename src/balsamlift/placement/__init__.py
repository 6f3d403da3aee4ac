"""Queue and admit requests, and place them on upstreams."""

from balsamlift.placement._backlog import Backlog
from balsamlift.placement._engine import LoadReport
from balsamlift.placement._policy import Policy
from balsamlift.placement._request import PlacementRequest, Ticket
from balsamlift.placement._scheduler import Scheduler
from balsamlift.placement._service import Placement

__all__ = [
    "Backlog",
    "LoadReport",
    "Placement",
    "PlacementRequest",
    "Policy",
    "Scheduler",
    "Ticket",
]
