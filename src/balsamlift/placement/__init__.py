"""Queue and admit requests, and place them on upstreams."""

from balsamlift.placement._backlog import Backlog
from balsamlift.placement._engine import LoadReport
from balsamlift.placement._late_share import LateShares
from balsamlift.placement._policy import Policy
from balsamlift.placement._request import PlacementRequest, Ticket
from balsamlift.placement._residence import (
    Residence,
    ResidenceTimes,
    expected_run_ms,
)
from balsamlift.placement._scheduler import Scheduler
from balsamlift.placement._service import Placement
from balsamlift.placement._wait_decision import (
    RefuseNow,
    WaitRequest,
    WaitUntil,
    decide_wait,
)
from balsamlift.placement._wait_estimate import limit_retry_ms

__all__ = [
    "Backlog",
    "LateShares",
    "LoadReport",
    "Placement",
    "PlacementRequest",
    "Policy",
    "RefuseNow",
    "Residence",
    "ResidenceTimes",
    "Scheduler",
    "Ticket",
    "WaitRequest",
    "WaitUntil",
    "decide_wait",
    "expected_run_ms",
    "limit_retry_ms",
]
