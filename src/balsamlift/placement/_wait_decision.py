"""Decide whether a request waits for memory, and when to return if not.

Answers a load that exceeds the memory of a pool, for some seconds or for as
long as engines are missing: callers who would wait in vain are told at once,
the others are served late rather than refused.
"""

from __future__ import annotations

from math import inf
from typing import Literal

import attrs

from balsamlift.placement._backlog import Backlog
from balsamlift.placement._patience import patience_ms
from balsamlift.placement._residence import EXPECTED_START_MS, Residence
from balsamlift.placement._wait_estimate import (
    retry_after_ms,
    spread_retry_ms,
)

# A request is refused if its whole wait would be this many times the longest.
# A forecast is not exact, and who has waited already needs to lose more.
REFUSAL_FACTOR = 1.5
WAITING_REFUSAL_FACTOR = 2.0
# Callers refused at one moment return within this time at least.
MIN_RETURN_SPREAD_MS = 1_000.0

_MS_PER_S = 1_000.0

RefusalReason = Literal["no_room", "too_late", "overdue"]


@attrs.frozen(kw_only=True)
class WaitRequest:
    """Describe a request that finds no free memory; times are monotonic."""

    tokens: int
    arrived_s: float
    target_ms: float  # of its route, to the first event
    max_gap_ms: float  # of its route, between events; 0: any
    timeout_at_s: float  # by which it must have ended
    deadline_s: float  # after which its caller does not return
    spread: float  # 0 to 1, differs between the requests of one moment

    @property
    def target_s(self) -> float:
        """Return when its target passes."""
        return self.arrived_s + self.target_ms / _MS_PER_S

    @property
    def start_ms(self) -> float:
        """Return the time to leave for the first event."""
        return min(self.target_ms, EXPECTED_START_MS)

    @property
    def patience_s(self) -> float:
        """Return until when it can start with its caller still listening."""
        borne_ms = patience_ms(self.target_ms, self.max_gap_ms)
        return self.arrived_s + (borne_ms - self.start_ms) / _MS_PER_S

    def latest_start_s(self, run_ms: float) -> float:
        """Return until when it can start and end in time."""
        return self.timeout_at_s - max(run_ms, self.start_ms) / _MS_PER_S


@attrs.frozen(kw_only=True)
class WaitUntil:
    """Let the request wait for memory."""

    until_s: float  # monotonic
    expected_ms: float | None  # None: unknown


@attrs.frozen(kw_only=True)
class RefuseNow:
    """Refuse the request.

    `no_room`: the expected wait is too long. `too_late`: it cannot end in
    time. `overdue`: it has waited for as long as it could.
    """

    reason: RefusalReason
    expected_ms: float | None  # wait for memory; None: unknown
    retry_after_ms: int | None  # None: unknown


def expected_wait_ms(
    backlog: Backlog, tokens: int, residence_ms: float
) -> float | None:
    """Return the wait until `tokens` are free, or None if unknown.

    `residence_ms` is the mean time that memory is held. By Little's law, the
    tokens in use divided by it are the rate at which they become free.
    """
    if not backlog.is_known:
        return None
    missing = backlog.ahead_tokens + tokens - backlog.free_tokens
    if missing <= 0:
        return 0.0
    if backlog.used_tokens <= 0:
        return None
    return missing * residence_ms / backlog.used_tokens


def decide_wait(
    request: WaitRequest,
    backlog: Backlog,
    residence: Residence,
    now_s: float,
    *,
    is_waiting: bool = False,
    late_share: float = 1.0,
) -> WaitUntil | RefuseNow:
    """Return until when a request waits, or that there is no use in it.

    Asked again while it `is_waiting`: the backlog changes. `late_share` of the
    memory goes to those that have passed their target.
    """
    tokens = request.tokens
    expected_ms = expected_wait_ms(backlog, tokens, residence.mean_ms)
    if expected_ms is None:
        return _wait_for_target(request, now_s)
    latest_start_s = request.latest_start_s(residence.least_run_ms)
    until_s = min(request.patience_s, latest_start_s)
    longest_ms = (until_s - request.arrived_s) * _MS_PER_S
    waited_ms = (now_s - request.arrived_s) * _MS_PER_S
    least_ms = _slow_down(
        _least_wait_ms(backlog, residence),
        max(request.target_ms - waited_ms, 0.0),
        late_share,
    )
    factor = WAITING_REFUSAL_FACTOR if is_waiting else REFUSAL_FACTOR
    reason: RefusalReason
    if now_s >= latest_start_s:
        reason = "too_late"
    elif now_s >= until_s:
        reason = "overdue"
    elif waited_ms + least_ms > longest_ms * factor:
        reason = "no_room"
    else:
        return WaitUntil(until_s=until_s, expected_ms=expected_ms)
    return RefuseNow(
        reason=reason,
        expected_ms=expected_ms,
        retry_after_ms=_retry_ms(
            request, backlog, residence, expected_ms, now_s
        ),
    )


def _wait_for_target(
    request: WaitRequest, now_s: float
) -> WaitUntil | RefuseNow:
    """Decide without a forecast: those refused at their target can return."""
    if now_s < request.target_s:
        return WaitUntil(until_s=request.target_s, expected_ms=None)
    return RefuseNow(reason="overdue", expected_ms=None, retry_after_ms=None)


def _least_wait_ms(backlog: Backlog, residence: Residence) -> float:
    """Return the shortest wait that the forecast allows for.

    Memory becomes free by whole generations, so the request itself may find
    room as soon as those before it have.
    """
    return expected_wait_ms(backlog, 0, residence.least_mean_ms) or 0.0


def _slow_down(wait_ms: float, in_time_ms: float, late_share: float) -> float:
    """Return a wait of which the part after the target takes longer."""
    late_ms = max(wait_ms - in_time_ms, 0.0)
    return wait_ms - late_ms + late_ms / late_share


def _retry_ms(
    request: WaitRequest,
    backlog: Backlog,
    residence: Residence,
    expected_ms: float,
    now_s: float,
) -> int:
    """Return after which time the caller of a refused request may return.

    From when the wait is short enough until when room is expected. One that
    cannot be answered in time in any case is not told to return sooner.
    """
    bearable_ms = (request.patience_s - request.arrived_s) * _MS_PER_S
    service_ms = request.tokens * residence.mean_ms
    service_ms /= max(backlog.used_tokens, 1)
    earliest_ms = retry_after_ms(expected_ms, bearable_ms, service_ms)
    latest_ms = max(expected_ms, earliest_ms + MIN_RETURN_SPREAD_MS)
    remaining_ms = (request.deadline_s - now_s) * _MS_PER_S
    if now_s + residence.least_run_ms / _MS_PER_S > request.timeout_at_s:
        remaining_ms = inf
    return spread_retry_ms(
        earliest_ms, latest_ms, remaining_ms, request.spread
    )
