"""Queue and admit requests, and place them on upstreams.

The scheduler is imported on first use: hosts that serve the platform only
need decisions.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

from balsamlift.placement._backlog import Backlog
from balsamlift.placement._host_order import (
    WaitingGroup,
    YieldLimit,
    groups_before,
    leaves_room,
)
from balsamlift.placement._late_share import LateShares
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
from balsamlift.placement._patience import patience_ms
from balsamlift.placement._prompt_reading import (
    Reading,
    max_unread_tokens,
    may_read,
)
from balsamlift.placement._residence import (
    Residence,
    ResidenceTimes,
    expected_run_ms,
)
from balsamlift.placement._wait_decision import (
    RefuseNow,
    WaitRequest,
    WaitUntil,
    decide_wait,
)
from balsamlift.placement._wait_estimate import limit_retry_ms
from balsamlift.placement._waiting_line import Offer, WaitingLine

if TYPE_CHECKING:
    from balsamlift.placement._engine import LoadReport
    from balsamlift.placement._policy import Policy
    from balsamlift.placement._request import PlacementRequest, Ticket
    from balsamlift.placement._scheduler import Scheduler
    from balsamlift.placement._service import Placement

__all__ = [
    "RATIOS",
    "Backlog",
    "GapAverage",
    "GapRatios",
    "LateShares",
    "LoadReport",
    "Offer",
    "PaceRating",
    "Placement",
    "PlacementRequest",
    "Policy",
    "Reading",
    "RecentRatios",
    "RefuseNow",
    "Residence",
    "ResidenceTimes",
    "Scheduler",
    "StreamDemand",
    "Ticket",
    "WaitRequest",
    "WaitUntil",
    "WaitingGroup",
    "WaitingLine",
    "YieldLimit",
    "compare_gaps",
    "decide_wait",
    "expected_run_ms",
    "groups_before",
    "leaves_room",
    "limit_retry_ms",
    "max_unread_tokens",
    "may_read",
    "patience_ms",
    "rate_paces",
    "ratio_of",
    "smooth_usual",
]

_LAZY_MODULES = {
    "LoadReport": "_engine",
    "Placement": "_service",
    "PlacementRequest": "_request",
    "Policy": "_policy",
    "Scheduler": "_scheduler",
    "Ticket": "_request",
}


def __getattr__(name: str) -> Any:
    """Import a name of the scheduler; raise `AttributeError` if unknown."""
    module = _LAZY_MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
