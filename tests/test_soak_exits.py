"""Run a short soak of exits, and check its plan and its checker."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest
from _manual_clock import ManualClock
from soak.exit_plan import WORKS_S, draw_exit_plan
from soak.exits import ExitChecker
from soak.load import EXITS
from soak.run import Fleet, run_plan

LENGTH_S = 6.0
# Seeds whose plans have calls that last as long as their hosts.
SEEDS = [1, 6]
GRACE_S = 8.0
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
        break_off: Callable[["ExitingHost"], None] | None = None,
    ) -> bool:
        """Return whether the request is reported, with times since then."""
        self.clock.now_s = SIGNAL_S + min(sent_s, 0.0)
        if sent_s < 0:
            self._send(passes_on, deadline_s)
        self.clock.now_s = SIGNAL_S
        self.checker.record_signal("h1")
        if sent_s >= 0:
            self.clock.now_s = SIGNAL_S + sent_s
            self._send(passes_on, deadline_s)
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
