"""What a host that shuts down still starts, for requests of every kind."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from enum import Enum

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._refusals import host_leaving
from balsamlift.relay._request import Call, Refusal

log = logger.bind(part="shutdown")

# A call may take longer than those before it.
DURATION_FACTOR = 1.25
DURATION_EXTRA_S = 0.1
# The same late in the exit, when a call may find its upstream much slower.
LATE_DURATION_FACTOR = 10.0

_MS_PER_S = 1_000

# Returns the addresses of other hosts that may take a call.
FindAlternatives = Callable[[Call], Sequence[str]]


class Phase(Enum):
    """The phases of a host's service, in their order."""

    SERVING = "serving"
    DRAINING = "draining"  # starts only what ends in time
    CLOSING = "closing"  # starts nothing; all that runs ends now


@attrs.define(eq=False, kw_only=True)
class RunningCall:
    """A call that is being handled, and the limits of its time."""

    call: Call
    attempt: Attempt
    # Returns the duration of the longest recent call like it; None: unknown.
    longest_s: Callable[[], float | None]
    least_s: float = 0.0  # that it takes for its size
    timeout: asyncio.Timeout = attrs.field(init=False)  # ends the call
    start_timer: asyncio.TimerHandle | None = None
    is_shortened: bool = False  # the call has less than its own time

    def __attrs_post_init__(self) -> None:
        """Begin with the call's own time."""
        self.timeout = asyncio.timeout_at(self.call.timeout_at_s)

    def end_in(self, left_s: float) -> None:
        """End the call in `left_s`, unless it is being ended already."""
        if not self.timeout.expired():
            now_s = asyncio.get_running_loop().time()
            self.timeout.reschedule(now_s + max(left_s, 0.0))
            self.is_shortened = True

    def cancel_timer(self) -> None:
        """Stop the timer for its start, if there is one."""
        if self.start_timer is not None:
            self.start_timer.cancel()


