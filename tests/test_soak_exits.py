"""Run a short soak of exits, and check its plan and its checker."""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest
from _manual_clock import ManualClock
from soak.bodies import BODY_FORMS, MAX_BODY_S, Body, draw_body
from soak.callers import CallerRequest, send
from soak.exit_plan import (
    MAX_SLOW_AFTER_S,
    STREAMS_S,
    WORKS_S,
    draw_exit_plan,
)
from soak.exits import ExitChecker
from soak.guarantees import CallerOutcome
from soak.load import EXITS
from soak.plan import SLOW_FACTORS
from soak.run import Fleet, run_plan
from soak.streams import StreamForm

LENGTH_S = 6.0
# Seeds whose plans have calls that last as long as their hosts, and one whose
# upstreams slow down late in an exit.
SEEDS = [1, 6, 16]
GRACE_S = 8.0
LOOPBACK_IP = "127.0.0.1"
SEED_1_FAULTS = [
    ("upstream_leaves", 0.97),
    ("upstream_leaves", 3.34),
    ("term", 4.0),
    ("hup", 5.77),
]
SIGNAL_S = 10.0


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_is_lost_to_an_exit(tmp_path: Path, seed: int) -> None:
    plan = draw_exit_plan(seed, LENGTH_S)
    result = asyncio.run(run_plan(plan, tmp_path, Fleet(load=EXITS)))
    assert result.violations == []
    assert result.served > 50


def test_plans_have_works_of_all_lengths_and_signals_to_all_hosts() -> None:
    assert draw_exit_plan(7, 30.0) == draw_exit_plan(7, 30.0)
    plans = [draw_exit_plan(seed, 30.0) for seed in range(40)]
    assert {plan.max_work_s for plan in plans} == set(WORKS_S)
    for plan in plans:
        signals = [f for f in plan.faults if f.kind == "term"]
        first = signals[0].target_number
        numbers = [f.target_number for f in signals]
        assert numbers == list(range(first, first + len(signals)))


def test_plans_have_streams_of_all_forms() -> None:
    plans = [draw_exit_plan(seed, 30.0) for seed in range(40)]
    forms = [plan.streams for plan in plans if plan.streams is not None]
    assert {(f.min_s, f.max_s, f.tail_s) for f in forms} == set(STREAMS_S)
    assert {plan.has_engines for plan in plans} == {False, True}
    assert {plan.knows_output for plan in plans} == {False, True}


def test_upstreams_slow_down_after_each_signal_by_all_factors() -> None:
    factors = set()
    for seed in range(40):
        faults = draw_exit_plan(seed, 30.0).faults
        signals = [f.start_s for f in faults if f.kind == "term"]
        slow = [f for f in faults if f.kind == "upstreams_slow"]
        factors |= {SLOW_FACTORS[f.variant_number] for f in slow}
        after_s = slow[0].start_s - signals[0]
        assert 0 <= after_s <= MAX_SLOW_AFTER_S
        starts_s = [f.start_s for f in slow]
        assert starts_s == pytest.approx([s + after_s for s in signals])
    assert factors == set(SLOW_FACTORS)


def test_a_seed_keeps_the_faults_that_it_had() -> None:
    """The signals and planned operations of seed 1, as first drawn."""
    faults = draw_exit_plan(1, LENGTH_S).faults
    new = ("upstreams_slow", "upstream_silent")
    old = [(f.kind, round(f.start_s, 2)) for f in faults if f.kind not in new]
    assert old == SEED_1_FAULTS


def test_streams_last_as_long_as_their_form_says() -> None:
    form = StreamForm(seed=3, min_s=0.2, max_s=1.0, tail_s=12.0)
    lasts_s = [
        (form.last_event(f"r{number}") + 1) * form.gap_s
        for number in range(1_000)
    ]
    assert min(lasts_s) == pytest.approx(0.2)
    assert 50 < sum(duration_s > 1.0 for duration_s in lasts_s) < 200
    assert 11.0 < max(lasts_s) <= 12.0
    assert form.last_event("r7") == form.last_event("r7")


def test_bodies_have_all_forms_where_requests_have_one() -> None:
    rng = random.Random(1)
    bodies = [draw_body(rng, has_body=True) for _ in range(200)]
    assert {body.form for body in bodies} == set(BODY_FORMS)
    assert {body.reads_slowly for body in bodies} == {False, True}
    assert 0 < max(body.duration_s for body in bodies) <= MAX_BODY_S
    slow = [b.form for b in bodies if b.duration_s]
    assert set(slow) == {"slow_chunks"}
    assert draw_body(rng, has_body=False).data == b""


def test_a_body_in_chunks_is_framed() -> None:
    body = Body(form="chunks", data=b"ten bytes.")
    chunks = [b"2\r\n%b\r\n" % data for data in (b"te", b"n ", b"by")]
    assert body.pieces()[:3] == chunks
    assert body.pieces()[-1] == b"0\r\n\r\n"
    assert body.header == "Transfer-Encoding: chunked"


