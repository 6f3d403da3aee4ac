"""Model of a host's exit: signals, calls and their ends in any order.

Virtual time. The rule is the invariant: a call that was read gets a response
that is complete and true, and the host ends within its grace period.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

import attrs
from _virtual_time import LoopClock, run_virtual
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from balsamlift.metrics import Metrics
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._request import (
    Call,
    CallerRequest,
    Outcome,
    Refusal,
)
from balsamlift.relay._time_limit import end_in_time
from balsamlift.relay.shutdown import (
    DrainLimits,
    RunningCall,
    Shutdown,
    shut_down,
)
from balsamlift.testing.relay import route

RESPONSES_S = 7.5
LISTED_S = 6.0
ESTIMATES_S = 2.5
SEND_S = 0.15
EXPECTED_S = 2.0  # what the calls of a route took
LAST_S = 9.0
SOON_S = 0.01


@attrs.frozen(kw_only=True)
class Planned:
    """A call that arrives at some time."""

    at_s: float
    waits_s: float  # until an upstream takes it
    runs_s: float  # there
    allowed_s: float  # by its caller or route
    is_idempotent: bool
    is_known: bool  # how long calls of its route take


@attrs.define
class RecordingResponder:
    """Records the response to one call."""

    refusal: Refusal | None = None
    is_finished: bool = False
    is_started: bool = False

    def refuse(self, refusal: Refusal) -> None:
        assert not self.is_finished
        self.refusal = refusal
        self.is_finished = True

    async def start(self, *_: object) -> None:
        self.is_started = True

    async def write(self, data: bytes) -> None:
        del data

    def finish(self) -> None:
        assert not self.is_finished
        self.is_finished = True

    def abort(self) -> None:
        raise AssertionError("no complete response")


@attrs.define
class Handled:
    """A call with what its upstream and its caller saw."""

    planned: Planned
    attempt: Attempt
    responder: RecordingResponder
    sent_s: float | None = None
    ended_s: float = 0.0


class Host:
    """A server whose calls go through the time limits of the relay."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.shutdown = Shutdown(self.clock, Metrics(), lambda _: ())
        self.handled: list[Handled] = []
        self.running = 0
        self.closed_s: float | None = None

    @property
    def is_idle(self) -> bool:
        return not self.running

    def drain(self) -> None:
        pass

    async def close(self, within_s: float) -> None:
        until_s = self.clock.monotonic() + within_s
        while self.running and self.clock.monotonic() < until_s:
            await self.clock.sleep(0.01)
        self.closed_s = self.clock.monotonic()

    async def handle(self, planned: Planned) -> None:
        if self.closed_s is not None:
            return  # its connection is refused
        attempt = Attempt(planned.is_idempotent)
        handled = Handled(planned, attempt, RecordingResponder())
        self.handled.append(handled)
        call = make_call(planned, self.clock.monotonic())
        running = RunningCall(
            call=call,
            attempt=attempt,
            longest_s=lambda: EXPECTED_S if planned.is_known else None,
        )
        self.running += 1
        try:
            await end_in_time(
                self.shutdown, running, handled.responder, self._run(handled)
            )
        finally:
            self.running -= 1
            handled.ended_s = self.clock.monotonic()

    async def _run(self, handled: Handled) -> Outcome | Refusal:
        planned = handled.planned
        for wait_s in (0.0, planned.waits_s):
            await self.clock.sleep(wait_s)
            refusal = self.shutdown.refusal(handled.attempt)
            if refusal is not None:
                return refusal
        handled.sent_s = self.clock.monotonic()
        handled.attempt.record_send("u1", handled.sent_s)
        await self.clock.sleep(planned.runs_s)
        handled.responder.finish()
        return Outcome("answered 200")


def make_call(planned: Planned, now_s: float) -> Call:
    kind = "idempotent" if planned.is_idempotent else "non_idempotent"
    request = CallerRequest(
        method="POST",
        target="/a/1",
        headers=HTTPHeaders(),
        body=b"",
        arrived_s=now_s,
    )
    return Call(
        request=request,
        request_id="r1",
        table=None,  # type: ignore[arg-type]
        route=route(kind, "/a/", "plain"),
        workspace=None,
        key="",
        fingerprint="",
        prompt_parts=(),
        service="plain",
        regions=None,
        priority=0,
        deadline_s=now_s + planned.allowed_s,
        timeout_at_s=now_s + planned.allowed_s,
    )


CALLS = st.lists(
    st.builds(
        Planned,
        at_s=st.floats(0.0, LAST_S),
        waits_s=st.sampled_from([0.0, 0.3, 2.0, 8.0]),
        runs_s=st.sampled_from([0.02, 0.7, 1.9, 4.0, 8.5]),
        allowed_s=st.sampled_from([0.5, 2.5, 6.0, 30.0]),
        is_idempotent=st.booleans(),
        is_known=st.booleans(),
    ),
    min_size=4,
    max_size=16,
)
SIGNALS = st.lists(st.floats(0.0, 4.0), min_size=1, max_size=3)


def check(handled: Handled, signal_s: float) -> None:
    """Check the response to one call."""
    planned, responder = handled.planned, handled.responder
    assert responder.is_finished, "no response"
    refusal = responder.refusal
    if refusal is None:
        return
    if refusal.status == 503:
        assert handled.sent_s is None, "it may have run"
        if not planned.is_known and planned.allowed_s > RESPONSES_S:
            known_s = max(planned.at_s, signal_s)
            assert handled.ended_s <= known_s + SOON_S, "not at once"
    else:
        assert handled.sent_s is not None
    if handled.sent_s is None or handled.sent_s < signal_s:
        return
    # What was sent after the signal ends by itself, if it is as expected,
    # and in any case if it was sent late.
    is_timeout = refusal.reason == "timed out"
    if handled.sent_s > signal_s + ESTIMATES_S + SOON_S:
        assert is_timeout
    if planned.is_known and planned.runs_s <= EXPECTED_S:
        assert is_timeout
    if not planned.is_known:
        assert is_timeout


@settings(max_examples=300)
@given(calls=CALLS, signals=SIGNALS)
def test_an_exit_gives_each_call_a_complete_and_true_response(
    calls: list[Planned], signals: list[float]
) -> None:
    async def test() -> None:
        host = Host()
        first_s = min(signals)

        async def start(at_s: float, run: Awaitable[None]) -> None:
            await asyncio.sleep(at_s)
            await run

        async def exit_host() -> None:
            limits = DrainLimits(
                listed_s=LISTED_S,
                estimates_s=ESTIMATES_S,
                responses_s=RESPONSES_S,
                send_s=SEND_S,
            )
            await asyncio.sleep(first_s)
            await shut_down(host.shutdown, [host], limits, host.clock)

        async def signal_again(at_s: float) -> None:
            await asyncio.sleep(at_s)
            if at_s > first_s:
                host.shutdown.begin(RESPONSES_S, ESTIMATES_S)

        arrivals = [start(c.at_s, host.handle(c)) for c in calls]
        repeats = [signal_again(at_s) for at_s in signals]
        await asyncio.gather(*arrivals, *repeats, exit_host())
        for handled in host.handled:
            check(handled, first_s)
            assert handled.ended_s <= first_s + RESPONSES_S + SEND_S
        assert host.closed_s is not None
        assert host.closed_s <= first_s + RESPONSES_S + SEND_S + 0.02

    run_virtual(test)