class Shutdown:
    """Decide what starts, and end what runs, while a host shuts down."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        find_alternatives: FindAlternatives,
    ) -> None:
        """Start in the phase in which everything is served."""
        self._find_alternatives = find_alternatives
        self._clock = clock
        self._metrics = metrics
        self.phase = Phase.SERVING
        self._began_s = math.inf
        self._estimates_until_s = math.inf
        self._responses_by_s = math.inf
        self._running: dict[Attempt, RunningCall] = {}

    def begin(self, within_s: float, estimates_s: float = math.inf) -> None:
        """Begin to drain; the last responses are due in `within_s`.

        After `estimates_s`, only what is sure to end within that time starts,
        and very short calls. A further call may only shorten the times.
        """
        now_s = self._clock.monotonic()
        self._began_s = min(self._began_s, now_s)
        self._estimates_until_s = min(
            self._estimates_until_s, now_s + estimates_s
        )
        self._responses_by_s = min(self._responses_by_s, now_s + within_s)
        if self.phase is Phase.SERVING:
            self.phase = Phase.DRAINING
        self._limit_all()

    def close(self) -> None:
        """Start nothing more, and end all that runs."""
        self.phase = Phase.CLOSING
        self._responses_by_s = self._clock.monotonic()
        self._limit_all()

    @property
    def left_s(self) -> float:
        """Return the time until the last responses are due."""
        return self._responses_by_s - self._clock.monotonic()

    @contextmanager
    def watch(self, running: RunningCall) -> Iterator[None]:
        """Limit the time of a call while the context is open."""
        self._running[running.attempt] = running
        if self.phase is not Phase.SERVING:
            self._limit(running)
        try:
            yield
        finally:
            del self._running[running.attempt]
            running.cancel_timer()

    def may_begin(self, attempt: Attempt) -> bool:
        """Return whether a call may be sent now.

        An attempt that is not watched goes on with a response.
        """
        running = self._running.get(attempt)
        if self.phase is Phase.SERVING or running is None:
            return True
        return self._latest_start_s(running) >= self._clock.monotonic()

    def refusal(self, attempt: Attempt) -> Refusal | None:
        """Return the refusal of a call that may not be sent any more."""
        if self.may_begin(attempt):
            return None
        return self._end(self._running[attempt])

    def end(self, running: RunningCall) -> Refusal | None:
        """Return the final response of a call whose time is over.

        None if that is its own time.
        """
        return self._end(running) if running.is_shortened else None

    def _latest_start_s(self, running: RunningCall) -> float:
        """Return the last moment at which a call may be sent."""
        if self.phase is Phase.CLOSING:
            return -math.inf
        latest_s = self._responses_by_s - allowed_s(running.least_s)
        timeout_at_s = running.call.timeout_at_s
        if timeout_at_s <= self._responses_by_s:
            return min(latest_s, timeout_at_s)
        longest_s = running.longest_s()
        if longest_s is None:
            return -math.inf
        return min(latest_s, self._latest_by_estimate_s(running, longest_s))

    def _latest_by_estimate_s(
        self, running: RunningCall, longest_s: float
    ) -> float:
        """Return the last moment to send a call that may take `longest_s`."""
        due_s = self._responses_by_s
        early_s = due_s - allowed_s(longest_s)
        if running.attempt.may_have_run:
            return early_s  # its caller cannot go to another host
        late_s = -math.inf
        if running.call.route.kind != "stream":  # a cut one gets no response
            late_s = due_s - allowed_s(longest_s, LATE_DURATION_FACTOR)
        if running.call.request.origin is not None:
            return late_s  # another host may run it whole
        return max(min(early_s, self._estimates_until_s), late_s)

    def _limit_all(self) -> None:
        for running in self._running.values():
            self._limit(running)

    def _limit(self, running: RunningCall) -> None:
        """End a call when responses are due; sooner if it still waits."""
        if self._responses_by_s < running.call.timeout_at_s:
            running.end_in(self.left_s)
        wait_s = self._latest_start_s(running) - self._clock.monotonic()
        running.cancel_timer()
        running.start_timer = asyncio.get_running_loop().call_later(
            max(wait_s, 0.0), _end_unless_sent, running
        )

    def _end(self, running: RunningCall) -> Refusal:
        """Log and count a call that is not served; return its response."""
        is_cut = running.attempt.may_have_run
        event = "cut" if is_cut else "refused"
        self._metrics.count(f"relay.shutdown.{event}_{self.phase.value}")
        now_s = self._clock.monotonic()
        logged = log.bind(
            request=running.call.request_id,
            route=running.call.route.name,
            phase=self.phase.value,
            sends=running.attempt.sends,
            draining_ms=_to_ms(now_s - self._began_s),
            running_ms=_running_ms(running.attempt, now_s),
            left_ms=_to_ms(self.left_s),
            own_ms=_to_ms(running.call.timeout_at_s - now_s),
            longest_ms=_to_ms(running.longest_s()),
            least_ms=_to_ms(running.least_s),
        )
        refusal = host_leaving(running.call, running.attempt)
        if is_cut:
            logged.warning("cut off as the host shuts down")
            return refusal
        logged.info("refused as the host shuts down")
        alternatives = self._find_alternatives(running.call)
        return attrs.evolve(refusal, alternatives=alternatives)


def allowed_s(expected_s: float, factor: float = DURATION_FACTOR) -> float:
    """Return the time that must be left for a call to start."""
    return expected_s * factor + DURATION_EXTRA_S


def _end_unless_sent(running: RunningCall) -> None:
    """End a call that still waits when it is too late to send it."""
    if not running.attempt.may_have_run:
        running.end_in(0.0)


def _running_ms(attempt: Attempt, now_s: float) -> int | None:
    """Return for how long a call may have run, None if it has not."""
    if not attempt.may_have_run or attempt.began_s is None:
        return None
    return _to_ms(now_s - attempt.began_s)


def _to_ms(duration_s: float | None) -> int | None:
    return None if duration_s is None else round(duration_s * _MS_PER_S)