@pytest.mark.parametrize("reads_slowly", [False, True])
def test_a_caller_takes_an_answer_before_its_body_is_sent(
    reads_slowly: bool,
) -> None:
    sent = []
    is_closed = asyncio.Event()
    body = Body(
        form="slow_chunks",
        data=b"ten bytes.",
        duration_s=5.0,
        reads_slowly=reads_slowly,
    )
    request = CallerRequest("r1", "non_idempotent", body=body)

    async def refuse(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno")
        await reader.read()
        writer.close()
        is_closed.set()

    async def call() -> tuple[CallerOutcome, bool]:
        server = await asyncio.start_server(refuse, LOOPBACK_IP)
        async with server:
            address = server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            answer = await send(
                request, reader, writer, on_sent=lambda: sent.append("r1")
            )
            writer.close()
            await is_closed.wait()
        return answer

    outcome, can_reuse = asyncio.run(call())
    assert (outcome.status, outcome.body) == (503, b"no")
    assert outcome.is_whole
    assert not can_reuse
    assert sent == []


class ExitingHost:
    """A host that gets its signal at `SIGNAL_S`, and one request."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.lost: list[str] = []
        self.checker = ExitChecker(
            GRACE_S,
            lambda _, request_id, __: self.lost.append(request_id),
            self.clock.monotonic,
        )

    def run(
        self,
        sent_s: float,
        ended_s: float,
        *,
        is_whole: bool = False,
        passes_on: bool = True,
        deadline_s: float = 30.0,
        body_s: float | None = 0.0,
        break_off: Callable[["ExitingHost"], None] | None = None,
    ) -> bool:
        """Return whether the request is reported, with times since then.

        Its body takes `body_s`, None where its last byte is never sent.
        """
        steps = [
            (0.0, partial(self.checker.record_signal, "h1")),
            (sent_s, partial(self._send, passes_on, deadline_s)),
        ]
        if body_s is not None:
            record_sent = partial(self.checker.record_sent, "r1")
            steps.append((sent_s + body_s, record_sent))
        for moment_s, step in sorted(steps, key=lambda step: step[0]):
            self.clock.now_s = SIGNAL_S + moment_s
            step()
        self.clock.now_s = SIGNAL_S + ended_s
        if break_off is not None:
            break_off(self)
        self.checker.record_end("r1", is_whole=is_whole)
        self.checker.check()
        return bool(self.lost)

    def _send(self, passes_on: bool, deadline_s: float) -> None:
        self.checker.record_request("r1", "h1", deadline_s)
        if passes_on:
            self.checker.record_run("r1", "u1")


@pytest.mark.parametrize(
    ("sent_s", "ended_s"), [(-2.0, 1.0), (-1.0, 5.0), (3.5, 7.6), (7.6, 7.7)]
)
def test_a_request_that_was_passed_on_and_cut_is_reported(
    sent_s: float, ended_s: float
) -> None:
    assert ExitingHost().run(sent_s, ended_s)


def test_a_request_left_unread_for_long_is_reported() -> None:
    assert not ExitingHost().run(7.0, 7.1, passes_on=False)
    assert ExitingHost().run(7.0, 7.3, passes_on=False)


def end_upstream(host: ExitingHost) -> None:
    host.checker.record_upstream_end("u1")


def close_connection(host: ExitingHost) -> None:
    """Let the host close its connection to the upstream."""
    host.checker.record_run_end("r1", "u1", is_broken=False)


def test_a_request_whose_upstream_saw_the_host_close_is_reported() -> None:
    assert ExitingHost().run(3.5, 7.6, break_off=close_connection)
    assert not ExitingHost().run(2.9, 7.6, break_off=close_connection)
    assert ExitingHost().run(2.9, 6.0, break_off=close_connection)


def test_a_request_counts_as_sent_with_its_last_byte() -> None:
    assert ExitingHost().run(2.9, 7.6, body_s=0.2)
    assert not ExitingHost().run(2.5, 7.6, body_s=0.2)
    assert ExitingHost().run(-0.5, 7.6, body_s=4.0)
    assert not ExitingHost().run(7.0, 7.6, body_s=0.5, passes_on=False)
    assert not ExitingHost().run(3.5, 7.6, body_s=None)


def test_a_request_is_described_by_its_host_and_its_moments() -> None:
    host = ExitingHost()
    host.run(7.0, 7.5, body_s=0.25)
    assert host.checker.describe("r1") == (
        "to h1, begun 0.50 s before its end, sent whole 0.25 s before, "
        "7.50 s after its signal"
    )


def break_off(host: ExitingHost) -> None:
    host.checker.record_run_end("r1", "u1", is_broken=True)


def impair(host: ExitingHost) -> None:
    host.checker.begin_impairment()


@pytest.mark.parametrize("cause", [end_upstream, break_off, impair])
def test_a_request_that_its_upstream_or_a_fault_ends_is_not_reported(
    cause: Callable[[ExitingHost], None],
) -> None:
    assert not ExitingHost().run(3.5, 7.6, break_off=cause)


def test_the_exceptions_of_the_rule_are_not_reported() -> None:
    assert not ExitingHost().run(2.9, 7.6)  # at work in the last sixth
    assert not ExitingHost().run(3.5, 7.6, deadline_s=4.0)
    assert not ExitingHost().run(3.5, 7.6, is_whole=True)
    assert not ExitingHost().run(9.5, 9.6)  # another process
